//! The barrier of stops between two incarnations of a backend server that share a name.
//!
//! A start that was sent to the earlier incarnation may be carried out by the later one, since calls
//! carry only the name. A stop prevents a run that is not there yet from starting. The barrier is passed
//! once a list that was requested after the last stop lacks the runs. The answers to stops don't tell
//! which incarnation gave them; the list does, so it also proves that the later one carried them out.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::RunKey;

use crate::{
    RunAnswer,
    RunRefusal, //
};

/// The time after which a call that was sent is no longer carried out, in milliseconds.
pub(crate) const LATE_CALL_MS: u64 = roseridge_flow::LATE_CALL.0;
/// The pause before a stop whose run is still listed is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 100;
/// The maximum number of stops in flight; each may need a connection of its own.
const MAX_OPEN_STOPS: usize = 4;

/// The state of one stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopState {
    Due { not_before_ms: u64 },
    Sent,
    Confirmed,
}

/// One run that may have been started on an earlier incarnation.
#[derive(Debug)]
struct BarrierStop {
    /// The agent's time of its last start, in milliseconds.
    sent_ms: u64,
    state: StopState,
}

impl BarrierStop {
    /// Returns whether the run can't start any more.
    fn is_settled(&self, now_ms: u64) -> bool {
        match self.state {
            StopState::Confirmed => true,
            StopState::Sent => false,
            StopState::Due { .. } => now_ms >= self.sent_ms.saturating_add(LATE_CALL_MS),
        }
    }
}

/// The stops that a later incarnation has to carry out before it is reported.
#[derive(Debug)]
pub(crate) struct StopBarrier {
    stops: BTreeMap<RunKey, BarrierStop>,
    /// A list with this number or a higher one was requested after the last answer to a stop.
    from_list: u64,
    /// The agent's time at which the barrier was raised, in milliseconds.
    pub(crate) since_ms: u64,
}

impl StopBarrier {
    /// Creates the barrier for runs, each with the time of its last start in milliseconds.
    pub(crate) fn new(runs: BTreeMap<RunKey, u64>, now_ms: u64) -> Self {
        let due = StopState::Due { not_before_ms: 0 };
        let stops = runs.into_iter();
        let stops = stops.map(|(run, sent_ms)| {
            (
                run,
                BarrierStop {
                    sent_ms,
                    state: due,
                },
            )
        });
        Self {
            stops: stops.collect(),
            from_list: 0,
            since_ms: now_ms,
        }
    }

    /// Returns the number of runs to stop.
    pub(crate) fn len(&self) -> usize {
        self.stops.len()
    }

    /// Returns the stops to send now, and records them as sent. One attempt at a time is made while the
    /// backend server is down.
    pub(crate) fn take_due(&mut self, is_down: bool, now_ms: u64) -> Vec<RunKey> {
        let open = self.stops.values().filter(|s| s.state == StopState::Sent);
        let limit = if is_down { 1 } else { MAX_OPEN_STOPS };
        let room = limit.saturating_sub(open.count());
        let due = self.stops.iter_mut().filter(
            |(_, stop)| matches!(stop.state, StopState::Due { not_before_ms } if now_ms >= not_before_ms),
        );
        let taken = due.take(room).map(|(run, stop)| {
            stop.state = StopState::Sent;
            *run
        });
        taken.collect()
    }

    /// Makes the stops that wait for another attempt due, since the backend server is up.
    pub(crate) fn end_pauses(&mut self) {
        for stop in self.stops.values_mut() {
            if let StopState::Due { not_before_ms } = &mut stop.state {
                *not_before_ms = 0;
            }
        }
    }

    /// Applies the answer to a stop; the next list that is requested has the number `next_list`.
    ///
    /// If it was not carried out, no stop is sent again before `retry_at_ms`.
    pub(crate) fn apply_answer(
        &mut self,
        (run, answer): (RunKey, &RunAnswer),
        next_list: u64,
        retry_at_ms: u64,
    ) {
        let Some(stop) = self.stops.get_mut(&run) else {
            return;
        };
        stop.state = match answer {
            RunAnswer::Done { .. } | RunAnswer::Refused(RunRefusal::OldRun) => StopState::Confirmed,
            _ => StopState::Due {
                not_before_ms: retry_at_ms,
            },
        };
        if *answer == RunAnswer::NoAnswer {
            let others = self.stops.values_mut();
            others.for_each(|other| {
                if let StopState::Due { not_before_ms } = &mut other.state {
                    *not_before_ms = retry_at_ms.max(*not_before_ms);
                }
            });
        }
        self.from_list = self.from_list.max(next_list);
    }

    /// Returns whether a list is needed next, because no run can start any more.
    pub(crate) fn is_settled(&self, now_ms: u64) -> bool {
        self.stops.values().all(|stop| stop.is_settled(now_ms))
    }

    /// Applies a list with its number and returns whether the barrier is passed.
    ///
    /// A run that the list has is stopped again.
    pub(crate) fn apply_list(
        &mut self,
        number: u64,
        running: &BTreeSet<RunKey>,
        now_ms: u64,
    ) -> bool {
        let is_passed = self.is_settled(now_ms) && number >= self.from_list;
        let listed = self.stops.iter_mut();
        let listed =
            listed.filter(|(run, stop)| running.contains(*run) && stop.state != StopState::Sent);
        let mut has_listed = false;
        for (_, stop) in listed {
            // A list from before the stop is no reason to wait.
            let not_before_ms = match stop.state {
                StopState::Confirmed => now_ms + STOP_RETRY_MS,
                _ => now_ms,
            };
            stop.state = StopState::Due { not_before_ms };
            stop.sent_ms = now_ms;
            has_listed = true;
        }
        is_passed && !has_listed
    }
}
