//! The crashes of backend servers that tasks are suspected of.
//!
//! A lost run puts its task back to waiting. A task that crashes whatever starts it would therefore end one
//! backend server after another, together with the runs beside it.

use std::collections::BTreeMap;

use roseridge_model::{
    BackendId,
    FlowId,
    TaskKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BackendStatus,
    CrashSuspect,
    FlowOutcome,
    FlowPhase,
    FlowRefusal,
    FlowState,
    TaskPhase, //
};

/// The crashes that a task, or a gang, is suspected of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CrashRecord {
    crashes: u32,
    /// The number of the last run that was counted. The members of a gang may crash several backend
    /// servers in one run, which counts once.
    last_run: u32,
    /// Whether a run of it was not known to have survived its start at one of the crashes.
    on_trial: bool,
}

/// The crashes that the tasks of open flows are suspected of; the members of a gang count as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashHistory {
    records: BTreeMap<TaskKey, CrashRecord>,
}

impl CrashHistory {
    /// Returns whether no task of an open flow is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of crashes that a unit is suspected of, by its [key](crate::FlowRecord::unit_key).
    pub fn crashes(&self, unit: TaskKey) -> u32 {
        self.records.get(&unit).map_or(0, |record| record.crashes)
    }

    /// Returns the units that are suspected of a crash.
    pub fn suspected(&self) -> impl Iterator<Item = TaskKey> {
        self.records.keys().copied()
    }

    /// Returns the units that are started on trial.
    pub fn on_trial(&self) -> impl Iterator<Item = TaskKey> {
        let records = self.records.iter().filter(|(_, record)| record.on_trial);
        records.map(|(unit, _)| *unit)
    }

    /// Returns whether a unit is started on trial.
    pub fn is_on_trial(&self, unit: TaskKey) -> bool {
        self.records
            .get(&unit)
            .is_some_and(|record| record.on_trial)
    }

    /// Counts a crash under a run of a unit, unless that run was counted before, and returns the count.
    fn count(&mut self, unit: TaskKey, suspect: CrashSuspect) -> u32 {
        let record = self.records.entry(unit).or_default();
        record.on_trial |= suspect.at_start;
        if record.last_run < suspect.run.run {
            record.last_run = suspect.run.run;
            record.crashes += 1;
        }
        record.crashes
    }

    /// Removes the records of a flow that has ended.
    pub(crate) fn forget(&mut self, flow: FlowId) {
        self.records.retain(|unit, _| unit.flow != flow);
    }
}

impl FlowState {
    /// Counts the crash of a backend server for the suspected runs on it, and fails each flow of which a
    /// task has reached the limit.
    pub(crate) fn record_crash(
        &mut self,
        backend: &BackendId,
        suspects: &[CrashSuspect],
        crash_limit: u32,
    ) -> FlowOutcome {
        let Some(record) = self.backends.get(backend) else {
            return FlowOutcome::Refused(FlowRefusal::UnknownBackend);
        };
        // The runs of a lost backend server are no longer on record.
        let is_lost = matches!(record.status, BackendStatus::Lost { .. });
        let suspects = suspects.iter();
        let suspects = suspects.filter(|s| is_lost || record.runs.contains_key(&s.run));
        for suspect in suspects.copied().collect::<Vec<_>>() {
            if self.count_crash(suspect).is_some_and(|n| n >= crash_limit) {
                self.fail_flow(suspect.run.task.flow);
            }
        }
        FlowOutcome::Applied
    }

    /// Counts a crash under a run and returns the new count of its unit; `None` if the task or its flow
    /// has ended.
    fn count_crash(&mut self, suspect: CrashSuspect) -> Option<u32> {
        let run = suspect.run;
        let flow = self.flows.get(&run.task.flow)?;
        let task = flow.task(run.task)?;
        if flow.phase != FlowPhase::Open || task.phase == TaskPhase::Done {
            return None;
        }
        let unit = flow.unit_key(run.task);
        Some(self.crashes.count(unit, suspect))
    }
}
