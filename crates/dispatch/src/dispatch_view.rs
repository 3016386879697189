//! What the decisions are taken from.

use roseridge_flow::FlowState;
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    RunKey,
    UnixMillis, //
};

use crate::ProgressRate;

/// What the leader heard of a backend server's agent, which no change records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactView {
    /// How long ago the agent was heard.
    pub since_contact: DurationMs,
}

/// The bounds that the decisions keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchLimits {
    /// The silence of an agent after which its backend server receives no new work.
    pub contact_timeout: DurationMs,
    /// What it takes to resume from a checkpoint.
    pub restore_time: DurationMs,
    /// How long an urgent unit within its customer's guarantee waits for room before others are stopped
    /// for it at any cost.
    pub reclaim_wait: DurationMs,
}

/// What the decisions are taken from.
#[derive(Debug, Clone, Copy)]
pub struct DispatchView<'a> {
    /// The flows and backend servers.
    pub flows: &'a FlowState,
    /// The time of the decision.
    pub now: UnixMillis,
    /// What was heard of each backend server's agent; one that is not here was not heard.
    pub contacts: &'a FastMap<BackendId, ContactView>,
    /// How fast runs work; one that is not here was not read.
    pub progress_rates: &'a FastMap<RunKey, ProgressRate>,
    /// The bounds.
    pub limits: DispatchLimits,
}

impl DispatchView<'_> {
    /// Returns whether a backend server's agent was heard lately enough to give it work.
    pub fn is_in_contact(&self, backend: &BackendId) -> bool {
        let contact = self.contacts.get(backend);
        contact.is_some_and(|c| c.since_contact <= self.limits.contact_timeout)
    }
}
