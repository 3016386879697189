//! The input of a scheduling pass.

use roseridge_flow::FlowState;
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    RunKey,
    UnixMillis, //
};

use crate::ProgressRate;

/// The leader's contact with a backend server through its agent. The replicated state does not record it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactView {
    /// The time since the last contact with the agent, or since the agent's last contact with the backend
    /// server if that is longer.
    pub since_contact: DurationMs,
    /// The time for which the backend server is still cold, by its newest report.
    pub cold_remaining: DurationMs,
}

/// The time limits that the decisions respect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchLimits {
    /// The maximum time since the last contact with a backend server; after it, the backend server receives
    /// no new work.
    pub contact_timeout: DurationMs,
    /// The time that a run takes to resume from a checkpoint.
    pub restore_time: DurationMs,
    /// The time that an urgent placement unit within its customer's guarantee waits for capacity before
    /// it preempts other runs at any cost.
    pub reclaim_wait: DurationMs,
}

/// The input of a scheduling pass and of an admission check.
#[derive(Debug, Clone, Copy)]
pub struct DispatchView<'a> {
    /// The flows and backend servers.
    pub flows: &'a FlowState,
    /// The time of the decision.
    pub now: UnixMillis,
    /// The contact with each backend server's agent; an agent without an entry has not reported yet.
    pub contacts: &'a FastMap<BackendId, ContactView>,
    /// The progress rate of each run; a run without an entry has not reported progress yet.
    pub progress_rates: &'a FastMap<RunKey, ProgressRate>,
    /// The approximate bytes of the flows that are proposed and not yet part of `flows`.
    pub proposed_flow_bytes: usize,
    /// The time limits.
    pub limits: DispatchLimits,
}

impl DispatchView<'_> {
    /// Returns whether the last contact with a backend server is recent enough to give it work.
    pub fn is_in_contact(&self, backend: &BackendId) -> bool {
        let contact = self.contacts.get(backend);
        contact.is_some_and(|c| c.since_contact <= self.limits.contact_timeout)
    }
}
