//! The answers of the backend server to the calls of a run table.

use roseridge_model::{
    DurationMs,
    RunKey, //
};

use crate::{
    RunAnswer,
    RunCall,
    RunRefusal,
    RunTable,
    backend_incarnation::{
        UnorderedStop,
        min_clock_ms, //
    },
    run_progress::RunState, //
};

/// The pause before a call that was not carried out is sent again, in milliseconds.
pub(crate) const RETRY_MS: u64 = 100;
/// The pause after a renewal while completions await the leader's acknowledgement, in milliseconds.
///
/// The backend server answers at once while it lists a completion. Without the pause, the renewals would
/// form a busy loop.
const UNACKNOWLEDGED_PAUSE_MS: u64 = 50;
/// The pause before a stopped run that is still listed is stopped again, in milliseconds.
const STOP_RETRY_MS: u64 = 500;
/// The number of consecutive starts refused as unhealthy that are retried; the next refusal abandons
/// the run.
const MAX_UNHEALTHY_REFUSALS: u32 = 3;
/// The time after which a backend server that announced its shutdown and still answers is taken to
/// stay, in milliseconds.
const SHUTDOWN_NOTICE_MS: u64 = 1_000;

impl RunTable {
    /// Applies the answer to a call that was returned with a number.
    pub fn apply_answer(&mut self, number: u64, call: &RunCall, answer: RunAnswer, now_ms: u64) {
        let is_current = self.backend() == Some(call.backend());
        let candidate = self.candidate.as_ref().map(|c| &c.report.backend);
        let is_candidate = candidate == Some(call.backend());
        let is_candidate_call = self.candidate_call == Some(number);
        if matches!(call, RunCall::Renew { .. }) {
            let call = (number, call.backend());
            self.open_acks.apply_answer(call, &answer, now_ms);
        }
        match call {
            RunCall::Renew { .. } if is_candidate_call => {
                self.candidate_call = None;
                if is_candidate {
                    self.apply_candidate_list(number, answer, now_ms);
                }
            }
            RunCall::Stop { run, .. } if is_candidate => {
                self.apply_barrier_answer(*run, &answer, now_ms);
            }
            // A late answer of a replaced incarnation proves nothing any more.
            _ if !is_current || self.is_replaced() => {}
            RunCall::Renew { wait, .. } => {
                match *wait {
                    DurationMs(0) if self.is_immediate_renewal_open => {
                        self.is_immediate_renewal_open = false
                    }
                    _ => self.is_waiting_renewal_open = false,
                }
                self.apply_renewal_answer(number, call, answer, now_ms);
            }
            RunCall::Start { run, .. } => self.apply_start_answer(*run, answer, now_ms),
            RunCall::Stop { run, .. } => self.apply_stop_answer(*run, answer, now_ms),
        }
    }

