//! The health of backend servers: which of them to avoid because they fail or are slow where others are
//! not.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    BackendRecord,
    FlowState,
    RunResult, //
};
use roseridge_model::{
    BackendId,
    TaskKey,
    UnixMillis, //
};

use crate::run_times::RunTimes;

/// The number of different tasks that fail in a row before a backend server is avoided.
const FAILURES_TO_AVOID: u32 = 2;
/// The time for which a backend server is avoided at first, in milliseconds. It doubles with each
/// further failure.
const MIN_AVOIDANCE_MS: u64 = 2_000;
/// The maximum time for which a backend server is avoided, in milliseconds.
const MAX_AVOIDANCE_MS: u64 = 8_000;
/// The time for which a backend server is on probation after it was avoided, in milliseconds. It ends also
/// without a trial, since a task that may be put at risk may never come.
const PROBATION_MS: u64 = 4_000;
/// The time for which a single failure, or slow runs, make a backend server the last choice, in
/// milliseconds.
const SUSPECT_MS: u64 = 8_000;
/// A run is slow if it takes more than this multiple of the usual run time.
const SLOW_FACTOR: u64 = 3;
/// The number of slow runs in a row that make a backend server suspect.
const SLOW_RUNS: usize = 2;

/// The health of a backend server, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BackendHealth {
    /// Its last runs succeeded.
    Healthy,
    /// A task failed on it, its last runs were slow, or its probation is over. It is the last choice.
    Suspect,
    /// Several tasks failed on it and the avoidance has expired. It receives a single task, which isn't urgent, as a trial.
    Probation,
    /// Several tasks failed on it. It receives no work.
    Avoided,
}

/// The tasks that failed on more than one backend server. The failures are attributed to the task, not
/// to the backend servers.
pub(crate) struct TaskFaults(BTreeSet<TaskKey>);

impl TaskFaults {
    /// Collects the tasks from the run results of all backend servers.
    pub(crate) fn from_flows(flows: &FlowState) -> Self {
        let mut backends = BTreeMap::<TaskKey, BTreeSet<&BackendId>>::new();
        for (id, record) in &flows.backends {
            for result in record.results.iter().filter(|result| !result.done) {
                backends.entry(failure_key(result)).or_default().insert(id);
            }
        }
        let repeated = backends
            .into_iter()
            .filter(|(_, backends)| backends.len() > 1);
        Self(repeated.map(|(task, _)| task).collect())
    }

    /// Evaluates the health of a backend server from its last run results.
    pub(crate) fn backend_health(
        &self,
        record: &BackendRecord,
        times: &RunTimes<'_>,
        now: UnixMillis,
    ) -> BackendHealth {
        let is_counted =
            |result: &&RunResult| result.done || !self.0.contains(&failure_key(result));
        let newest_first = record.results.iter().rev().filter(is_counted);
        let failed: Vec<_> = newest_first.take_while(|result| !result.done).collect();
        let tasks: BTreeSet<_> = failed.iter().map(|result| failure_key(result)).collect();
        let failures = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let Some(newest) = failed.first() else {
            return match is_slow(record, times, now) {
                true => BackendHealth::Suspect,
                false => BackendHealth::Healthy,
            };
        };
        let since_failure_ms = now.since(newest.at).0;
        match failures {
            0 => BackendHealth::Healthy,
            n if n < FAILURES_TO_AVOID && since_failure_ms < SUSPECT_MS => BackendHealth::Suspect,
            n if n < FAILURES_TO_AVOID => BackendHealth::Healthy,
            n if since_failure_ms < avoidance_ms(n) => BackendHealth::Avoided,
            n if since_failure_ms < avoidance_ms(n) + PROBATION_MS => BackendHealth::Probation,
            _ => BackendHealth::Suspect,
        }
    }
}

/// Returns the key under which a failure is counted: the members of a gang count as one.
fn failure_key(result: &RunResult) -> TaskKey {
    match result.in_gang {
        true => TaskKey {
            index: 0,
            ..result.run.task
        },
        false => result.run.task,
    }
}

/// Returns the time for which a backend server is avoided after a number of failures, in milliseconds.
fn avoidance_ms(failures: u32) -> u64 {
    let doubled = MIN_AVOIDANCE_MS.saturating_mul(1 << (failures - FAILURES_TO_AVOID).min(16));
    doubled.min(MAX_AVOIDANCE_MS)
}

/// Returns whether the last runs of a backend server all succeeded recently but were slow.
fn is_slow(record: &BackendRecord, times: &RunTimes<'_>, now: UnixMillis) -> bool {
    let newest = record.results.iter().rev().take(SLOW_RUNS);
    let slow = newest.filter(|result| {
        let usual_ms = times.usual_ms(&result.queue, result.estimate);
        result.done && result.took.0 > usual_ms * SLOW_FACTOR && now.since(result.at).0 < SUSPECT_MS
    });
    slow.count() == SLOW_RUNS
}
