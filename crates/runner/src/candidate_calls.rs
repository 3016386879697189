//! How an incarnation that has announced itself becomes the current one.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    BackendId,
    DurationMs,
    RunKey, //
};

use crate::{
    RunAnswer,
    RunCall,
    RunList,
    RunRefusal,
    RunTable,
    StatusReport, //
    backend_incarnation::BackendIncarnation,
    call_answers::RETRY_MS,
    stop_barrier::{
        LATE_CALL_MS,
        StopBarrier, //
    },
};

/// An incarnation that has announced itself and is not current yet.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) report: StatusReport,
    /// The stops that it has to carry out first; `None` before it has answered a call.
    pub(crate) barrier: Option<StopBarrier>,
}

/// A barrier of stops, as log lines show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BarrierView {
    /// The later incarnation, which carries out the stops.
    pub backend: BackendId,
    /// The number of runs that may have been started on earlier incarnations with the same name.
    pub stops: usize,
    /// The agent's time at which the barrier was raised, in milliseconds.
    pub since_ms: u64,
}

impl RunTable {
    /// Returns the barrier that a later incarnation with the name of the current one has to pass.
    pub fn barrier(&self) -> Option<BarrierView> {
        let candidate = self.candidate.as_ref()?;
        let barrier = candidate.barrier.as_ref()?;
        Some(BarrierView {
            backend: candidate.report.backend.clone(),
            stops: barrier.len(),
            since_ms: barrier.since_ms,
        })
    }

    /// Makes the incarnation of a report the candidate.
    ///
    /// A candidate that has answered a call keeps its place until it fails, so that a report from
    /// another writer can't lengthen the barrier.
    pub(crate) fn propose_candidate(&mut self, report: StatusReport) {
        self.renew_not_before_ms = 0;
        match &mut self.candidate {
            Some(candidate) if candidate.report.backend == report.backend => {
                if report.sequence > candidate.report.sequence {
                    candidate.report = report;
                    let barrier = candidate.barrier.iter_mut();
                    barrier.for_each(StopBarrier::end_pauses);
                }
            }
            Some(candidate) if candidate.barrier.is_some() => self.next_candidate = Some(report),
            _ => {
                self.candidate = Some(Candidate {
                    report,
                    barrier: None,
                });
            }
        }
    }

    /// Requests the list of the candidate, and the stops of its barrier.
    pub(crate) fn push_candidate_calls(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        let backend = candidate.report.backend.clone();
        let is_down = self.backoff.is_down();
        let barrier = candidate.barrier.as_mut();
        let stops = barrier.map(|barrier| barrier.take_due(is_down, now_ms));
        for run in stops.into_iter().flatten() {
            let call = RunCall::Stop {
                backend: backend.clone(),
                fence: self.fence,
                run,
            };
            calls.push((self.last_list + 1, call));
        }
        let needs_list = candidate.barrier.as_ref();
        let needs_list = needs_list.is_none_or(|barrier| barrier.is_settled(now_ms));
        if self.candidate_call.is_some() || !needs_list || now_ms < self.renew_not_before_ms {
            return;
        }
        self.last_list += 1;
        self.candidate_call = Some(self.last_list);
        let call = RunCall::Renew {
            backend,
            fence: self.fence,
            lease_until_ms: None,
            ends_seen: 0,
            wait: DurationMs(0),
        };
        calls.push((self.last_list, call));
    }

    /// Applies the answer to the candidate's list call.
    pub(crate) fn apply_candidate_list(&mut self, number: u64, answer: RunAnswer, now_ms: u64) {
        match answer {
            RunAnswer::Done { clock_ms, list } => {
                self.backoff.record_answer();
                self.advance_candidate(number, (clock_ms, list.unwrap_or_default()), now_ms);
            }
            // The candidate is alive and has seen the term of a leader that this incarnation of the
            // agent has had no contact with yet.
            RunAnswer::Refused(RunRefusal::OldFence) => {
                self.renew_not_before_ms = now_ms + RETRY_MS;
            }
            RunAnswer::NoAnswer | RunAnswer::Refused(_)
                if self.barrier().is_some() && self.next_candidate.is_none() =>
            {
                self.renew_not_before_ms = now_ms + self.backoff.record_failure();
            }
            // A candidate that is alive announces itself again.
            _ => self.drop_candidate(),
        }
    }

