//! Which runs may have crashed a backend server.
//!
//! The load pattern is one poisonous task among many sound ones: each crash takes the runs beside it along, and
//! sound tasks must not be given up because they were near. A task that crashes its backend server does so as it starts, so a
//! run that the backend server still listed some time after its placement is suspected only if no other is.

use std::collections::BTreeSet;

use roseridge_flow::{
    BackendRecord,
    CrashSuspect,
    FlowState,
    RunRecord, //
};
use roseridge_model::{
    FastMap,
    FastSet,
    RunKey, //
};

use crate::ProgressRate;

/// The time since its placement after which a run that is still listed has survived its start, in
/// milliseconds. It is shorter than the interval of lists, so that few sound runs are suspected of a crash
/// that has another cause.
const SURVIVAL_MS: u64 = 250;
/// The number of crashes at which a task is given up that was the only suspect.
const SOLE_CRASH_LIMIT: u32 = 2;
/// The number of crashes at which a task is given up that was one of several suspects.
const CRASH_LIMIT: u32 = 3;
/// The number of crashes at which a task is given up that is suspected only because no other run is. A sixth
/// start would exceed what the users' contract allows a task that crashes its workers.
const UNPROVEN_CRASH_LIMIT: u32 = 5;

/// What the leader knows from reports about the runs on a backend server.
#[derive(Debug, Clone, Copy)]
pub struct CrashEvidence<'a> {
    /// The runs that their backend server has begun.
    pub started: &'a FastSet<RunKey>,
    /// The progress readings of the runs, which come from lists.
    pub progress_rates: &'a FastMap<RunKey, ProgressRate>,
}

/// The suspects of a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// The suspected runs.
    pub suspects: Vec<CrashSuspect>,
    /// The number of crashes at which a suspected task is given up.
    pub crash_limit: u32,
}

/// Returns the suspects of the crash of a backend server.
///
/// These are the runs that had begun and had not survived their start. If there is none, every run is
/// suspected: it may have crashed the backend server later, or before its start was answered.
pub fn crash_suspects(
    flows: &FlowState,
    record: &BackendRecord,
    evidence: CrashEvidence<'_>,
) -> CrashVerdict {
    let runs = record.runs.iter().map(|(run, held)| CrashSuspect {
        run: *run,
        at_start: !has_survived(evidence.progress_rates, *run, held),
    });
    let runs: Vec<_> = runs.collect();
    let starting = runs
        .iter()
        .filter(|suspect| suspect.at_start && evidence.started.contains(&suspect.run));
    let starting: Vec<_> = starting.copied().collect();
    let units: BTreeSet<_> = starting
        .iter()
        .filter_map(|CrashSuspect { run, .. }| {
            Some(flows.flows.get(&run.task.flow)?.unit_key(run.task))
        })
        .collect();
    match units.len() {
        0 => CrashVerdict {
            suspects: runs
                .into_iter()
                .filter(|suspect| suspect.at_start || !is_lasting(flows, suspect.run))
                .collect(),
            crash_limit: UNPROVEN_CRASH_LIMIT,
        },
        1 => CrashVerdict {
            suspects: starting,
            crash_limit: SOLE_CRASH_LIMIT,
        },
        _ => CrashVerdict {
            suspects: starting,
            crash_limit: CRASH_LIMIT,
        },
    }
}

/// Returns whether a run was still listed when a crash at its start would have happened.
pub(crate) fn has_survived(
    progress_rates: &FastMap<RunKey, ProgressRate>,
    run: RunKey,
    held: &RunRecord,
) -> bool {
    let rate = progress_rates.get(&run);
    rate.is_some_and(|rate| rate.newest().at.since(held.placed).0 >= SURVIVAL_MS)
}

/// Returns whether a task lasts until its flow is cancelled. Over such a time, several backend servers may
/// crash for other reasons.
fn is_lasting(flows: &FlowState, run: RunKey) -> bool {
    let flow = flows.flows.get(&run.task.flow);
    let spec = flow.and_then(|flow| flow.step_spec(run.task));
    spec.is_some_and(|spec| spec.lasting)
}
