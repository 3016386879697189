//! Announcements, reports and losses of workers.

use std::collections::BTreeSet;

use roseridge_model::{
    IncarnationId,
    TaskId,
    TaskOutcome,
    TaskPhase,
    TaskStatus,
    WorkerName,
    WorkerShape, //
};

use crate::{
    CommandOutcome,
    JobState,
    LedgerState,
    MemberRecord,
    RefusalReason,
    StopReason,
    WorkerRecord, //
};

/// Earlier lives of an agent that are remembered; a report of an older one is long out of date.
const MAX_RETIRED: usize = 16;

fn first_record(incarnation: IncarnationId, shape: &WorkerShape) -> WorkerRecord {
    WorkerRecord {
        shape: shape.clone(),
        incarnation,
        live: true,
        leaving: false,
        tasks: BTreeSet::new(),
        orders_index: 0,
        retired: Vec::new(),
    }
}

impl WorkerRecord {
    /// Puts a new life of the agent in force and ends the one before.
    fn retire(&mut self, incarnation: IncarnationId) {
        let last = std::mem::replace(&mut self.incarnation, incarnation);
        if self.retired.len() >= MAX_RETIRED {
            self.retired.remove(0);
        }
        self.retired.push(last);
    }
}

impl LedgerState {
    pub(crate) fn announce_worker(
        &mut self,
        worker: WorkerName,
        (incarnation, leaving): (IncarnationId, bool),
        shape: WorkerShape,
        found: Vec<TaskStatus>,
    ) -> CommandOutcome {
        if !self.workers.contains_key(&worker) {
            self.policy.grown = self.now;
        }
        let record = self.workers.entry(worker.clone());
        let record = record.or_insert_with(|| first_record(incarnation, &shape));
        // A report of an earlier life may arrive late; that life never comes back.
        if record.retired.contains(&incarnation) {
            return CommandOutcome::Refused(RefusalReason::OldIncarnation);
        }
        let same_life = record.incarnation == incarnation;
        record.shape = shape;
        record.live = true;
        record.leaving = leaving || (same_life && record.leaving);
        record.orders_index = self.applied;
        if !same_life {
            record.retire(incarnation);
            for task in record.tasks.clone() {
                self.adopt(task, incarnation, &found);
            }
        }
        self.note_statuses(&worker, incarnation, found);
        CommandOutcome::Applied
    }

    /// Hands a task to a new life of its agent, or gives it up when the backend server lacks it.
    fn adopt(&mut self, task: TaskId, incarnation: IncarnationId, found: &[TaskStatus]) {
        let is_found = found.iter().any(|s| s.task == task);
        let released = self.is_released(task);
        let end = match (is_found, released) {
            (true, _) => None,
            (false, false) => Some(TaskOutcome::NotStarted),
            (false, true) => Some(TaskOutcome::Lost),
        };
        if let Some(member) = self.member_mut(task) {
            member.incarnation = incarnation;
        }
        if let Some(end) = end {
            self.end_member(task, end);
        }
    }

    fn is_released(&self, task: TaskId) -> bool {
        match self.jobs.get(&task.job).map(|j| &j.state) {
            Some(JobState::Placed(gang)) => gang.released.is_some(),
            _ => false,
        }
    }

    pub(crate) fn take_report(
        &mut self,
        worker: &WorkerName,
        incarnation: IncarnationId,
        statuses: Vec<TaskStatus>,
        leaving: bool,
    ) -> CommandOutcome {
        match self.workers.get_mut(worker) {
            Some(record) if record.incarnation == incarnation && record.live => {
                let begins_to_leave = leaving && !record.leaving;
                // A life that leaves never takes new work again.
                record.leaving |= leaving;
                self.note_statuses(worker, incarnation, statuses);
                if begins_to_leave {
                    self.clear_worker(worker);
                }
                CommandOutcome::Applied
            }
            _ => CommandOutcome::Refused(RefusalReason::OldIncarnation),
        }
    }

    /// Stops what need not end on a worker that leaves: gangs that have not started, and those that
    /// go on elsewhere from a checkpoint.
    fn clear_worker(&mut self, worker: &WorkerName) {
        let tasks = self.workers.get(worker).map(|w| w.tasks.clone());
        for task in tasks.unwrap_or_default() {
            let moves = self
                .jobs
                .get(&task.job)
                .is_some_and(|job| match &job.state {
                    JobState::Placed(gang) if gang.released.is_some() => {
                        job.rule.checkpointable && self.is_idempotent(job)
                    }
                    _ => true,
                });
            if moves {
                self.stop_gang(task.job, StopReason::WorkerLeaving);
            }
        }
    }

    fn note_statuses(
        &mut self,
        worker: &WorkerName,
        incarnation: IncarnationId,
        statuses: Vec<TaskStatus>,
    ) {
        for TaskStatus { task, phase } in statuses {
            let Some(member) = self.member_mut(task) else {
                continue;
            };
            if member.worker != *worker || member.incarnation != incarnation {
                continue;
            }
            match phase {
                TaskPhase::Held | TaskPhase::Running => member.held = true,
                TaskPhase::Ended(end) => self.end_member(task, end),
            }
            self.advance_gang(task.job);
        }
    }

    pub(crate) fn lose_worker(
        &mut self,
        worker: &WorkerName,
        incarnation: IncarnationId,
    ) -> CommandOutcome {
        let tasks = match self.workers.get_mut(worker) {
            Some(record) if record.incarnation == incarnation && record.live => {
                record.live = false;
                record.tasks.clone()
            }
            _ => return CommandOutcome::Refused(RefusalReason::OldIncarnation),
        };
        for task in tasks {
            let end = match self.is_released(task) {
                true => TaskOutcome::Lost,
                false => TaskOutcome::NotStarted,
            };
            self.end_member(task, end);
        }
        CommandOutcome::Applied
    }

    /// Notes the first end of a member and frees its place.
    fn end_member(&mut self, task: TaskId, end: TaskOutcome) {
        let Some(member) = self.member_mut(task).filter(|m| m.end.is_none()) else {
            return;
        };
        member.end = Some(end);
        let worker = member.worker.clone();
        if let Some(record) = self.workers.get_mut(&worker) {
            record.tasks.remove(&task);
        }
        self.touch_orders(&worker);
        self.advance_gang(task.job);
    }

    /// Returns the member that a task names, if it belongs to the current attempt.
    fn member_mut(&mut self, task: TaskId) -> Option<&mut MemberRecord> {
        let record = self.jobs.get_mut(&task.job)?;
        match &mut record.state {
            JobState::Placed(gang) if record.attempt == task.attempt => {
                gang.members.get_mut(usize::from(task.member))
            }
            _ => None,
        }
    }
}
