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
    TaskPhase,
    TaskRecord, //
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

/// The crashes of each unit by the limit that they were recorded with. A lower limit stands for stronger
/// evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashCounts {
    by_limit: BTreeMap<TaskKey, BTreeMap<u32, u32>>,
}

impl CrashCounts {
    /// Counts a crash, and returns whether the unit has reached a limit.
    ///
    /// A crash counts towards the limit that it was recorded with and the higher ones. One without proof
    /// therefore doesn't lower the number of proven ones at which a unit is given up.
    fn count(&mut self, unit: TaskKey, limit: u32) -> bool {
        let counts = self.by_limit.entry(unit).or_default();
        *counts.entry(limit).or_default() += 1;
        let mut total = 0;
        counts.iter().any(|(limit, count)| {
            total += count;
            total >= *limit
        })
    }
}

/// The crashes that the tasks of open flows are suspected of; the members of a gang count as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashHistory {
    records: BTreeMap<TaskKey, CrashRecord>,
    /// The counts by limit. Snapshots store them in an extension of their own, so that older ones stay
    /// readable.
    #[serde(skip)]
    pub counts: CrashCounts,
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

    /// Counts a crash under a run of a unit, unless that run was counted before, and returns whether the
    /// unit has reached a limit by it.
    fn count(&mut self, unit: TaskKey, suspect: CrashSuspect, limit: u32) -> bool {
        let record = self.records.entry(unit).or_default();
        record.on_trial |= suspect.at_start;
        if record.last_run >= suspect.run.run {
            return false;
        }
        record.last_run = suspect.run.run;
        record.crashes += 1;
        self.counts.count(unit, limit)
    }

    /// Removes the records of a flow that has ended.
    pub(crate) fn forget(&mut self, flow: FlowId) {
        self.records.retain(|unit, _| unit.flow != flow);
        let counts = &mut self.counts.by_limit;
        counts.retain(|unit, _| unit.flow != flow);
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
            if self.count_crash(suspect, crash_limit) {
                self.fail_flow(suspect.run.task.flow);
            }
        }
        FlowOutcome::Applied
    }

    /// Counts a crash under a run, and returns whether its unit has reached a limit. Nothing is counted if
    /// the task or its flow has ended.
    fn count_crash(&mut self, suspect: CrashSuspect, crash_limit: u32) -> bool {
        let run = suspect.run;
        let Some(flow) = self.flows.get(&run.task.flow) else {
            return false;
        };
        let is_over = |task: &TaskRecord| task.phase == TaskPhase::Done;
        if flow.phase != FlowPhase::Open || flow.task(run.task).is_none_or(is_over) {
            return false;
        }
        let unit = flow.unit_key(run.task);
        self.crashes.count(unit, suspect, crash_limit)
    }
}
