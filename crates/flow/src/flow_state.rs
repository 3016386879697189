//! The replicated state of flows, and the function that applies every change to it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    BackendId,
    DurationMs,
    FastSet,
    FlowId,
    QueueKey,
    SiteConfig,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BackendRecord,
    CompletionDoubts,
    CrashHistory,
    EvacuationSet,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    IncarnationFences,
    RunTimeHistory,
    WithdrawnFlows, //
};

/// The time for which an ended flow is kept, so that its caller can read it and a late resend of
/// its submission is recognized.
pub(crate) const FLOW_RETENTION: DurationMs = DurationMs(300_000);
/// The time for which the record of a lost or ended backend server is kept.
const BACKEND_RETENTION: DurationMs = DurationMs(300_000);
/// The maximum number of ended flows that one [`FlowChange::Expire`] removes, which bounds its
/// work.
const MAX_FLOWS_PER_EXPIRY: usize = 64;

/// The replicated state of flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowState {
    /// The configuration in force, or `None` before the first one.
    pub config: Option<SiteConfig>,
    /// The open flows and the recently ended ones.
    pub flows: BTreeMap<FlowId, FlowRecord>,
    /// The backend servers, with one record for each incarnation.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// The recent run times of each queue.
    #[serde(rename = "memory")]
    pub run_times: RunTimeHistory,
    /// The latest time with which a change was applied.
    pub now: UnixMillis,
    /// The log index of the last change.
    pub(crate) index: u64,
    /// The flows that have not ended.
    pub(crate) open: BTreeSet<FlowId>,
    /// The time at which each ended flow is to be removed.
    pub(crate) timers: BTreeSet<(UnixMillis, FlowId)>,
    /// The failure domains that operators have evacuated.
    ///
    /// Snapshots store it in an extension after the whole state, so that older ones stay readable.
    #[serde(skip)]
    pub evacuations: EvacuationSet,
    /// The crashes that tasks are suspected of, also in an extension of snapshots.
    #[serde(skip)]
    pub crashes: CrashHistory,
    /// The fence numbers of incarnations, also in an extension of snapshots.
    #[serde(skip)]
    pub fences: IncarnationFences,
    /// The incarnations that may delete completions, also in an extension of snapshots.
    #[serde(skip)]
    pub doubts: CompletionDoubts,
    /// The flows that were cancelled before their submission arrived, also in an extension of snapshots.
    #[serde(skip)]
    pub withdrawn: WithdrawnFlows,
}

impl FlowState {
    /// Applies the change at a log index and returns its outcome.
    ///
    /// `at` is the leader's time of the change. [`FlowState::now`] never decreases: an earlier `at`
    /// leaves it as it is.
    pub fn apply(&mut self, index: u64, at: UnixMillis, change: FlowChange) -> FlowOutcome {
        self.index = index;
        self.now = self.now.max(at);
        match change {
            FlowChange::Configure(config) => self.configure(config),
            FlowChange::Submit {
                flow,
                customer,
                queue,
                spec,
            } => self.submit(flow, customer, &queue, spec),
            FlowChange::Cancel { flow } => self.cancel(flow),
            FlowChange::Withdraw {
                flow,
                queue,
                customer,
            } => self.withdraw(flow, queue, customer),
            FlowChange::Announce { backend, profile } => self.announce(backend, profile, 0),
            FlowChange::AnnounceRestarted {
                backend,
                profile,
                hidden_ends,
            } => self.announce(backend, profile, hidden_ends),
            FlowChange::Drain { backend, remaining } => self.drain(&backend, remaining),
            FlowChange::Resume { backend } => self.resume(&backend),
            FlowChange::Leave { backend } => self.leave(&backend),
            FlowChange::Lose { backend, saved } => self.lose(&backend, saved),
            FlowChange::Report {
                backend,
                ends,
                unstarted,
            } => self.apply_report(&backend, ends, unstarted),
            FlowChange::Decide { stops, places } => self.apply_decision(stops, places),
            FlowChange::Expire => self.expire(),
            FlowChange::Evacuate { domain, base } => self.evacuate(domain, base),
            FlowChange::Restore { domain, base } => self.restore_domain(domain, base),
            FlowChange::RecordCrash {
                backend,
                suspects,
                crash_limit,
            } => self.record_crash(&backend, &suspects, crash_limit),
        }
    }

    /// Returns the flows that have not ended.
    pub fn open_flows(&self) -> impl Iterator<Item = (FlowId, &FlowRecord)> {
        let open = self.open.iter();
        open.filter_map(|flow| Some((*flow, self.flows.get(flow)?)))
    }

    /// Returns the approximate number of bytes that the open and the recently ended flows take.
    pub fn flow_bytes(&self) -> usize {
        let records = self.flows.values();
        records.map(FlowRecord::approximate_bytes).sum()
    }

    /// Returns whether a backend server is in an evacuated failure domain.
    pub fn is_evacuated(&self, record: &BackendRecord) -> bool {
        self.evacuations.contains(&record.profile.domain)
    }

    /// Returns the number of open flows of a queue of which no task was ever placed.
    pub fn pending_count(&self, queue: &QueueKey) -> usize {
        let waiting = self
            .open_flows()
            .filter(|(_, f)| f.queue.key == *queue && !f.has_started());
        waiting.count()
    }

    /// Returns the time at which the next [`FlowChange::Expire`] is due, or `None` if nothing is to
    /// be removed.
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        let flow = self.timers.first().map(|(due, _)| *due);
        let backends = self.backends.values().filter_map(removal_time);
        let withdrawn = self.withdrawn.next_expiry();
        flow.into_iter().chain(backends).chain(withdrawn).min()
    }

    /// Removes ended flows and the records of lost or ended backend servers after their retention.
    fn expire(&mut self) -> FlowOutcome {
        for _ in 0..MAX_FLOWS_PER_EXPIRY {
            match self.timers.first().copied() {
                Some((due, flow)) if due <= self.now => {
                    self.timers.pop_first();
                    self.flows.remove(&flow);
                }
                _ => break,
            }
        }
        let now = self.now;
        self.withdrawn.expire(now);
        let keep = |record: &BackendRecord| removal_time(record).is_none_or(|due| now < due);
        let before = self.backends.len();
        self.backends.retain(|_, record| keep(record));
        if self.backends.len() < before {
            let records = self.backends.values();
            let instances: FastSet<_> = records.map(|record| &record.profile.instance).collect();
            self.fences.keep(&instances);
            let backends = &self.backends;
            self.doubts.keep(|backend| backends.contains_key(backend));
        }
        FlowOutcome::Applied
    }

    /// Sets the final phase of a flow and schedules its removal.
    pub(crate) fn finalize_flow(&mut self, flow: FlowId, phase: FlowPhase) {
        if let Some(record) = self.flows.get_mut(&flow) {
            record.phase = phase;
            record.shrink();
            self.open.remove(&flow);
            self.crashes.forget(flow);
            self.timers.insert((self.now.plus(FLOW_RETENTION), flow));
        }
    }

    /// Records that the change being applied alters the orders of a backend server.
    pub(crate) fn mark_orders_changed(&mut self, backend: &BackendId) {
        if let Some(record) = self.backends.get_mut(backend) {
            record.orders_index = self.index;
        }
    }
}

/// Returns the time at which the record of a lost or ended backend server is to be removed.
fn removal_time(record: &BackendRecord) -> Option<UnixMillis> {
    record
        .lease_end()
        .map(|since| since.plus(BACKEND_RETENTION))
}
