//! The agent's state for its backend server and its orders, and the calls and reports made from it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FlowId,
    InstanceName,
    RunKey, //
};
use roseridge_wire::{
    FlowOrders,
    FlowReport, //
};

use crate::{
    RunAnswer,
    RunCall,
    RunList,
    RunRefusal,
    StatusReport, //
    backend_incarnation::{
        BackendIncarnation,
        backend_report,
        min_clock_ms, //
    },
    run_progress::{
        RunProgress,
        RunState, //
    },
};

/// The minimum remaining lease for which a start is sent, in milliseconds.
const MIN_START_LEASE_MS: u64 = 200;
/// The pause before a call that was not carried out is sent again, in milliseconds.
const RETRY_MS: u64 = 100;
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
/// The time after which a completion whose number was skipped counts as gone, in milliseconds.
///
/// A list that overtook another one is followed by a newer list within this time.
const COMPLETION_GAP_MS: u64 = 2_000;
/// The maximum number of ended incarnations that are kept and reported until a new one is current.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// The intervals of a run table.
#[derive(Debug, Clone, Copy)]
pub struct RunnerTiming {
    /// The maximum time that the backend server may wait for a completion before it answers a renewal.
    pub list_wait: DurationMs,
}

/// The agent's state for its backend server and its orders.
#[derive(Debug)]
pub struct RunTable {
    instance: InstanceName,
    timing: RunnerTiming,
    incarnation: Option<BackendIncarnation>,
    /// An incarnation that has announced itself and has not answered a call yet.
    candidate: Option<StatusReport>,
    /// The ended incarnations that are reported until a new one is current.
    ended_incarnations: Vec<BackendId>,
    /// The texts of the flows of the ordered runs.
    texts: FastMap<FlowId, String>,
    /// The highest term that the leader's orders carried.
    fence: u64,
    /// The number of the last report.
    sequence: u64,
    /// The digest of the control group that the leader last sent.
    known_group: u64,
    /// The number of the newest list that was requested.
    last_list: u64,
    /// Whether a renewal that may wait for a completion is in flight.
    is_waiting_renewal_open: bool,
    /// Whether a second renewal, which is answered at once, is in flight beside the waiting one.
    is_immediate_renewal_open: bool,
    /// Whether a call to the candidate is in flight.
    is_candidate_call_open: bool,
    /// The agent's time before which no renewal that may wait and no call to the candidate is made, in
    /// milliseconds.
    renew_not_before_ms: u64,
    /// Whether something has changed since the last report.
    has_changes: bool,
}

impl RunTable {
    /// Creates the table of an agent that has not had contact with its backend server yet.
    pub fn new(instance: InstanceName, timing: RunnerTiming) -> Self {
        Self {
            instance,
            timing,
            incarnation: None,
            candidate: None,
            ended_incarnations: Vec::new(),
            texts: FastMap::default(),
            fence: 0,
            sequence: 0,
            known_group: 0,
            last_list: 0,
            is_waiting_renewal_open: false,
            is_immediate_renewal_open: false,
            is_candidate_call_open: false,
            renew_not_before_ms: 0,
            has_changes: true,
        }
    }

    /// Returns the current incarnation of the backend server.
    pub fn backend(&self) -> Option<&BackendId> {
        self.incarnation
            .as_ref()
            .map(|incarnation| &incarnation.report.backend)
    }

    /// Applies a backend server's report on itself.
    ///
    /// A report of another incarnation makes that one the candidate, which has to answer a call before
    /// it replaces the current one.
    pub fn apply_status_report(&mut self, report: StatusReport) {
        match &mut self.incarnation {
            Some(incarnation) if incarnation.report.backend == report.backend => {
                if report.sequence <= incarnation.report.sequence {
                    return;
                }
                let starts_draining =
                    report.draining.is_some() && incarnation.report.draining.is_none();
                let changed = report.profile != incarnation.report.profile;
                incarnation.wants_profile |= changed;
                self.has_changes |= starts_draining || changed;
                // Draining is final for an incarnation.
                let draining = report.draining.or(incarnation.report.draining);
                incarnation.report = StatusReport { draining, ..report };
            }
            _ if self.ended_incarnations.contains(&report.backend) => {}
            _ => self.candidate = Some(report),
        }
    }

    /// Records that an incarnation has announced its shutdown.
    pub fn record_shutdown_notice(&mut self, backend: &BackendId, now_ms: u64) {
        if let Some(incarnation) = &mut self.incarnation
            && incarnation.report.backend == *backend
        {
            incarnation.shutdown_notice_ms.get_or_insert(now_ms);
        }
    }

