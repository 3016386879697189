//! The newest revision of the configuration that an agent knows.

use std::{
    fmt,
    time::Instant, //
};

use roseridge_model::ConfigRevision;

/// The newest revision that the agent has received, and the time of the last contact with the control
/// group.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownRevision {
    revision: ConfigRevision,
    last_contact: Option<Instant>,
}

impl KnownRevision {
    /// Records a revision that the control group sent; an older one does not replace a newer one.
    pub(crate) fn record(&mut self, revision: ConfigRevision, now: Instant) {
        self.revision = self.revision.max(revision);
        self.last_contact = Some(now);
    }

    /// Returns the newest revision.
    pub(crate) fn revision(&self) -> ConfigRevision {
        self.revision
    }
}

impl fmt::Display for KnownRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.last_contact {
            Some(last_contact) => {
                let seconds = last_contact.elapsed().as_secs();
                write!(
                    f,
                    "revision {}, last contact {seconds} s ago",
                    self.revision
                )
            }
            None => write!(f, "no revision received"),
        }
    }
}
