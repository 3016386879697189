//! Where one ordered run stands on its backend server, as far as the agent knows.

use roseridge_wire::RunOrder;

/// What was asked of the backend server for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunStep {
    /// Nothing yet, or the last call may be made again at a time.
    Idle { not_before_ms: u64 },
    /// A start is on its way.
    Starting,
    /// The start was carried out; lists that were asked for from this number on must show the run.
    Begun { from_list: u64 },
    /// A stop is on its way.
    Stopping,
    /// The stop was carried out; a list that was asked for from this number on and does not show the
    /// run proves that it never started.
    Sealed { from_list: u64, again_ms: u64 },
    /// The run never started and never will.
    Unstarted,
}

/// One ordered run.
#[derive(Debug, Clone)]
pub(crate) struct RunProgress {
    pub(crate) order: RunOrder,
    pub(crate) step: RunStep,
    /// Refusals of an unhealthy backend server in a row.
    pub(crate) refusals: u32,
    /// Why this agent gives the run up, if it does.
    pub(crate) given_up: Option<&'static str>,
}

impl RunProgress {
    pub(crate) fn new(order: RunOrder) -> Self {
        Self {
            order,
            step: RunStep::Idle { not_before_ms: 0 },
            refusals: 0,
            given_up: None,
        }
    }

    /// Returns whether the run is to stop, by its orders or because this agent gives it up.
    pub(crate) fn is_unwanted(&self) -> bool {
        self.order.stop || self.given_up.is_some()
    }
}
