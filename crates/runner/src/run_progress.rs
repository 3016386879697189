//! The progress of one ordered run, as far as the agent knows it.

use roseridge_wire::RunOrder;

/// The state of the calls to the backend server for one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// No call is in flight; the next one is made at the given time at the earliest, in milliseconds.
    Idle { not_before_ms: u64 },
    /// A start is in flight.
    Starting,
    /// The start was carried out; every list requested with this number or a higher one has the run as
    /// running or completed.
    Started { from_list: u64 },
    /// A stop is in flight.
    Stopping,
    /// The stop was carried out; a list requested with this number or a higher one that lacks the run
    /// proves that it never started. A run that is still listed at `retry_at_ms` is stopped again.
    StopConfirmed { from_list: u64, retry_at_ms: u64 },
    /// The run has not started and can't start any more.
    Unstarted,
}

/// One ordered run and the state of its calls.
#[derive(Debug, Clone)]
pub(crate) struct RunProgress {
    pub(crate) order: RunOrder,
    pub(crate) state: RunState,
    /// Whether the backend server has answered a start as carried out, or has listed the run.
    pub(crate) has_started: bool,
    /// The number of consecutive starts that the backend server refused as unhealthy.
    pub(crate) unhealthy_refusals: u32,
    /// Why the agent has abandoned the run, if it has.
    pub(crate) abandon_reason: Option<&'static str>,
}

impl RunProgress {
    pub(crate) fn new(order: RunOrder) -> Self {
        Self {
            order,
            state: RunState::Idle { not_before_ms: 0 },
            has_started: false,
            unhealthy_refusals: 0,
            abandon_reason: None,
        }
    }

    /// Returns whether the run is to be stopped, by order or because the agent has abandoned it.
    pub(crate) fn is_stop_due(&self) -> bool {
        self.order.stop || self.abandon_reason.is_some()
    }
}
