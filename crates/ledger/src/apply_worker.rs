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

/// The number of earlier incarnations of an agent that are kept. No message of an even older one is
/// expected to arrive.
const MAX_RETIRED_INCARNATIONS: usize = 16;

fn initial_record(incarnation: IncarnationId, shape: &WorkerShape) -> WorkerRecord {
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
    /// Replaces the current incarnation of the agent and retires the previous one.
    fn replace_incarnation(&mut self, incarnation: IncarnationId) {
        let previous = std::mem::replace(&mut self.incarnation, incarnation);
        if self.retired.len() >= MAX_RETIRED_INCARNATIONS {
            self.retired.remove(0);
        }
        self.retired.push(previous);
    }
}

impl LedgerState {
    /// Registers a worker or a new incarnation of its agent, and updates its shape and tasks.
    pub(crate) fn announce_worker(
        &mut self,
        worker: WorkerName,
        (incarnation, leaving): (IncarnationId, bool),
        shape: WorkerShape,
        found: Vec<TaskStatus>,
    ) -> CommandOutcome {
        if !self.workers.contains_key(&worker) {
            self.policy.last_worker_added = self.now;
        }
        let record = self.workers.entry(worker.clone());
        let record = record.or_insert_with(|| initial_record(incarnation, &shape));
        // An announcement of a retired incarnation may arrive late; it must not take effect again.
        if record.retired.contains(&incarnation) {
            return CommandOutcome::Refused(RefusalReason::OldIncarnation);
        }
        let is_same_incarnation = record.incarnation == incarnation;
        record.shape = shape;
        record.live = true;
        record.leaving = leaving || (is_same_incarnation && record.leaving);
        record.orders_index = self.applied;
        if !is_same_incarnation {
            record.replace_incarnation(incarnation);
            for task in record.tasks.clone() {
                self.transfer_task(task, incarnation, &found);
            }
        }
        self.apply_statuses(&worker, incarnation, found);
        CommandOutcome::Applied
    }

    /// Transfers a task to a new incarnation of its agent, or ends it if the backend server no
    /// longer has it.
    fn transfer_task(&mut self, task: TaskId, incarnation: IncarnationId, found: &[TaskStatus]) {
        let is_found = found.iter().any(|s| s.task == task);
        let released = self.is_released(task);
        let outcome = match (is_found, released) {
            (true, _) => None,
            (false, false) => Some(TaskOutcome::NotStarted),
            (false, true) => Some(TaskOutcome::Lost),
        };
        if let Some(member) = self.member_mut(task) {
            member.incarnation = incarnation;
        }
        if let Some(outcome) = outcome {
            self.end_member(task, outcome);
        }
    }

    /// Returns whether the gang of a task is released.
    fn is_released(&self, task: TaskId) -> bool {
        match self.jobs.get(&task.job).map(|j| &j.state) {
            Some(JobState::Placed(gang)) => gang.released.is_some(),
            _ => false,
        }
    }

    /// Applies a report of the current incarnation of an agent.
    pub(crate) fn apply_report(
        &mut self,
        worker: &WorkerName,
        incarnation: IncarnationId,
        statuses: Vec<TaskStatus>,
        leaving: bool,
    ) -> CommandOutcome {
        match self.workers.get_mut(worker) {
            Some(record) if record.incarnation == incarnation && record.live => {
                let starts_leaving = leaving && !record.leaving;
                // Within one incarnation, leaving is final: a late report can't undo it.
                record.leaving |= leaving;
                self.apply_statuses(worker, incarnation, statuses);
                if starts_leaving {
                    self.stop_movable_gangs(worker);
                }
                CommandOutcome::Applied
            }
            _ => CommandOutcome::Refused(RefusalReason::OldIncarnation),
        }
    }

    /// Stops the gangs on a leaving worker that can move to another one: those that are not
    /// released yet, and idempotent ones that can resume from a checkpoint.
    fn stop_movable_gangs(&mut self, worker: &WorkerName) {
        let tasks = self.workers.get(worker).map(|w| w.tasks.clone());
        for task in tasks.unwrap_or_default() {
            let can_move = self
                .jobs
                .get(&task.job)
                .is_some_and(|job| match &job.state {
                    JobState::Placed(gang) if gang.released.is_some() => {
                        job.rule.checkpointable && self.is_idempotent(job)
                    }
                    _ => true,
                });
            if can_move {
                self.stop_gang(task.job, StopReason::WorkerLeaving);
            }
        }
    }

    /// Applies the reported statuses of tasks that belong to this worker and incarnation.
    fn apply_statuses(
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
                TaskPhase::Ended(outcome) => self.end_member(task, outcome),
            }
            self.advance_gang(task.job);
        }
    }

    /// Marks a worker as lost and ends its tasks.
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
            let outcome = match self.is_released(task) {
                true => TaskOutcome::Lost,
                false => TaskOutcome::NotStarted,
            };
            self.end_member(task, outcome);
        }
        CommandOutcome::Applied
    }

    /// Records the first outcome of a member and frees its resources.
    fn end_member(&mut self, task: TaskId, outcome: TaskOutcome) {
        let Some(member) = self.member_mut(task).filter(|m| m.outcome.is_none()) else {
            return;
        };
        member.outcome = Some(outcome);
        let worker = member.worker.clone();
        if let Some(record) = self.workers.get_mut(&worker) {
            record.tasks.remove(&task);
        }
        self.mark_orders_changed(&worker);
        self.advance_gang(task.job);
    }

    /// Returns the gang member of a task, if the task belongs to the current attempt.
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
