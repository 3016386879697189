//! How tasks that may have crashed a backend server are started again.
//!
//! The load pattern is one poisonous task that was lost together with sound ones. If they are placed together
//! again, each crash suspects all of them, and the sound ones are given up as well. A suspected task is therefore
//! on trial until its run has survived its start: no other run starts beside it, and no other task of its step
//! starts at all, since that one may be as poisonous.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    BackendRecord,
    TaskPhase, //
};
use roseridge_model::{
    RunKey,
    TaskKey, //
};

use crate::{
    DispatchView,
    crash_suspects::has_survived,
    placement_unit::PlacementUnit, //
};

/// What is starting on a backend server, least restrictive first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PendingStart {
    /// Nothing that matters: every run has survived its start, or no task is suspected of a crash.
    #[default]
    None,
    /// A run that isn't suspected. No suspected task is placed beside it.
    Ordinary,
    /// A suspected task. Nothing is placed beside it.
    Trial,
}

/// The steps with a task that is on trial: it waits, or its run has not survived its start.
#[derive(Debug, Default)]
pub(crate) struct CrashTrials {
    /// The steps, as the key of their first task, each with whether one of its tasks that are on trial waits.
    steps: BTreeMap<TaskKey, bool>,
    /// The steps of which a run is starting.
    starting_steps: BTreeSet<TaskKey>,
}

impl CrashTrials {
    /// Collects the steps with a task on trial, and the runs of them that are starting.
    pub(crate) fn from_view(view: &DispatchView<'_>) -> Self {
        if view.flows.crashes.is_empty() {
            return Self::default();
        }
        let backends = view.flows.backends.values();
        let starting = backends.flat_map(|record| starting_runs(view, record));
        let starting: BTreeSet<_> = starting.map(|run| run.task).collect();
        let mut trials = Self::default();
        for unit in view.flows.crashes.on_trial() {
            let flow = view.flows.flows.get(&unit.flow);
            let task = flow.and_then(|flow| flow.task(unit));
            let is_waiting = task.is_some_and(|task| task.phase == TaskPhase::Waiting);
            if is_waiting || starting.contains(&unit) {
                *trials.steps.entry(step_key(unit)).or_default() |= is_waiting;
            }
        }
        trials.starting_steps = starting.into_iter().map(step_key).collect();
        trials
    }

    /// Returns whether a unit has to wait for the trial of its step.
    ///
    /// One unit at a time is started, first those that are on trial themselves.
    pub(crate) fn must_wait(&self, unit: &PlacementUnit<'_>) -> bool {
        let step = step_key(unit.tasks[0]);
        match self.steps.get(&step) {
            None => false,
            Some(suspect_waits) => {
                self.starting_steps.contains(&step) || (*suspect_waits && !unit.is_suspect)
            }
        }
    }

    /// Records that a task is placed in this scheduling pass.
    pub(crate) fn start(&mut self, task: TaskKey) {
        self.starting_steps.insert(step_key(task));
    }
}

/// Returns what is starting on a backend server.
pub(crate) fn pending_start(view: &DispatchView<'_>, record: &BackendRecord) -> PendingStart {
    if view.flows.crashes.is_empty() {
        return PendingStart::None;
    }
    let starts = starting_runs(view, record).map(|run| match is_suspect(view, run.task) {
        true => PendingStart::Trial,
        false => PendingStart::Ordinary,
    });
    starts.max().unwrap_or_default()
}

/// Returns whether a task is started on trial.
pub(crate) fn is_suspect(view: &DispatchView<'_>, task: TaskKey) -> bool {
    let flow = view.flows.flows.get(&task.flow);
    flow.is_some_and(|flow| view.flows.crashes.is_on_trial(flow.unit_key(task)))
}

fn starting_runs<'a>(
    view: &'a DispatchView<'_>,
    record: &'a BackendRecord,
) -> impl Iterator<Item = RunKey> + 'a {
    let runs = record.runs.iter();
    let starting = runs.filter(|(run, held)| !has_survived(view.progress_rates, **run, held));
    starting.map(|(run, _)| *run)
}

fn step_key(task: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..task }
}
