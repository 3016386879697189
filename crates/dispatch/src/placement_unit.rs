//! Placement units: a single task, or a gang whose tasks are placed together.

use roseridge_flow::{
    FlowRecord,
    StepRecord,
    TaskPhase, //
};
use roseridge_model::{
    FlowId,
    QueueRule,
    StepSpec,
    TaskKey,
    UnixMillis, //
};

use crate::{
    DispatchView,
    crash_trial::is_suspect, //
};

/// A single task, or a gang whose tasks are placed together.
#[derive(Debug, Clone)]
pub(crate) struct PlacementUnit<'a> {
    pub(crate) record: &'a FlowRecord,
    pub(crate) spec: &'a StepSpec,
    /// The tasks; never empty.
    pub(crate) tasks: Vec<TaskKey>,
    /// The work of earlier runs that a checkpoint preserves, in milliseconds.
    pub(crate) saved_ms: u64,
    /// Whether it may have crashed a backend server.
    pub(crate) is_suspect: bool,
}

impl PlacementUnit<'_> {
    /// Returns the rule of the flow's queue.
    pub(crate) fn queue(&self) -> &QueueRule {
        &self.record.queue
    }

    /// Returns whether the unit has the most urgent rank.
    pub(crate) fn is_urgent(&self) -> bool {
        self.queue().rank == 0
    }

    /// Returns whether the tasks run slower when they are spread over more than one rack.
    pub(crate) fn is_rack_bound(&self) -> bool {
        self.spec.one_rack && self.tasks.len() > 1
    }

    /// Returns whether one more failure of any of the tasks fails the flow.
    pub(crate) fn is_last_attempt(&self) -> bool {
        let limit = self.queue().attempt_limit;
        let failures = |task: &TaskKey| match self.spec.gang {
            true => self.record.step(*task).map_or(0, |step| step.gang_failures),
            false => self.record.task(*task).map_or(0, |task| task.failures),
        };
        self.tasks.iter().any(|task| failures(task) + 1 >= limit)
    }

    /// Returns the unit's share of the tasks of its step that are not done.
    pub(crate) fn share_of_step(&self) -> f64 {
        let step = self.record.step(self.tasks[0]);
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let open = tasks.iter().filter(|t| t.phase != TaskPhase::Done).count();
        self.tasks.len() as f64 / open.max(1) as f64
    }

    /// Returns whether a task belongs to the same step in the same repetition of the flow.
    pub(crate) fn is_same_step(&self, task: &TaskKey) -> bool {
        let first = &self.tasks[0];
        (task.flow, task.round, task.step) == (first.flow, first.round, first.step)
    }
}

/// Returns the units of a flow that can be placed now, in the order of its steps.
pub(crate) fn waiting_units<'a>(
    view: &DispatchView<'_>,
    flow: FlowId,
    record: &'a FlowRecord,
) -> Vec<PlacementUnit<'a>> {
    let mut units = Vec::new();
    let rounds = (0..).zip(&record.rounds);
    for (round, steps) in rounds.filter(|(_, r)| is_due(r.due, view.now)) {
        for ((step, spec), progress) in (0..).zip(&record.spec.steps).zip(&steps.steps) {
            let key = TaskKey {
                flow,
                round,
                step,
                index: 0,
            };
            if !progress.is_done() && record.can_start(key) {
                push_units(&mut units, (view, record), (key, spec), progress);
            }
        }
    }
    units
}

/// Returns whether a repetition of a flow may start.
fn is_due(due: Option<UnixMillis>, now: UnixMillis) -> bool {
    due.is_none_or(|due| due <= now)
}

/// Adds the waiting units of one step.
fn push_units<'a>(
    units: &mut Vec<PlacementUnit<'a>>,
    (view, record): (&DispatchView<'_>, &'a FlowRecord),
    (key, spec): (TaskKey, &'a StepSpec),
    progress: &StepRecord,
) {
    let waiting = (0..).zip(&progress.tasks);
    let waiting = waiting.filter(|(_, task)| task.phase == TaskPhase::Waiting);
    let waiting: Vec<_> = waiting
        .map(|(index, task)| (TaskKey { index, ..key }, task.saved_work.0))
        .collect();
    let unit = |tasks: Vec<TaskKey>, saved_ms| PlacementUnit {
        record,
        spec,
        is_suspect: is_suspect(view, tasks[0]),
        tasks,
        saved_ms,
    };
    match spec.gang {
        // A gang restarts only after the last run of every member has ended.
        true if waiting.len() == usize::from(spec.count) => {
            let (_, saved) = progress.newest_checkpoint();
            let tasks = waiting.into_iter().map(|(task, _)| task).collect();
            units.push(unit(tasks, saved.0));
        }
        true => {}
        false => {
            let single = waiting.into_iter();
            units.extend(single.map(|(task, saved_ms)| unit(vec![task], saved_ms)));
        }
    }
}