    /// Applies the leader's orders.
    ///
    /// Orders for another incarnation update only the term and the digest of the control group.
    pub fn apply_orders(&mut self, orders: FlowOrders) {
        self.fence = self.fence.max(orders.fence);
        if let Some(group) = &orders.group {
            self.known_group = group.digest;
        }
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if orders.backend.as_ref() != Some(&incarnation.report.backend) {
            return;
        }
        if orders.wants_profile && !incarnation.wants_profile {
            incarnation.wants_profile = true;
            self.has_changes = true;
        }
        if orders.lease_until_ms.is_some() {
            incarnation.wants_profile = false;
        }
        let lease_until_ms = orders.lease_until_ms.unwrap_or(0);
        incarnation.lease_until_ms = incarnation.lease_until_ms.max(lease_until_ms);
        if orders.ends_seen > incarnation.ends_seen {
            // Once the backend server has forgotten the acknowledged completions, a renewal waits for
            // new ones again.
            self.renew_not_before_ms = 0;
            incarnation.ends_seen = orders.ends_seen;
        }
        let acknowledged = incarnation.ends_seen;
        incarnation
            .completions
            .retain(|number, _| *number > acknowledged);
        self.texts.extend(orders.texts);
        if let Some(runs) = orders.runs
            && orders.index >= incarnation.orders_index
        {
            incarnation.orders_index = orders.index;
            let mut previous_runs = std::mem::take(&mut incarnation.runs);
            for order in runs {
                let mut progress = previous_runs
                    .remove(&order.run)
                    .unwrap_or_else(|| RunProgress::new(order.clone()));
                progress.order = order;
                incarnation.runs.insert(progress.order.run, progress);
            }
            let flows: BTreeSet<_> = incarnation.runs.keys().map(|run| run.task.flow).collect();
            self.texts.retain(|flow, _| flows.contains(flow));
        }
    }

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

    /// Applies the answer to a call that was returned with a number.
    pub fn apply_answer(&mut self, number: u64, call: &RunCall, answer: RunAnswer, now_ms: u64) {
        let is_current = self.backend() == Some(call.backend());
        let is_candidate = self.candidate.as_ref().map(|c| &c.backend) == Some(call.backend());
        match call {
            RunCall::Renew { wait, .. } if is_current => {
                match *wait {
                    DurationMs(0) if self.is_immediate_renewal_open => {
                        self.is_immediate_renewal_open = false
                    }
                    _ => self.is_waiting_renewal_open = false,
                }
                self.apply_renewal_answer(number, call, answer, now_ms);
            }
            RunCall::Renew { .. } if is_candidate => {
                self.is_candidate_call_open = false;
                self.apply_candidate_answer(number, answer, now_ms);
            }
            RunCall::Renew { .. } => self.is_candidate_call_open = false,
            _ if !is_current => {}
            RunCall::Start { run, .. } => self.apply_start_answer(*run, answer, now_ms),
            RunCall::Stop { run, .. } => self.apply_stop_answer(*run, answer, now_ms),
        }
    }

    /// Applies the candidate's answer; a candidate that carried out the call becomes current.
    fn apply_candidate_answer(&mut self, number: u64, answer: RunAnswer, now_ms: u64) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let (clock_ms, list) = match answer {
            RunAnswer::Done { clock_ms, list } => (clock_ms, list),
            // The candidate is alive and has seen the term of a leader that this incarnation of the
            // agent has had no contact with yet.
            RunAnswer::Refused(RunRefusal::OldFence) => {
                self.candidate = Some(candidate);
                self.renew_not_before_ms = now_ms + RETRY_MS;
                return;
            }
            // A candidate that is alive announces itself again.
            _ => return,
        };
        if let Some(replaced) = self.incarnation.take() {
            self.record_ended_incarnation(replaced.report.backend);
        }
        self.is_waiting_renewal_open = false;
        self.is_immediate_renewal_open = false;
        self.renew_not_before_ms = now_ms;
        self.texts.clear();
        self.has_changes = true;
        self.incarnation = Some(BackendIncarnation {
            report: candidate,
            clock: (clock_ms, now_ms),
            lease_until_ms: 0,
            sent_lease_until_ms: 0,
            orders_index: 0,
            ends_seen: 0,
            completions: BTreeMap::new(),
            running: BTreeMap::new(),
            listed_ms: now_ms,
            runs: BTreeMap::new(),
            unordered: BTreeSet::new(),
            has_list: false,
            gap_since_ms: None,
            shutdown_notice_ms: None,
            wants_profile: true,
        });
        if let Some(list) = list {
            self.apply_list(number, list, now_ms);
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
        match answer {
            RunAnswer::Done { clock_ms, list } => {
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
            RunAnswer::OtherLife => self.end_incarnation(),
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
                self.renew_not_before_ms = now_ms + RETRY_MS;
            }
        }
    }

