//! The revision of the configuration that an agent has heard of.

use std::{
    fmt,
    time::Instant, //
};

use roseridge_model::ConfigRevision;

/// The newest revision that was heard, and when the control group was last heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownRevision {
    revision: ConfigRevision,
    heard: Option<Instant>,
}

impl KnownRevision {
    /// Notes a revision that the control group told; an older one never replaces a newer one.
    pub(crate) fn hear(&mut self, revision: ConfigRevision, now: Instant) {
        self.revision = self.revision.max(revision);
        self.heard = Some(now);
    }

    /// Returns the newest revision.
    pub(crate) fn revision(&self) -> ConfigRevision {
        self.revision
    }
}

impl fmt::Display for KnownRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.heard {
            Some(heard) => {
                let seconds = heard.elapsed().as_secs();
                write!(f, "revision {}, heard {seconds} s ago", self.revision)
            }
            None => write!(f, "no revision was heard"),
        }
    }
}
