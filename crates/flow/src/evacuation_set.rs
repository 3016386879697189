//! The failure domains that operators have evacuated, and the revisions that order the changes.

use std::collections::BTreeMap;

use roseridge_model::{
    DomainName,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FlowOutcome,
    FlowRefusal,
    FlowState, //
};

/// The maximum number of domains that are evacuated at the same time. An installation has at most
/// eight; the bound limits the state that misspelled names can occupy.
pub const MAX_EVACUATIONS: usize = 64;
/// The maximum number of withdrawn evacuations whose revisions are kept, which bounds the state.
const MAX_WITHDRAWN: usize = 64;

/// The record of a domain that was evacuated, or whose evacuation was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationRecord {
    /// The revision of the last change.
    pub revision: u64,
    /// The time since which the evacuation is in force; `None` if it is withdrawn.
    pub since: Option<UnixMillis>,
    /// The time at which the last evacuation was withdrawn; `None` if the domain is evacuated or
    /// never was.
    pub restored: Option<UnixMillis>,
}

/// The failure domains that operators have evacuated.
///
/// Revisions are drawn from one counter. A domain without a record has the revision
/// [`floor`](Self::floor), which is at least the revision of every removed record. A change that is
/// based on a removed record therefore never applies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationSet {
    records: BTreeMap<DomainName, EvacuationRecord>,
    /// The revision of the newest change.
    newest: u64,
    /// The revision of the domains without a record.
    floor: u64,
}

impl EvacuationSet {
    /// Returns whether no evacuation was ever requested or withdrawn.
    pub fn is_untouched(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.since(domain).is_some()
    }

    /// Returns the time since which a domain is evacuated, or `None` if it isn't.
    pub fn since(&self, domain: &DomainName) -> Option<UnixMillis> {
        self.records.get(domain)?.since
    }

    /// Returns the time at which the last evacuation of a domain was withdrawn, or `None` if the
    /// domain is evacuated or never was.
    pub fn restored(&self, domain: &DomainName) -> Option<UnixMillis> {
        self.records.get(domain)?.restored
    }

    /// Returns the current revision of a domain.
    pub fn revision(&self, domain: &DomainName) -> u64 {
        let record = self.records.get(domain);
        record.map_or(self.floor, |record| record.revision)
    }

    /// Returns the evacuated domains, each with the time since which its evacuation is in force.
    pub fn evacuated(&self) -> impl Iterator<Item = (&DomainName, UnixMillis)> {
        let records = self.records.iter();
        records.filter_map(|(domain, record)| Some((domain, record.since?)))
    }

    /// Returns the revision of the domains that no change has named recently.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the domains with a record, each with its record.
    pub fn records(&self) -> impl Iterator<Item = (&DomainName, EvacuationRecord)> {
        self.records
            .iter()
            .map(|(domain, record)| (domain, *record))
    }

    /// Records a change. The time of an evacuation or a withdrawal that is already in force is kept.
    fn record(&mut self, domain: DomainName, is_evacuated: bool, now: UnixMillis) -> u64 {
        self.newest += 1;
        let revision = self.newest;
        let (known_since, known_restored) = (self.since(&domain), self.restored(&domain));
        let (since, restored) = match (is_evacuated, known_since) {
            (true, since) => (Some(since.unwrap_or(now)), None),
            (false, Some(_)) => (None, Some(now)),
            (false, None) => (None, known_restored),
        };
        let record = EvacuationRecord {
            revision,
            since,
            restored,
        };
        self.records.insert(domain, record);
        self.remove_oldest_withdrawn();
        revision
    }

    /// Removes the withdrawn record with the lowest revision if there are too many of them.
    fn remove_oldest_withdrawn(&mut self) {
        let withdrawn = || self.records.iter().filter(|(_, r)| r.since.is_none());
        if withdrawn().count() <= MAX_WITHDRAWN {
            return;
        }
        let oldest = withdrawn().min_by_key(|(_, record)| record.revision);
        if let Some((domain, record)) = oldest.map(|(domain, r)| (domain.clone(), *r)) {
            self.records.remove(&domain);
            self.floor = self.floor.max(record.revision);
        }
    }
}

impl FlowState {
    /// Evacuates a domain, unless the order is overtaken by another one.
    pub(crate) fn evacuate(&mut self, domain: DomainName, base: u64) -> FlowOutcome {
        let count = self.evacuations.evacuated().count();
        match self.evacuations.contains(&domain) {
            false if base != self.evacuations.revision(&domain) => FlowOutcome::Overtaken,
            false if count >= MAX_EVACUATIONS => {
                FlowOutcome::Refused(FlowRefusal::TooManyEvacuations)
            }
            _ => self.change_evacuation(domain, base, true),
        }
    }

    /// Withdraws the evacuation of a domain, unless the order is overtaken by another one.
    pub(crate) fn restore_domain(&mut self, domain: DomainName, base: u64) -> FlowOutcome {
        match self.evacuations.contains(&domain) {
            true if base != self.evacuations.revision(&domain) => FlowOutcome::Overtaken,
            _ => self.change_evacuation(domain, base, false),
        }
    }

    /// Records a change whose base is current. A change with another base has no effect.
    ///
    /// A change that finds the state as requested advances the revision too. Otherwise an opposite
    /// order from before it that is still on its way could apply after it was acknowledged.
    fn change_evacuation(
        &mut self,
        domain: DomainName,
        base: u64,
        is_evacuated: bool,
    ) -> FlowOutcome {
        let changed = self.evacuations.contains(&domain) != is_evacuated;
        let current = self.evacuations.revision(&domain);
        let revision = match base == current {
            true => self.evacuations.record(domain, is_evacuated, self.now),
            false => current,
        };
        FlowOutcome::Evacuated { changed, revision }
    }
}
