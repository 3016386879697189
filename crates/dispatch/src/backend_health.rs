//! Which backend servers are to be spared: those that fail or are slow where others are not.

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

/// The failures of different tasks in a row after which a backend server gets no work for a while.
const FAILURES_TO_SPARE: u32 = 2;
/// The time for which it gets none at first, in milliseconds; it doubles with each further failure.
const SPARED_MS: u64 = 2_000;
/// The longest time for which it gets none, in milliseconds.
const MOST_SPARED_MS: u64 = 8_000;
/// How long a single failure, or slow runs, make a backend server the last choice, in milliseconds.
const DOUBT_MS: u64 = 8_000;
/// How many times longer than usual the last runs took on a slow backend server.
const SLOW_FACTOR: u64 = 3;
/// The runs that show that a backend server is slow.
const SLOW_RUNS: usize = 2;

/// How far a backend server is trusted; later variants less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BackendHealth {
    /// Its last runs went well.
    Sound,
    /// A task failed on it, or its runs took long: it is the last choice.
    Doubtful,
    /// Several tasks failed on it a while ago: it may show with one small task that it works again.
    OnTrial,
    /// Several tasks failed on it: it gets none.
    Spared,
}

/// The tasks that failed on more than one backend server, which is their own fault.
pub(crate) struct OwnFaults(BTreeSet<TaskKey>);

impl OwnFaults {
    pub(crate) fn of(flows: &FlowState) -> Self {
        let mut places = BTreeMap::<TaskKey, BTreeSet<&BackendId>>::new();
        for (id, record) in &flows.backends {
            for mark in record.results.iter().filter(|mark| !mark.done) {
                places.entry(gang_key(mark)).or_default().insert(id);
            }
        }
        let repeated = places.into_iter().filter(|(_, places)| places.len() > 1);
        Self(repeated.map(|(task, _)| task).collect())
    }

    /// Judges a backend server by its last runs.
    pub(crate) fn judge(
        &self,
        record: &BackendRecord,
        times: &RunTimes<'_>,
        now: UnixMillis,
    ) -> BackendHealth {
        let counted = |mark: &&RunResult| mark.done || !self.0.contains(&gang_key(mark));
        let newest_first = record.results.iter().rev().filter(counted);
        let failed: Vec<_> = newest_first.take_while(|mark| !mark.done).collect();
        let tasks: BTreeSet<_> = failed.iter().map(|mark| gang_key(mark)).collect();
        let failures = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let Some(newest) = failed.first() else {
            return match is_slow(record, times, now) {
                true => BackendHealth::Doubtful,
                false => BackendHealth::Sound,
            };
        };
        let since_ms = now.since(newest.at).0;
        match failures {
            0 => BackendHealth::Sound,
            n if n < FAILURES_TO_SPARE && since_ms < DOUBT_MS => BackendHealth::Doubtful,
            n if n < FAILURES_TO_SPARE => BackendHealth::Sound,
            n if since_ms < spared_ms(n) => BackendHealth::Spared,
            _ => BackendHealth::OnTrial,
        }
    }
}

/// Returns what names a run's step, so that the members of a gang count as one.
fn gang_key(mark: &RunResult) -> TaskKey {
    match mark.in_gang {
        true => TaskKey {
            index: 0,
            ..mark.run.task
        },
        false => mark.run.task,
    }
}

fn spared_ms(failures: u32) -> u64 {
    let doubled = SPARED_MS.saturating_mul(1 << (failures - FAILURES_TO_SPARE).min(16));
    doubled.min(MOST_SPARED_MS)
}

fn is_slow(record: &BackendRecord, times: &RunTimes<'_>, now: UnixMillis) -> bool {
    let newest = record.results.iter().rev().take(SLOW_RUNS);
    let slow = newest.filter(|mark| {
        let usual_ms = times.usual_ms(&mark.queue, mark.estimate);
        mark.done && mark.took.0 > usual_ms * SLOW_FACTOR && now.since(mark.at).0 < DOUBT_MS
    });
    slow.count() == SLOW_RUNS
}
