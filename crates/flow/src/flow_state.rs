//! The whole state and the entry point of every change.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    BackendId,
    DurationMs,
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
    BackendStatus,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    RunTimeHistory, //
};

/// How long an ended flow is kept, so that its caller can read it and a late resend finds it.
pub(crate) const FLOW_RETENTION: DurationMs = DurationMs(300_000);
/// How long a backend server that is lost or ended is remembered.
const BACKEND_RETENTION: DurationMs = DurationMs(300_000);
/// The most ended flows that one change forgets, which bounds its work.
const FLOWS_PER_EXPIRY: usize = 64;

/// The replicated state of flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowState {
    /// The configuration in force.
    pub config: Option<SiteConfig>,
    /// The flows, those that ended lately included.
    pub flows: BTreeMap<FlowId, FlowRecord>,
    /// The lives of backend servers.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// What was learnt of run times.
    #[serde(rename = "memory")]
    pub run_times: RunTimeHistory,
    /// The newest time that a change carried.
    pub now: UnixMillis,
    pub(crate) index: u64,
    /// The flows that have not ended.
    pub(crate) open: BTreeSet<FlowId>,
    /// When to forget each ended flow.
    pub(crate) timers: BTreeSet<(UnixMillis, FlowId)>,
}

impl FlowState {
    /// Applies the change at a log index.
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
            FlowChange::Announce { backend, profile } => self.announce(backend, profile),
            FlowChange::Drain { backend, remaining } => self.drain(&backend, remaining),
            FlowChange::Leave { backend } => self.leave(&backend),
            FlowChange::Lose { backend, saved } => self.lose(&backend, saved),
            FlowChange::Report {
                backend,
                ends,
                unstarted,
            } => self.take_report(&backend, ends, unstarted),
            FlowChange::Decide { stops, places } => self.follow_decision(stops, places),
            FlowChange::Expire => self.expire(),
        }
    }

    /// Returns the flows that have not ended.
    pub fn open_flows(&self) -> impl Iterator<Item = (FlowId, &FlowRecord)> {
        let open = self.open.iter();
        open.filter_map(|flow| Some((*flow, self.flows.get(flow)?)))
    }

    /// Returns how many flows of a queue were accepted and have no task with a place yet.
    pub fn pending_count(&self, queue: &QueueKey) -> usize {
        let waiting = self
            .open_flows()
            .filter(|(_, f)| f.queue.key == *queue && !f.has_started());
        waiting.count()
    }

    /// Returns when the next change to forget something is due.
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        let flow = self.timers.first().map(|(due, _)| *due);
        let backends = self.backends.values().filter_map(forget_at);
        flow.into_iter().chain(backends).min()
    }

    fn expire(&mut self) -> FlowOutcome {
        for _ in 0..FLOWS_PER_EXPIRY {
            match self.timers.first().copied() {
                Some((due, flow)) if due <= self.now => {
                    self.timers.pop_first();
                    self.flows.remove(&flow);
                }
                _ => break,
            }
        }
        let now = self.now;
        let keep = |record: &BackendRecord| forget_at(record).is_none_or(|due| now < due);
        self.backends.retain(|_, record| keep(record));
        FlowOutcome::Applied
    }

    /// Ends a flow; it is kept for a while.
    pub(crate) fn end_flow(&mut self, flow: FlowId, phase: FlowPhase) {
        if let Some(record) = self.flows.get_mut(&flow) {
            record.phase = phase;
            self.open.remove(&flow);
            self.timers.insert((self.now.plus(FLOW_RETENTION), flow));
        }
    }

    /// Notes that the orders of a backend server changed with the change that is being applied.
    pub(crate) fn touch_orders(&mut self, backend: &BackendId) {
        if let Some(record) = self.backends.get_mut(backend) {
            record.orders_index = self.index;
        }
    }
}

fn forget_at(record: &BackendRecord) -> Option<UnixMillis> {
    match record.status {
        BackendStatus::Lost { since } | BackendStatus::Ended { since } => {
            Some(since.plus(BACKEND_RETENTION))
        }
        _ => None,
    }
}
