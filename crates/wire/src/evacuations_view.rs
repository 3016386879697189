//! The evacuated failure domains as processes and operators see them.

use roseridge_model::{
    DomainName,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A failure domain that was evacuated, or whose evacuation was withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationView {
    /// The failure domain.
    pub domain: DomainName,
    /// The revision of its last change.
    pub revision: u64,
    /// The time since which the evacuation is in force; `None` if it is withdrawn.
    pub since: Option<UnixMillis>,
    /// The number of its backend servers that are present.
    pub backends: u32,
    /// The number of runs on them.
    pub runs: u32,
}

/// The evacuations of an installation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationsView {
    /// The revision of every domain that is not listed.
    pub floor: u64,
    /// The latest time with which the leader applied a change.
    pub now: UnixMillis,
    /// The domains with a change that is still recorded.
    pub domains: Vec<EvacuationView>,
}

impl EvacuationsView {
    /// Returns the revision of a domain.
    pub fn revision(&self, domain: &DomainName) -> u64 {
        let known = self.domains.iter().find(|view| view.domain == *domain);
        known.map_or(self.floor, |view| view.revision)
    }

    /// Returns the domains that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &EvacuationView> {
        self.domains.iter().filter(|view| view.since.is_some())
    }
}
