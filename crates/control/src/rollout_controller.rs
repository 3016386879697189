//! The progress of a configuration rollout, as known to the leader.

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

/// Time after which a reported revision is dropped if it is not reported again, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 15_000;
/// Maximum number of entries and agents whose revision is kept.
const MAX_REPORTERS: usize = 1_024;

/// The revision that an entry or an agent reported last.
#[derive(Debug, Clone, Copy)]
struct ReportedRevision {
    revision: ConfigRevision,
    /// When a revision was last reported.
    reported_ms: u64,
    /// When this revision was first reported.
    first_reported_ms: u64,
}

/// The revisions that entries and agents have reported, and the log index of the newest revision.
#[derive(Debug)]
pub(crate) struct RolloutController {
    /// The reported revisions, by whether the reporter is an agent and by its name.
    reports: BTreeMap<(bool, String), ReportedRevision>,
    revision: ConfigRevision,
    /// The log index up to which a replica must match to have the newest revision.
    changed_at: LogIndex,
    /// When the newest revision was applied, if that was under this leader.
    changed_ms: Option<u64>,
}

impl RolloutController {
    /// Starts the state for a new term from the applied ledger.
    pub(crate) fn new(ledger: &LedgerState) -> Self {
        Self {
            reports: BTreeMap::new(),
            revision: ledger.revision,
            changed_at: LogIndex(ledger.applied),
            changed_ms: None,
        }
    }

    /// Records the revision that an entry has.
    pub(crate) fn record_entry(&mut self, entry: String, known: ConfigRevision, now_ms: u64) {
        self.record((false, entry), known, now_ms);
    }

    /// Records the revision that the agent of a worker has.
    pub(crate) fn record_agent(&mut self, worker: &str, known: ConfigRevision, now_ms: u64) {
        self.record((true, worker.to_owned()), known, now_ms);
    }

    /// Records a reported revision.
    ///
    /// At [`MAX_REPORTERS`], expired reports are dropped. If none are expired, a new reporter is
    /// ignored.
    fn record(&mut self, reporter: (bool, String), revision: ConfigRevision, now_ms: u64) {
        let known = self.reports.get(&reporter).copied();
        if known.is_none() && self.reports.len() >= MAX_REPORTERS {
            let is_recent = |r: &ReportedRevision| r.reported_ms + REPORT_EXPIRY_MS > now_ms;
            self.reports.retain(|_, report| is_recent(report));
        }
        if known.is_none() && self.reports.len() >= MAX_REPORTERS {
            return;
        }
        let unchanged = known.filter(|r| r.revision == revision);
        let report = ReportedRevision {
            revision,
            reported_ms: now_ms,
            first_reported_ms: unchanged.map_or(now_ms, |r| r.first_reported_ms),
        };
        self.reports.insert(reporter, report);
    }

    /// Records the ledger's revision if it has changed.
    pub(crate) fn update_revision(&mut self, ledger: &LedgerState, now_ms: u64) {
        if self.revision != ledger.revision {
            self.revision = ledger.revision;
            self.changed_at = LogIndex(ledger.applied);
            self.changed_ms = Some(now_ms);
        }
    }

    /// Returns the revision of each replica, entry and agent.
    ///
    /// The revision of a replica follows from the last log index at which it matches the leader.
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
        let recent = self.reports.iter();
        let recent = recent.filter(|(_, report)| now_ms < report.reported_ms + REPORT_EXPIRY_MS);
        let others = recent.map(|((is_agent, name), report)| RolloutTarget {
            kind: match is_agent {
                true => RolloutTargetKind::Worker,
                false => RolloutTargetKind::Entry,
            },
            name: name.clone(),
            revision: report.revision,
            age: DurationMs(now_ms.saturating_sub(report.reported_ms)),
            after: self.rollout_delay(report),
        });
        RolloutView {
            revision: self.revision,
            targets: replicas.chain(others).collect(),
        }
    }

    /// Returns the time from the change of the revision to the first report of it.
    fn rollout_delay(&self, report: &ReportedRevision) -> Option<DurationMs> {
        let changed_ms = self
            .changed_ms
            .filter(|_| report.revision == self.revision)?;
        report
            .first_reported_ms
            .checked_sub(changed_ms)
            .map(DurationMs)
    }
}
