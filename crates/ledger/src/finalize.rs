//! The release of a gang, and the transition of its job when every member has ended.

use roseridge_model::{
    AnswerBody,
    JobId,
    JobOutcome,
    TaskOutcome,
    UnixMillis, //
};

use crate::{
    GangRecord,
    JobRecord,
    JobState,
    LedgerState,
    StopReason, //
};

/// The transition of a job after its gang has ended.
enum JobTransition {
    /// The job ends.
    End(JobOutcome),
    /// The job waits for another placement; `failed` is whether the attempt counts as failed.
    Requeue { failed: bool },
}

impl LedgerState {
    /// Advances a placed gang after a change of a member.
    ///
    /// Releases the gang once every member is held, stops it once a member ends without an answer,
    /// and finalizes it once every member has ended.
    pub(crate) fn advance_gang(&mut self, job: JobId) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Placed(gang) = &mut record.state else {
            return;
        };
        if gang.has_ended() {
            self.finalize_gang(job);
            return;
        }
        let unanswered = gang
            .members
            .iter()
            .position(|m| !matches!(m.outcome, None | Some(TaskOutcome::Done(_))));
        match unanswered {
            Some(member) if gang.stop.is_none() => {
                let member = u16::try_from(member).unwrap_or(u16::MAX);
                self.stop_gang(job, StopReason::MemberEnded { member });
            }
            None if gang.stop.is_none() && gang.released.is_none() => self.try_release(job),
            _ => {}
        }
    }

    /// Commits the start of a gang if all its members are held.
    fn try_release(&mut self, job: JobId) {
        let now = self.now;
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Placed(gang) = &mut record.state else {
            return;
        };
        if !gang.members.iter().all(|m| m.held) {
            return;
        }
        gang.released = Some(now);
        record.first_start.get_or_insert(now);
        let workers: Vec<_> = gang.members.iter().map(|m| m.worker.clone()).collect();
        for worker in &workers {
            self.mark_orders_changed(worker);
        }
    }

    /// Ends or requeues a job whose gang has ended.
    fn finalize_gang(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let JobState::Placed(gang) = &record.state else {
            return;
        };
        let transition = next_transition(record, gang, self.is_idempotent(record));
        self.record_gang_results(job);
        match transition {
            JobTransition::End(outcome) => {
                let outcome = self.add_failure_reasons(job, outcome);
                self.end_job(job, outcome);
            }
            JobTransition::Requeue { failed } => {
                if let Some(record) = self.jobs.get_mut(&job) {
                    record.failures += u32::from(failed);
                }
                self.requeue(job, failed);
            }
        }
    }

    /// Returns whether a job may be started again.
    ///
    /// Both the rule at the time of acceptance and the current rule must allow it, so that no
    /// change of a template on its own permits a second run.
    pub(crate) fn is_idempotent(&self, record: &JobRecord) -> bool {
        let template = self.templates.get(&record.customer);
        let rule = template.and_then(|t| t.classes.get(&record.spec.class));
        record.rule.idempotent && rule.is_none_or(|r| r.idempotent)
    }

    /// Ends a job and starts its retention.
    pub(crate) fn end_job(&mut self, job: JobId, outcome: JobOutcome) {
        let at: UnixMillis = self.now;
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let workers = match &record.state {
            JobState::Placed(gang) => gang.members.iter().map(|m| m.worker.clone()).collect(),
            _ => Vec::new(),
        };
        let retention = record.rule.answer_retention_ms;
        let state = JobState::Ended {
            outcome,
            at,
            workers,
        };
        self.set_state(job, state);
        self.timers.insert((at.plus(retention), job));
    }
}

/// Returns the transition of a job after every member of its gang has ended.
fn next_transition(record: &JobRecord, gang: &GangRecord, is_idempotent: bool) -> JobTransition {
    let released = gang.released.is_some();
    let can_repeat = !released || is_idempotent;
    let lost = gang
        .members
        .iter()
        .any(|m| m.outcome == Some(TaskOutcome::Lost));
    match (member_answers(gang), failure_reason(gang), &gang.stop) {
        (Some(answers), _, _) => JobTransition::End(JobOutcome::Done(answers)),
        (_, _, Some(StopReason::Cancelled)) => {
            JobTransition::End(cancelled(record, lost && !can_repeat))
        }
        (_, Some(reason), _) if !can_repeat => JobTransition::End(JobOutcome::Failed(reason)),
        (_, Some(reason), _) => retry_or_fail(record, &reason),
        _ if lost && !can_repeat => unknown("a worker was lost after the start"),
        _ if lost => retry_or_fail(record, "its workers were lost"),
        _ if !can_repeat => unknown("it was stopped after its start"),
        (_, _, Some(StopReason::HoldTimeout)) => {
            retry_or_fail(record, "its members could not be held in time")
        }
        (_, _, Some(StopReason::MemberEnded { .. })) if released => {
            retry_or_fail(record, "a member could not be started")
        }
        _ => JobTransition::Requeue { failed: false },
    }
}

/// Ends a job of which it is unknown whether its members completed.
fn unknown(reason: &str) -> JobTransition {
    JobTransition::End(JobOutcome::Unknown(reason.to_owned()))
}

/// Returns the outcome of a cancelled job.
fn cancelled(record: &JobRecord, is_unknown: bool) -> JobOutcome {
    match record.first_start {
        None => JobOutcome::NotRun("cancelled before its start".to_owned()),
        Some(_) if is_unknown => {
            JobOutcome::Unknown("cancelled after its start, and a worker was lost".to_owned())
        }
        Some(_) => JobOutcome::Cancelled,
    }
}

/// Requeues a job for another attempt, or ends it if its attempt limit is reached.
fn retry_or_fail(record: &JobRecord, reason: &str) -> JobTransition {
    let is_last = record.failures + 1 >= record.rule.attempt_limit;
    match record.first_start {
        _ if !is_last => JobTransition::Requeue { failed: true },
        // No attempt was ever started.
        None => JobTransition::End(JobOutcome::NotRun(reason.to_owned())),
        Some(_) => JobTransition::End(JobOutcome::Failed(reason.to_owned())),
    }
}

/// Returns the reason of the first member that failed.
fn failure_reason(gang: &GangRecord) -> Option<String> {
    gang.members.iter().find_map(|m| match &m.outcome {
        Some(TaskOutcome::Failed(reason)) => Some(reason.clone()),
        _ => None,
    })
}

/// Returns the answers of all members, if every member answered.
fn member_answers(gang: &GangRecord) -> Option<Vec<AnswerBody>> {
    let bodies = gang.members.iter().map(|m| match &m.outcome {
        Some(TaskOutcome::Done(body)) => Some(body.clone()),
        _ => None,
    });
    bodies.collect()
}