    /// Applies a list: its completions, its running runs, and what both prove about ordered runs.
    ///
    /// A run that is in neither list is known not to run only if no completion can be missing. While a
    /// number is skipped or the list is truncated, the run stays in doubt, since it may be done.
    fn apply_list(&mut self, number: u64, list: RunList, now_ms: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.has_list = true;
        for completion in list.ended {
            if completion.number > incarnation.ends_seen
                && incarnation
                    .completions
                    .insert(completion.number, completion)
                    .is_none()
            {
                self.has_changes = true;
            }
        }
        let running = list.running.into_iter();
        incarnation.running = running.map(|listed| (listed.run, listed)).collect();
        incarnation.listed_ms = now_ms;
        let gap_since_ms = incarnation.gap_since_ms.unwrap_or(now_ms);
        incarnation.gap_since_ms = incarnation.has_completion_gap().then_some(gap_since_ms);
        let has_open_gap = incarnation
            .gap_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + COMPLETION_GAP_MS);
        let listed = &incarnation.running;
        incarnation.unordered.retain(|run| listed.contains_key(run));
        let completed: BTreeSet<_> = incarnation
            .completions
            .values()
            .map(|completion| completion.run)
            .collect();
        if list.is_truncated || has_open_gap {
            return;
        }
        for (run, progress) in &mut incarnation.runs {
            let is_listed = incarnation.running.contains_key(run) || completed.contains(run);
            match progress.state {
                _ if is_listed => {}
                RunState::StopConfirmed { from_list, .. } if number >= from_list => {
                    progress.state = RunState::Unstarted;
                    progress
                        .abandon_reason
                        .get_or_insert("stopped before its start");
                    self.has_changes = true;
                }
                RunState::Started { from_list } if number >= from_list => {
                    progress
                        .abandon_reason
                        .get_or_insert("the run is not listed");
                    progress.state = RunState::Idle {
                        not_before_ms: now_ms,
                    };
                }
                _ => {}
            }
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
            RunAnswer::OtherLife => self.end_incarnation(),
        }
    }

    /// Applies the answer to a stop.
    fn apply_stop_answer(&mut self, run: RunKey, answer: RunAnswer, now_ms: u64) {
        let from_list = self.last_list + 1;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let is_done = matches!(answer, RunAnswer::Done { .. })
            || answer == RunAnswer::Refused(RunRefusal::OldRun);
        match (incarnation.runs.get_mut(&run), &answer) {
            (_, RunAnswer::OtherLife) => self.end_incarnation(),
            (Some(progress), _) if is_done => {
                progress.state = RunState::StopConfirmed {
                    from_list,
                    retry_at_ms: now_ms + STOP_RETRY_MS,
                };
                // Only a list that is requested after the stop proves that the run never started.
                self.request_renewal();
            }
            (Some(progress), _) => {
                progress.state = RunState::Idle {
                    not_before_ms: now_ms + RETRY_MS,
                };
            }
            (None, _) if !is_done => {
                incarnation.unordered.remove(&run);
            }
            (None, _) => {}
        }
    }

    /// Makes a renewal due that sends the lease again and requests a new list, even while another one
    /// waits for a completion.
    fn request_renewal(&mut self) {
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.sent_lease_until_ms = 0;
        }
    }

    /// Ends the current incarnation without a successor.
    fn end_incarnation(&mut self) {
        if let Some(incarnation) = self.incarnation.take() {
            self.record_ended_incarnation(incarnation.report.backend);
        }
        self.is_waiting_renewal_open = false;
        self.is_immediate_renewal_open = false;
        self.texts.clear();
        self.has_changes = true;
    }

    /// Adds an ended incarnation to those reported, and drops the oldest beyond the maximum.
    fn record_ended_incarnation(&mut self, backend: BackendId) {
        if self.ended_incarnations.len() >= MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.remove(0);
        }
        self.ended_incarnations.push(backend);
    }

    /// Returns whether something has changed since the last report.
    pub fn has_unreported_changes(&self) -> bool {
        self.has_changes
    }

    /// Builds the next report to the leader, which may wait for `hold` before it replies.
    pub fn report(&mut self, hold: DurationMs, now_ms: u64) -> FlowReport {
        self.has_changes = false;
        self.sequence += 1;
        FlowReport {
            instance: self.instance.clone(),
            sequence: self.sequence,
            backend: self
                .incarnation
                .as_ref()
                .map(|incarnation| backend_report(incarnation, &self.texts, now_ms)),
            ended: match self.incarnation {
                Some(_) => Vec::new(),
                None => self.ended_incarnations.clone(),
            },
            hold,
            known_fence: self.fence,
            known_group: self.known_group,
        }
    }
}
