//! The calls that a run table makes to its backend server.

use std::collections::BTreeSet;

use roseridge_model::DurationMs;

use crate::{
    RunCall,
    RunTable,
    backend_incarnation::min_clock_ms,
    run_progress::RunState, //
};

/// The minimum remaining lease for which a start is sent, in milliseconds.
const MIN_START_LEASE_MS: u64 = 200;

impl RunTable {
    /// Returns the calls that are due, each with the number to pass on with its answer.
    pub fn next_calls(&mut self, now_ms: u64) -> Vec<(u64, RunCall)> {
        let mut calls = Vec::new();
        if now_ms >= self.renew_not_before_ms {
            self.request_candidate_list(&mut calls);
        }
        if self.incarnation.is_some() {
            self.push_renewals(&mut calls, now_ms);
            self.push_run_calls(&mut calls, now_ms);
        }
        calls
    }

    /// Requests the list of the candidate; another incarnation does not carry out the call.
    fn request_candidate_list(&mut self, calls: &mut Vec<(u64, RunCall)>) {
        let Some(candidate) = self
            .candidate
            .as_ref()
            .filter(|_| !self.is_candidate_call_open)
        else {
            return;
        };
        self.is_candidate_call_open = true;
        self.last_list += 1;
        let call = RunCall::Renew {
            backend: candidate.backend.clone(),
            fence: self.fence,
            lease_until_ms: None,
            ends_seen: 0,
            wait: DurationMs(0),
        };
        calls.push((self.last_list, call));
    }

    /// Adds the renewals that are due.
    ///
    /// One renewal may wait for a completion. While it waits, a second one carries a new lease or
    /// requests a list, and is answered at once.
    fn push_renewals(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let has_new_lease = incarnation.lease_until_ms > incarnation.sent_lease_until_ms;
        let is_waiting_due = !self.is_waiting_renewal_open && now_ms >= self.renew_not_before_ms;
        let is_immediate_due =
            self.is_waiting_renewal_open && has_new_lease && !self.is_immediate_renewal_open;
        if !is_waiting_due && !is_immediate_due {
            return;
        }
        let wait = match is_waiting_due && incarnation.has_list {
            true => self.timing.list_wait,
            false => DurationMs(0),
        };
        match is_waiting_due {
            true => self.is_waiting_renewal_open = true,
            false => self.is_immediate_renewal_open = true,
        }
        incarnation.sent_lease_until_ms = incarnation.lease_until_ms;
        self.last_list += 1;
        let call = RunCall::Renew {
            backend: incarnation.report.backend.clone(),
            fence: self.fence,
            lease_until_ms: has_new_lease.then_some(incarnation.lease_until_ms),
            ends_seen: incarnation.ends_seen,
            wait,
        };
        calls.push((self.last_list, call));
    }

    /// Adds the starts and stops that are due.
    fn push_run_calls(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let backend = incarnation.report.backend.clone();
        let remaining_lease_ms = incarnation
            .lease_until_ms
            .saturating_sub(min_clock_ms(incarnation.clock, now_ms));
        let is_leaving =
            incarnation.report.draining.is_some() || incarnation.shutdown_notice_ms.is_some();
        let fence = self.fence;
        let number = self.last_list + 1;
        let completed: BTreeSet<_> = incarnation
            .completions
            .values()
            .map(|completion| completion.run)
            .collect();
        for (run, progress) in &mut incarnation.runs {
            let is_running = incarnation.running.contains_key(run);
            let is_due = match progress.state {
                RunState::Idle { not_before_ms } => now_ms >= not_before_ms,
                RunState::Started { .. } => progress.is_stop_due(),
                RunState::StopConfirmed { retry_at_ms, .. } => is_running && now_ms >= retry_at_ms,
                RunState::Starting | RunState::Stopping | RunState::Unstarted => false,
            };
            if !is_due || completed.contains(run) || !incarnation.has_list {
                continue;
            }
            if is_leaving && !is_running && !matches!(progress.state, RunState::Started { .. }) {
                progress
                    .abandon_reason
                    .get_or_insert("the backend server leaves");
            }
            let text = self.texts.get(&run.task.flow);
            match text {
                _ if progress.is_stop_due() => {
                    progress.state = RunState::Stopping;
                    calls.push((
                        number,
                        RunCall::Stop {
                            backend: backend.clone(),
                            fence,
                            run: *run,
                        },
                    ));
                }
                _ if is_running => {
                    progress.state = RunState::Started { from_list: number };
                }
                Some(text) if remaining_lease_ms > MIN_START_LEASE_MS => {
                    progress.state = RunState::Starting;
                    calls.push((
                        number,
                        RunCall::Start {
                            backend: backend.clone(),
                            fence,
                            run: *run,
                            text: text.clone(),
                            saved: progress.order.saved.clone(),
                            lease_until_ms: incarnation.lease_until_ms,
                        },
                    ));
                }
                _ => {}
            }
        }
        let has_orders = incarnation.orders_index > 0;
        let unordered = incarnation.running.keys();
        let unordered: Vec<_> = unordered
            .filter(|run| has_orders && !incarnation.runs.contains_key(run))
            .filter(|run| !incarnation.unordered.contains(run))
            .copied()
            .collect();
        for run in unordered {
            incarnation.unordered.insert(run);
            calls.push((
                number,
                RunCall::Stop {
                    backend: backend.clone(),
                    fence,
                    run,
                },
            ));
        }
    }

    /// Makes a renewal due that sends the lease again and requests a new list, even while another one
    /// waits for a completion.
    pub(crate) fn request_renewal(&mut self) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.sent_lease_until_ms = 0;
        }
    }
}
