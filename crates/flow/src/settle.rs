//! What follows the end of a run.

use roseridge_model::{
    BackendId,
    DurationMs,
    FlowId,
    RunKey,
    UnixMillis, //
};

use crate::{
    EndRecord,
    FlowPhase,
    FlowRecord,
    FlowState,
    RunEnd,
    RunResult,
    RunTimeSample,
    StopCause,
    TaskPhase, //
};

impl FlowState {
    /// Takes note of an end that a backend server listed.
    pub(crate) fn settle_end(&mut self, backend: &BackendId, end: &EndRecord) {
        let held = self
            .backends
            .get_mut(backend)
            .and_then(|record| record.runs.remove(&end.run));
        let Some(held) = held else {
            // The run was settled before, by the loss of this backend server.
            return;
        };
        self.note_saved(end.run, end.saved.clone());
        self.learn(backend, end, held.placed);
        match end.end {
            RunEnd::Done => self.settle_done(end.run),
            RunEnd::Failed => self.settle_failed(end.run),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.settle_lost(end.run);
            }
        }
    }

    /// Takes note that a run never started and never will.
    pub(crate) fn settle_unstarted(&mut self, backend: &BackendId, run: RunKey) {
        let record = self.backends.get_mut(backend);
        if record.is_some_and(|record| record.runs.remove(&run).is_some()) {
            self.settle_lost(run);
        }
    }

    /// Lets the task of a run that ended without a result wait again; it counts as no failure.
    pub(crate) fn settle_lost(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        if release_task(flow, run) && flow.is_gang(run.task) {
            self.stop_gang(run);
        }
    }

    fn settle_done(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        let is_gang = flow.is_gang(run.task);
        let is_lasting = flow.step_spec(run.task).is_some_and(|s| s.lasting);
        if is_lasting {
            self.settle_lost(run);
            return;
        }
        let Some(step) = flow.step_mut(run.task) else {
            return;
        };
        match is_gang {
            // The members end together, so one end stands for all of them, also for one whose
            // worker was lost meanwhile.
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
            self.end_flow(run.task.flow, FlowPhase::Done { at: self.now });
        }
    }

    fn settle_failed(&mut self, run: RunKey) {
        let Some(flow) = self.flows.get_mut(&run.task.flow) else {
            return;
        };
        let limit = flow.queue.attempt_limit.max(1);
        let is_lasting = flow.step_spec(run.task).is_some_and(|s| s.lasting);
        let failures = count_failure(flow, run);
        let has_failed =
            flow.phase == FlowPhase::Open && !is_lasting && failures.is_some_and(|n| n >= limit);
        self.settle_lost(run);
        if has_failed {
            let flow = run.task.flow;
            self.end_flow(flow, FlowPhase::Failed { at: self.now });
            self.stop_flow(flow, StopCause::FlowEnded);
        }
    }

    /// Keeps the newest checkpoint of a run, with about the work that it stands for.
    pub(crate) fn note_saved(&mut self, run: RunKey, saved: String) {
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

    /// Learns from a run that ended by itself.
    fn learn(&mut self, backend: &BackendId, end: &EndRecord, placed: UnixMillis) {
        let is_done = match end.end {
            RunEnd::Done => true,
            RunEnd::Failed => false,
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
        // A resumed run shows only a part of the work.
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

    /// Stops the other members of a gang of which one has ended.
    fn stop_gang(&mut self, ended: RunKey) {
        let flow = self.flows.get(&ended.task.flow);
        let others = flow.map_or_else(Vec::new, |flow| flow.gang_runs(ended));
        for run in others {
            self.stop_run(run, StopCause::GangBroken);
        }
    }

    /// Orders a run to stop; it takes its room until its end is known.
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
        if let Some(held) = record.and_then(|r| r.runs.get_mut(&run)) {
            held.stop.get_or_insert(cause);
            self.touch_orders(&backend);
        }
    }

    /// Orders every run of a flow to stop.
    pub(crate) fn stop_flow(&mut self, flow: FlowId, cause: StopCause) {
        let mut touched = Vec::new();
        for (backend, record) in &mut self.backends {
            let runs = record
                .runs
                .iter_mut()
                .filter(|(run, _)| run.task.flow == flow);
            let mut stopped = false;
            for (_, held) in runs {
                held.stop.get_or_insert(cause);
                stopped = true;
            }
            if stopped {
                touched.push(backend.clone());
            }
        }
        for backend in &touched {
            self.touch_orders(backend);
        }
    }
}

/// Lets a task wait again if it still stands in this run; returns whether it did.
fn release_task(flow: &mut FlowRecord, run: RunKey) -> bool {
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

/// Counts a failed run of a task, or of a gang once for all its members; returns the new count.
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