    /// Applies the answer of the current incarnation to a renewal.
    fn apply_renewal_answer(
        &mut self,
        number: u64,
        call: &RunCall,
        answer: RunAnswer,
        now_ms: u64,
    ) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.ack_call = incarnation.ack_call.filter(|ack| *ack != number);
        match answer {
            RunAnswer::Done { clock_ms, list } => {
                self.backoff.record_answer();
                if let RunCall::Renew { ends_seen, .. } = call {
                    incarnation.confirmed_ends = incarnation.confirmed_ends.max(*ends_seen);
                }
                if min_clock_ms(incarnation.clock, now_ms) < clock_ms {
                    incarnation.clock = (clock_ms, now_ms);
                }
                let is_over = |since| now_ms >= since + SHUTDOWN_NOTICE_MS;
                incarnation.shutdown_notice_ms = incarnation
                    .shutdown_notice_ms
                    .filter(|since| !is_over(*since));
                if let Some(list) = list {
                    self.apply_list(number, list, now_ms);
                }
                if self
                    .incarnation
                    .as_ref()
                    .is_some_and(|current| !current.completions.is_empty())
                {
                    self.renew_not_before_ms = now_ms + UNACKNOWLEDGED_PAUSE_MS;
                }
            }
            RunAnswer::OtherLife | RunAnswer::OtherServer => self.end_replaced(&answer),
            RunAnswer::NoAnswer if incarnation.shutdown_notice_ms.is_some() => {
                self.end_incarnation()
            }
            RunAnswer::NoAnswer | RunAnswer::Refused(_) => {
                // The lease that the call carried may not have arrived.
                if let RunCall::Renew { lease_until_ms, .. } = call
                    && lease_until_ms.is_some()
                {
                    incarnation.sent_lease_until_ms = 0;
                }
                self.renew_not_before_ms = now_ms
                    + match answer {
                        RunAnswer::NoAnswer => self.backoff.record_failure(),
                        _ => {
                            self.backoff.record_answer();
                            RETRY_MS
                        }
                    };
            }
        }
    }

    /// Returns whether another incarnation has answered under the name of the current one.
    fn is_replaced(&self) -> bool {
        self.incarnation.as_ref().is_some_and(|i| i.is_replaced)
    }

    /// Ends the current incarnation after another one has answered.
    ///
    /// One that keeps its name over restarts is only marked as replaced: the later one may carry out
    /// the starts that were sent to it, and ends it by passing the barrier of stops.
    fn end_replaced(&mut self, answer: &RunAnswer) {
        let has_start = self.backend().is_some_and(|id| id.start_ms().is_some());
        match answer {
            RunAnswer::OtherLife if has_start => self.mark_replaced(),
            _ => self.end_incarnation(),
        }
    }

    /// Applies the answer to a start.
    fn apply_start_answer(&mut self, run: RunKey, answer: RunAnswer, now_ms: u64) {
        let from_list = self.last_list + 1;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let Some(progress) = incarnation.runs.get_mut(&run) else {
            return;
        };
        let retry = RunState::Idle {
            not_before_ms: now_ms + RETRY_MS,
        };
        match answer {
            RunAnswer::Done { .. } => {
                progress.state = RunState::Started { from_list };
                progress.has_started = true;
                progress.unhealthy_refusals = 0;
            }
            RunAnswer::Refused(RunRefusal::OldFence | RunRefusal::LateLease)
            | RunAnswer::NoAnswer => progress.state = retry,
            RunAnswer::Refused(RunRefusal::OldRun) => {
                // Either the run's completion is listed, or a stop has kept the run from starting.
                progress.state = RunState::Started { from_list };
            }
            RunAnswer::Refused(RunRefusal::Unhealthy)
                if progress.unhealthy_refusals < MAX_UNHEALTHY_REFUSALS =>
            {
                progress.unhealthy_refusals += 1;
                progress.state = retry;
            }
            RunAnswer::Refused(refusal) => {
                progress.abandon_reason = Some(match refusal {
                    RunRefusal::NoRoom => "the backend server has no room",
                    RunRefusal::Unhealthy => "the backend server is not well",
                    _ => "the backend server refuses it",
                });
                progress.state = RunState::Idle {
                    not_before_ms: now_ms,
                };
            }
            RunAnswer::OtherLife | RunAnswer::OtherServer => self.end_replaced(&answer),
        }
    }

    /// Applies the answer to a stop.
    fn apply_stop_answer(&mut self, run: RunKey, answer: RunAnswer, now_ms: u64) {
        let from_list = self.last_list + 1;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        // No completion ends the wait for a list if a trial fails.
        let stop_retry_ms = match incarnation.completion_trial.run() {
            Some(trial) if trial == run => RETRY_MS,
            _ => STOP_RETRY_MS,
        };
        let is_done = matches!(answer, RunAnswer::Done { .. })
            || answer == RunAnswer::Refused(RunRefusal::OldRun);
        match (incarnation.runs.get_mut(&run), &answer) {
            (_, RunAnswer::OtherLife | RunAnswer::OtherServer) => self.end_replaced(&answer),
            (Some(progress), _) if is_done => {
                progress.state = RunState::StopConfirmed {
                    from_list,
                    retry_at_ms: now_ms + stop_retry_ms,
                };
                // Only a list that is requested after the stop proves that the run never started.
                self.request_renewal();
            }
            (Some(progress), _) => {
                progress.state = RunState::Idle {
                    not_before_ms: now_ms + RETRY_MS,
                };
            }
            (None, _) => {
                let pause_ms = if is_done { STOP_RETRY_MS } else { RETRY_MS };
                if let Some(stop) = incarnation.unordered.get_mut(&run) {
                    *stop = UnorderedStop::Answered {
                        retry_at_ms: now_ms + pause_ms,
                    };
                }
            }
        }
    }
}
