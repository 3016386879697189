//! What the leader knows of where the configuration has arrived.

use std::collections::BTreeMap;

use roseridge_ledger::LedgerState;
use roseridge_model::{
    ConfigRevision,
    DurationMs, //
};
use roseridge_quorum::{
    LogIndex,
    ReplicaId, //
};
use roseridge_wire::{
    RolloutTarget,
    RolloutTargetKind,
    RolloutView, //
};

/// The time after which a place that is silent counts as gone, in milliseconds.
const PLACE_MEMORY_MS: u64 = 15_000;
/// The most entries and agents that are remembered.
const MAX_PLACES: usize = 1_024;

/// What an entry or an agent told.
#[derive(Debug, Clone, Copy)]
struct HeardPlace {
    revision: ConfigRevision,
    heard_ms: u64,
    /// When it first told the revision that it has.
    since_ms: u64,
}

/// The revisions that entries and agents told, and the log index of the newest revision.
#[derive(Debug)]
pub(crate) struct RolloutDesk {
    heard: BTreeMap<(bool, String), HeardPlace>,
    revision: ConfigRevision,
    changed_at: LogIndex,
    /// When the newest revision was accepted, if this leader did so.
    changed_ms: Option<u64>,
}

impl RolloutDesk {
    /// Starts a term with what is applied now.
    pub(crate) fn new(ledger: &LedgerState) -> Self {
        Self {
            heard: BTreeMap::new(),
            revision: ledger.revision,
            changed_at: LogIndex(ledger.applied),
            changed_ms: None,
        }
    }

    /// Notes the revision that an entry has.
    pub(crate) fn hear(&mut self, entry: String, known: ConfigRevision, now_ms: u64) {
        self.note((false, entry), known, now_ms);
    }

    /// Notes the revision that the agent of a worker has.
    pub(crate) fn hear_agent(&mut self, worker: &str, known: ConfigRevision, now_ms: u64) {
        self.note((true, worker.to_owned()), known, now_ms);
    }

    fn note(&mut self, place: (bool, String), revision: ConfigRevision, now_ms: u64) {
        let known = self.heard.get(&place).copied();
        if known.is_none() && self.heard.len() >= MAX_PLACES {
            let is_recent = |p: &HeardPlace| p.heard_ms + PLACE_MEMORY_MS > now_ms;
            self.heard.retain(|_, heard| is_recent(heard));
        }
        if known.is_none() && self.heard.len() >= MAX_PLACES {
            return;
        }
        let since = known.filter(|p| p.revision == revision);
        let heard = HeardPlace {
            revision,
            heard_ms: now_ms,
            since_ms: since.map_or(now_ms, |p| p.since_ms),
        };
        self.heard.insert(place, heard);
    }

    /// Notes a new revision when the ledger has one.
    pub(crate) fn follow(&mut self, ledger: &LedgerState, now_ms: u64) {
        if self.revision != ledger.revision {
            self.revision = ledger.revision;
            self.changed_at = LogIndex(ledger.applied);
            self.changed_ms = Some(now_ms);
        }
    }

    /// Returns where the revision has arrived, given how far each replica's log agrees.
    pub(crate) fn view(
        &self,
        replicas: impl Iterator<Item = (ReplicaId, LogIndex)>,
        now_ms: u64,
    ) -> RolloutView {
        let replicas = replicas.map(|(id, matched)| RolloutTarget {
            kind: RolloutTargetKind::Replica,
            name: format!("replica-{id}"),
            revision: match matched >= self.changed_at {
                true => self.revision,
                false => ConfigRevision(self.revision.0.saturating_sub(1)),
            },
            age: DurationMs(0),
            after: None,
        });
        let recent = self.heard.iter();
        let recent = recent.filter(|(_, heard)| now_ms < heard.heard_ms + PLACE_MEMORY_MS);
        let others = recent.map(|((is_agent, name), heard)| RolloutTarget {
            kind: match is_agent {
                true => RolloutTargetKind::Worker,
                false => RolloutTargetKind::Entry,
            },
            name: name.clone(),
            revision: heard.revision,
            age: DurationMs(now_ms.saturating_sub(heard.heard_ms)),
            after: self.arrival_of(heard),
        });
        RolloutView {
            revision: self.revision,
            targets: replicas.chain(others).collect(),
        }
    }

    fn arrival_of(&self, heard: &HeardPlace) -> Option<DurationMs> {
        let changed_ms = self
            .changed_ms
            .filter(|_| heard.revision == self.revision)?;
        heard.since_ms.checked_sub(changed_ms).map(DurationMs)
    }
}
