//! The calls that a run table makes to its backend server.

use std::collections::BTreeSet;

use roseridge_model::DurationMs;

use crate::{
    RunCall,
    RunTable,
    backend_incarnation::{
        UnorderedStop,
        min_clock_ms, //
    },
    run_progress::RunState, //
};

/// The minimum remaining lease for which a start is sent, in milliseconds.
const MIN_START_LEASE_MS: u64 = 200;

impl RunTable {
    /// Returns the calls that are due, each with the number to pass on with its answer.
    pub fn next_calls(&mut self, now_ms: u64) -> Vec<(u64, RunCall)> {
        let mut calls = Vec::new();
        self.push_candidate_calls(&mut calls, now_ms);
        if let Some(incarnation) = &mut self.incarnation
            && !incarnation.is_replaced
        {
            incarnation.forget_old_starts(now_ms);
            self.push_renewals(&mut calls, now_ms);
            if !self.backoff.is_down() {
                self.push_run_calls(&mut calls, now_ms);
                self.push_unordered_stops(&mut calls, now_ms);
            }
        }
        calls
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
        let is_waiting_due = !self.is_waiting_renewal_open
            && now_ms >= self.renew_not_before_ms
            && !(self.is_immediate_renewal_open && self.backoff.is_down());
        let has_failed = self.backoff.has_failed();
        let is_immediate_due = self.is_waiting_renewal_open
            && has_new_lease
            && !self.is_immediate_renewal_open
            && !has_failed;
        if !is_waiting_due && !is_immediate_due {
            return;
        }
        // After a failure, a later incarnation with the same name may answer. It must not carry out what is
        // meant for this one, so the call only requests a list.
        let ends_seen = match has_failed {
            true => 0,
            false => incarnation.unconfirmed_ends(),
        };
        // An attempt after a failure is answered at once, so that contact is known to be back. So is an
        // acknowledgement, which would otherwise be repeated meanwhile.
        let may_wait = incarnation.has_list && !has_failed && ends_seen == 0;
        let wait = match is_waiting_due && may_wait {
            true => self.timing.list_wait,
            false => DurationMs(0),
        };
        match is_waiting_due {
            true => self.is_waiting_renewal_open = true,
            false => self.is_immediate_renewal_open = true,
        }
        self.last_list += 1;
        let lease_until_ms = (has_new_lease && !has_failed).then_some(incarnation.lease_until_ms);
        if lease_until_ms.is_some() {
            incarnation.sent_lease_until_ms = incarnation.lease_until_ms;
        }
        let backend = incarnation.report.backend.clone();
        if ends_seen > 0 {
            let ack = (&backend, ends_seen);
            incarnation.ack_call = Some(self.last_list);
            self.open_acks.record(self.last_list, ack, now_ms);
        }
        let call = RunCall::Renew {
            backend,
            fence: self.fence,
            lease_until_ms,
            ends_seen,
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
            incarnation.draining().is_some() || incarnation.shutdown_notice_ms.is_some();
        let fence = self.fence;
        let number = self.last_list + 1;
        incarnation.reopen_trial();
        let trial_run = incarnation.completion_trial.run();
        let completed: BTreeSet<_> = incarnation
            .completions
            .values()
            .map(|completion| completion.run)
            .collect();
        for (run, progress) in &mut incarnation.runs {
            let is_running = incarnation.running.contains_key(run);
            if trial_run == Some(*run) && progress.has_started {
                progress
                    .abandon_reason
                    .get_or_insert("it was started for a trial");
            }
            let is_due = match progress.state {
                RunState::Idle { not_before_ms } => now_ms >= not_before_ms,
                RunState::Started { .. } => progress.is_stop_due(),
                RunState::StopConfirmed { retry_at_ms, .. } => is_running && now_ms >= retry_at_ms,
                // A run that starts although it was stopped is stopped again.
                RunState::Unstarted => is_running,
                RunState::Starting | RunState::Stopping => false,
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
                    progress.has_started = true;
                    progress.state = RunState::Started { from_list: number };
                }
                Some(text)
                    if remaining_lease_ms > MIN_START_LEASE_MS
                        && incarnation.completion_trial.admit(*run) =>
                {
                    progress.state = RunState::Starting;
                    incarnation.sent_starts.insert(*run, now_ms);
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
    }

    /// Adds the stops of listed runs that are not ordered. A stop is repeated until its run is no longer
    /// listed, since the answer to a stop doesn't prove that the run has ended.
    fn push_unordered_stops(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if incarnation.orders_index == 0 {
            return;
        }
        let listed = incarnation.running.keys();
        let unordered = listed.filter(|run| !incarnation.runs.contains_key(run));
        for run in unordered {
            match incarnation.unordered.get(run) {
                Some(UnorderedStop::Sent) => continue,
                Some(UnorderedStop::Answered { retry_at_ms }) if now_ms < *retry_at_ms => continue,
                _ => {}
            }
            incarnation.unordered.insert(*run, UnorderedStop::Sent);
            let call = RunCall::Stop {
                backend: incarnation.report.backend.clone(),
                fence: self.fence,
                run: *run,
            };
            calls.push((self.last_list + 1, call));
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
