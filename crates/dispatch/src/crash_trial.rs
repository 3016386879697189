//! How tasks that may have crashed a backend server are started again.
//!
//! The load pattern is one poisonous task that was lost together with sound ones. If they are placed together
//! again, each crash suspects all of them, and the sound ones are given up as well. A suspected task is therefore
//! on trial until its run has survived its start: no other run starts beside it, and no other task of its step
//! starts at all, since that one may be as poisonous.

use std::collections::BTreeSet;

use roseridge_flow::BackendRecord;
use roseridge_model::{
    RunKey,
    TaskKey, //
};

use crate::{
    DispatchView,
    crash_suspects::has_survived, //
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

/// The steps with a task that is suspected of a crash.
#[derive(Debug, Default)]
pub(crate) struct CrashTrials {
    /// The steps, as the key of their first task.
    suspected_steps: BTreeSet<TaskKey>,
    /// The suspected steps of which a run is starting.
    starting_steps: BTreeSet<TaskKey>,
}

impl CrashTrials {
    /// Collects the suspected steps and the runs of them that are starting.
    pub(crate) fn from_view(view: &DispatchView<'_>) -> Self {
        let suspected = view.flows.crashes.suspected();
        let suspected_steps: BTreeSet<_> = suspected.map(step_key).collect();
        if suspected_steps.is_empty() {
            return Self::default();
        }
        let backends = view.flows.backends.values();
        let starting = backends.flat_map(|record| starting_runs(view, record));
        let starting = starting.map(|run| step_key(run.task));
        Self {
            starting_steps: starting
                .filter(|step| suspected_steps.contains(step))
                .collect(),
            suspected_steps,
        }
    }

    /// Returns whether a task has to wait for the trial of its step.
    pub(crate) fn must_wait(&self, task: TaskKey) -> bool {
        self.starting_steps.contains(&step_key(task))
    }

    /// Records that a task is placed in this scheduling pass.
    pub(crate) fn start(&mut self, task: TaskKey) {
        let step = step_key(task);
        if self.suspected_steps.contains(&step) {
            self.starting_steps.insert(step);
        }
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

/// Returns whether a task is suspected of a crash.
pub(crate) fn is_suspect(view: &DispatchView<'_>, task: TaskKey) -> bool {
    let flow = view.flows.flows.get(&task.flow);
    flow.is_some_and(|flow| view.flows.crashes.crashes(flow.unit_key(task)) > 0)
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
