//! Completion of runs and its effects on tasks, gangs and flows.

use roseridge_model::{
    BackendId,
    DurationMs,
    FlowId,
    RunKey,
    UnixMillis, //
};

use crate::{
    FlowPhase,
    FlowRecord,
    FlowState,
    RunCompletion,
    RunOutcome,
    RunResult,
    RunTimeSample,
    StopCause,
    TaskPhase, //
};

impl FlowState {
    /// Applies a completion that a backend server listed: frees the resources of the run, stores
    /// its checkpoint and updates its task.
    pub(crate) fn complete_run(&mut self, backend: &BackendId, end: &RunCompletion) {
        let run_record = self
            .backends
            .get_mut(backend)
            .and_then(|record| record.runs.remove(&end.run));
        let Some(run_record) = run_record else {
            // The run was already completed by the loss of this backend server.
            return;
        };
        self.store_checkpoint(end.run, end.saved.clone());
        self.record_outcome(backend, end, run_record.placed);
        match end.end {
            RunOutcome::Done => self.complete_task(end.run),
            RunOutcome::Failed => self.fail_run(end.run),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                self.requeue_task(end.run);
            }
        }
    }

    /// Frees the resources of a run that never started and never will, and requeues its task.
    pub(crate) fn requeue_unstarted(&mut self, backend: &BackendId, run: RunKey) {
        let record = self.backends.get_mut(backend);
        if record.is_some_and(|record| record.runs.remove(&run).is_some()) {
            self.requeue_task(run);
        }
    }

    /// Sets the task of a run that ended without a result back to waiting; no failure is counted.
    ///
    /// The other members of a gang are stopped.
    pub(crate) fn requeue_task(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        if reset_task(flow, run) && flow.is_gang(run.task) {
            self.stop_gang_members(run);
        }
    }

    /// Marks the task of a successful run as done, and its flow once all tasks are done.
    ///
    /// A lasting task is requeued instead.
    fn complete_task(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        let is_gang = flow.is_gang(run.task);
        let is_lasting = flow.step_spec(run.task).is_some_and(|s| s.lasting);
        if is_lasting {
            self.requeue_task(run);
            return;
        }
        let Some(step) = flow.step_mut(run.task) else {
            return;
        };
        match is_gang {
            // The members end together, so the completion of one completes all of them, including a
            // member whose worker was lost in the meantime.
            true if step.tasks.iter().any(|t| t.phase.is_placed_in(run)) => {
                step.tasks
                    .iter_mut()
                    .for_each(|t| t.phase = TaskPhase::Done);
            }
            true => {}
            false => {
                let task = step.tasks.get_mut(usize::from(run.task.index));
                if let Some(task) = task.filter(|t| t.phase.is_placed_in(run)) {
                    task.phase = TaskPhase::Done;
                }
            }
        }
        if flow.phase == FlowPhase::Open && flow.is_done() {
            self.finalize_flow(run.task.flow, FlowPhase::Done { at: self.now });
        }
    }

    /// Counts a failed run, requeues its task and fails the flow at its limit of attempts.
    fn fail_run(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        let limit = flow.queue.attempt_limit.max(1);
        let is_lasting = flow.step_spec(run.task).is_some_and(|s| s.lasting);
        let failures = count_failure(flow, run);
        let has_failed =
            flow.phase == FlowPhase::Open && !is_lasting && failures.is_some_and(|n| n >= limit);
        self.requeue_task(run);
        if has_failed {
            self.fail_flow(run.task.flow);
        }
    }

    /// Sets an open flow to failed and orders its runs to stop.
    pub(crate) fn fail_flow(&mut self, flow: FlowId) {
        self.finalize_flow(flow, FlowPhase::Failed { at: self.now });
        self.stop_flow(flow, StopCause::FlowEnded);
    }

    /// Stores a new checkpoint of a run with the approximate work that it covers.
    ///
    /// The time since the placement is added as the work; an empty or unchanged checkpoint is
    /// ignored.
    pub(crate) fn store_checkpoint(&mut self, run: RunKey, saved: String) {
        let now = self.now;
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        let step = flow.step_mut(run.task);
        let task = step.and_then(|s| s.tasks.get_mut(usize::from(run.task.index)));
        let Some(task) = task.filter(|t| t.phase.is_placed_in(run)) else {
            return;
        };
        if saved.is_empty() || saved == task.saved {
            return;
        }
        if let TaskPhase::Placed { at, .. } = &task.phase {
            let worked = now.since(*at);
            task.saved_work = DurationMs(task.saved_work.0.saturating_add(worked.0));
        }
        task.saved = saved;
    }

    /// Records the result of a run that was done or failed, and the run time of one that was done.
    fn record_outcome(&mut self, backend: &BackendId, end: &RunCompletion, placed: UnixMillis) {
        let is_done = match end.end {
            RunOutcome::Done => true,
            RunOutcome::Failed => false,
            _ => return,
        };
        let Some(flow) = self.flows.get(&end.run.task.flow) else {
            return;
        };
        let Some(spec) = flow.step_spec(end.run.task) else {
            return;
        };
        let resumed = flow.task(end.run.task).map(|t| t.saved_work);
        let result = RunResult {
            at: self.now,
            queue: flow.queue.key.clone(),
            run: end.run,
            took: self.now.since(placed),
            estimate: spec.estimate,
            done: is_done,
            in_gang: spec.gang,
        };
        // The run time of a resumed run covers only a part of the work.
        if is_done && !spec.lasting && resumed.is_none_or(|work| work == DurationMs(0)) {
            let sample = RunTimeSample {
                estimate: result.estimate,
                took: result.took,
            };
            self.run_times.add(&result.queue, sample);
        }
        if let Some(record) = self.backends.get_mut(backend) {
            record.record_result(result);
        }
    }

    /// Orders the other members of a gang to stop after one of them has ended.
    fn stop_gang_members(&mut self, ended: RunKey) {
        let flow = self.flows.get(&ended.task.flow);
        let others = flow.map_or_else(Vec::new, |flow| flow.gang_runs(ended));
        for run in others {
            self.stop_run(run, StopCause::GangBroken);
        }
    }

    /// Orders a run to stop, which keeps its resources until its end is known.
    ///
    /// The first cause is kept.
    pub(crate) fn stop_run(&mut self, run: RunKey, cause: StopCause) {
        let flow = self.flows.get(&run.task.flow);
        let Some(TaskPhase::Placed { backend, .. }) = flow
            .and_then(|flow| flow.task(run.task))
            .map(|task| &task.phase)
            .filter(|phase| phase.is_placed_in(run))
        else {
            return;
        };
        let backend = backend.clone();
        let record = self.backends.get_mut(&backend);
        if let Some(run_record) = record.and_then(|r| r.runs.get_mut(&run)) {
            run_record.stop.get_or_insert(cause);
            self.mark_orders_changed(&backend);
        }
    }

    /// Orders every run of a flow to stop.
    pub(crate) fn stop_flow(&mut self, flow: FlowId, cause: StopCause) {
        let mut changed = Vec::new();
        for (backend, record) in &mut self.backends {
            let runs = record
                .runs
                .iter_mut()
                .filter(|(run, _)| run.task.flow == flow);
            let mut stopped = false;
            for (_, run_record) in runs {
                run_record.stop.get_or_insert(cause);
                stopped = true;
            }
            if stopped {
                changed.push(backend.clone());
            }
        }
        for backend in &changed {
            self.mark_orders_changed(backend);
        }
    }
}

/// Sets a task back to waiting if it is still placed in this run; returns whether it was.
fn reset_task(flow: &mut FlowRecord, run: RunKey) -> bool {
    let step = flow.step_mut(run.task);
    let task = step.and_then(|s| s.tasks.get_mut(usize::from(run.task.index)));
    match task.filter(|t| t.phase.is_placed_in(run)) {
        Some(task) => {
            task.phase = TaskPhase::Waiting;
            true
        }
        None => false,
    }
}

/// Counts a failed run and returns the new count of the task or the gang.
///
/// A failed run of a gang counts once for all its members.
fn count_failure(flow: &mut FlowRecord, run: RunKey) -> Option<u32> {
    let is_gang = flow.is_gang(run.task);
    let step = flow.step_mut(run.task)?;
    match is_gang {
        true if step.failed_run < run.run => {
            step.failed_run = run.run;
            step.gang_failures += 1;
            Some(step.gang_failures)
        }
        true => Some(step.gang_failures),
        false => {
            let task = step.tasks.get_mut(usize::from(run.task.index))?;
            task.failures += 1;
            Some(task.failures)
        }
    }
}
