//! Draining of workers on operators' requests.

use std::collections::VecDeque;

use roseridge_model::{
    RequestKey,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CommandOutcome,
    LedgerState,
    RefusalReason, //
};

/// The number of requests per worker that are kept to recognize resends.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// An operator's request to drain a worker or to cancel its drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainChange {
    /// The operator's key for this change; a resend carries the same one.
    pub request: RequestKey,
    /// The worker.
    pub worker: WorkerName,
    /// Whether the worker is to receive no new work.
    pub drained: bool,
}

/// The drain state of one worker, which is kept across incarnations of its agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRecord {
    /// Whether the worker receives no new work.
    pub drained: bool,
    /// The keys of the newest requests, so that a resend does not undo a later change.
    requests: VecDeque<RequestKey>,
}

impl LedgerState {
    /// Drains a worker or cancels its drain, once per request; running tasks are not stopped.
    pub(crate) fn drain_worker(&mut self, change: DrainChange) -> CommandOutcome {
        if !self.workers.contains_key(&change.worker) {
            return CommandOutcome::Refused(RefusalReason::UnknownWorker);
        }
        let record = self.drains.entry(change.worker).or_default();
        if record.requests.contains(&change.request) {
            return CommandOutcome::Applied;
        }
        record.drained = change.drained;
        record.requests.push_back(change.request);
        if record.requests.len() > MAX_REMEMBERED_REQUESTS {
            record.requests.pop_front();
        }
        CommandOutcome::Applied
    }

    /// Returns whether operators have drained the worker, so that it receives no new work.
    pub fn is_drained(&self, worker: &WorkerName) -> bool {
        self.drains.get(worker).is_some_and(|d| d.drained)
    }
}
