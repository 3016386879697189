//! What becomes of a job when every member of its gang has ended.

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

/// What follows the end of a gang.
enum GangSequel {
    /// The job is over.
    End(JobOutcome),
    /// The job waits for new places; the flag tells whether the attempt counts as failed.
    Again { failed: bool },
}

impl LedgerState {
    /// Releases the gang when every member is held, or settles the job when every member has ended.
    pub(crate) fn advance_gang(&mut self, job: JobId) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Placed(gang) = &mut record.state else {
            return;
        };
        if gang.is_over() {
            self.settle(job);
            return;
        }
        let bad_end = gang
            .members
            .iter()
            .position(|m| !matches!(m.end, None | Some(TaskOutcome::Done(_))));
        match bad_end {
            Some(member) if gang.stop.is_none() => {
                let member = u16::try_from(member).unwrap_or(u16::MAX);
                self.stop_gang(job, StopReason::MemberEnded { member });
            }
            None if gang.stop.is_none() && gang.released.is_none() => self.try_release(job),
            _ => {}
        }
    }

    /// Commits the start of a gang whose members are all held.
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
            self.touch_orders(worker);
        }
    }

    fn settle(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let JobState::Placed(gang) = &record.state else {
            return;
        };
        let next = sequel(record, gang, self.is_idempotent(record));
        self.learn_from(job);
        match next {
            GangSequel::End(outcome) => {
                let outcome = self.with_reasons(job, outcome);
                self.end_job(job, outcome);
            }
            GangSequel::Again { failed } => {
                if let Some(record) = self.jobs.get_mut(&job) {
                    record.failures += u32::from(failed);
                }
                self.queue_again(job, failed);
            }
        }
    }

    /// Returns whether a job may be started again, by the rule that it was accepted under and by
    /// the rule in force: neither an old nor a new template allows a second run alone.
    pub(crate) fn is_idempotent(&self, record: &JobRecord) -> bool {
        let template = self.templates.get(&record.customer);
        let rule = template.and_then(|t| t.classes.get(&record.spec.class));
        record.rule.idempotent && rule.is_none_or(|r| r.idempotent)
    }

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

/// Decides what follows the end of a gang, of which every member has ended.
fn sequel(record: &JobRecord, gang: &GangRecord, idempotent: bool) -> GangSequel {
    let released = gang.released.is_some();
    let may_repeat = !released || idempotent;
    let lost = gang
        .members
        .iter()
        .any(|m| m.end == Some(TaskOutcome::Lost));
    match (answers(gang), failure(gang), &gang.stop) {
        (Some(answers), _, _) => GangSequel::End(JobOutcome::Done(answers)),
        (_, _, Some(StopReason::Cancelled)) => {
            GangSequel::End(cancelled(record, lost && !may_repeat))
        }
        (_, Some(reason), _) if !may_repeat => GangSequel::End(JobOutcome::Failed(reason)),
        (_, Some(reason), _) => again_or_fail(record, &reason),
        _ if lost && !may_repeat => unknown("a worker was lost after the start"),
        _ if lost => again_or_fail(record, "its workers were lost"),
        _ if !may_repeat => unknown("it was stopped after its start"),
        (_, _, Some(StopReason::HoldTimeout)) => {
            again_or_fail(record, "its members could not be held in time")
        }
        (_, _, Some(StopReason::MemberEnded { .. })) if released => {
            again_or_fail(record, "a member could not be started")
        }
        _ => GangSequel::Again { failed: false },
    }
}

fn unknown(reason: &str) -> GangSequel {
    GangSequel::End(JobOutcome::Unknown(reason.to_owned()))
}

fn cancelled(record: &JobRecord, is_unknown: bool) -> JobOutcome {
    match record.first_start {
        None => JobOutcome::NotRun("cancelled before its start".to_owned()),
        Some(_) if is_unknown => {
            JobOutcome::Unknown("cancelled after its start, and a worker was lost".to_owned())
        }
        Some(_) => JobOutcome::Cancelled,
    }
}

/// Lets a job wait for another attempt, or ends it when it has failed as often as it may.
fn again_or_fail(record: &JobRecord, reason: &str) -> GangSequel {
    let is_last = record.failures + 1 >= record.rule.attempt_limit;
    match record.first_start {
        _ if !is_last => GangSequel::Again { failed: true },
        // Nothing of it was ever started.
        None => GangSequel::End(JobOutcome::NotRun(reason.to_owned())),
        Some(_) => GangSequel::End(JobOutcome::Failed(reason.to_owned())),
    }
}

fn failure(gang: &GangRecord) -> Option<String> {
    gang.members.iter().find_map(|m| match &m.end {
        Some(TaskOutcome::Failed(reason)) => Some(reason.clone()),
        _ => None,
    })
}

/// Returns the answers of all members, if every member answered.
fn answers(gang: &GangRecord) -> Option<Vec<AnswerBody>> {
    let bodies = gang.members.iter().map(|m| match &m.end {
        Some(TaskOutcome::Done(body)) => Some(body.clone()),
        _ => None,
    });
    bodies.collect()
}