    /// Applies the answer to a stop of the candidate's barrier.
    pub(crate) fn apply_barrier_answer(&mut self, run: RunKey, answer: &RunAnswer, now_ms: u64) {
        let next_list = self.last_list + 1;
        let barrier = self.candidate.as_mut().and_then(|c| c.barrier.as_mut());
        let pause_ms = match answer {
            RunAnswer::NoAnswer => self.backoff.record_failure(),
            _ => {
                self.backoff.record_answer();
                RETRY_MS
            }
        };
        match (barrier, answer) {
            (_, RunAnswer::OtherLife | RunAnswer::OtherServer) => self.drop_candidate(),
            (Some(barrier), _) => {
                barrier.apply_answer((run, answer), next_list, now_ms + pause_ms);
            }
            (None, _) => {}
        }
    }

    /// Drops the candidate, which has ended, and takes up the one that was reported meanwhile.
    fn drop_candidate(&mut self) {
        let next = self.next_candidate.take();
        self.candidate = next.map(|report| Candidate {
            report,
            barrier: None,
        });
        self.candidate_call = None;
    }

    /// Applies a list of the candidate: raises its barrier, or makes the candidate current once the
    /// barrier is passed.
    fn advance_candidate(&mut self, number: u64, (clock_ms, list): (u64, RunList), now_ms: u64) {
        let Some(mut candidate) = self.candidate.take() else {
            return;
        };
        let runs = self.runs_to_stop(&candidate.report.backend);
        let is_passed = match &mut candidate.barrier {
            Some(barrier) => {
                let running: BTreeSet<_> = list.running.iter().map(|row| row.run).collect();
                barrier.apply_list(number, &running, now_ms)
            }
            None => runs.is_empty(),
        };
        if is_passed {
            return self.adopt_candidate(candidate.report, number, (clock_ms, list), now_ms);
        }
        if candidate.barrier.is_none() {
            candidate.barrier = Some(StopBarrier::new(runs, now_ms));
            self.mark_replaced();
        }
        self.candidate = Some(candidate);
    }

    /// Returns the runs that may have been started on earlier incarnations with the same name, each with
    /// the time of its last start.
    fn runs_to_stop(&self, backend: &BackendId) -> BTreeMap<RunKey, u64> {
        let is_earlier = |id: &BackendId| id != backend && id.shares_name(backend);
        let ended = self.ended_starts.iter();
        let ended = ended.filter(|(id, _)| is_earlier(id));
        let ended = ended.flat_map(|(_, starts)| starts.clone());
        let current = self.incarnation.iter();
        let current = current.filter(|current| is_earlier(&current.report.backend));
        let current = current.flat_map(BackendIncarnation::possible_starts);
        ended.chain(current).collect()
    }

    /// Makes the candidate current in place of the earlier incarnation, which has ended.
    fn adopt_candidate(
        &mut self,
        report: StatusReport,
        number: u64,
        (clock_ms, list): (u64, RunList),
        now_ms: u64,
    ) {
        let is_first = self.incarnation.is_none() && self.ended_incarnations.is_empty();
        self.end_incarnation();
        // Another restart may follow before these starts are void.
        for (_, starts) in &mut self.ended_starts {
            starts.retain(|_, sent_ms| now_ms < sent_ms.saturating_add(LATE_CALL_MS));
        }
        self.ended_starts.retain(|(_, starts)| !starts.is_empty());
        self.next_candidate = None;
        self.renew_not_before_ms = now_ms;
        let is_beyond_doubt = !self.open_acks.may_reach(&report.backend);
        self.open_acks.forget_void(now_ms);
        if is_first {
            self.open_acks.record_first(&report.backend, now_ms);
        }
        self.incarnation = Some(BackendIncarnation {
            is_beyond_doubt,
            ..BackendIncarnation::new(report, clock_ms, now_ms)
        });
        self.apply_list(number, list, now_ms);
    }

    /// Makes no more calls to the current incarnation, since a later one with its name would carry them
    /// out.
    ///
    /// It is not reported as ended yet. If no later incarnation passes the barrier, the leader takes it
    /// as lost once its lease has ended.
    pub(crate) fn mark_replaced(&mut self) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.is_replaced = true;
        self.is_waiting_renewal_open = false;
        self.is_immediate_renewal_open = false;
        self.has_changes = true;
    }
}
