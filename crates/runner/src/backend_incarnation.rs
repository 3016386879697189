//! What an agent knows of one life of its backend server, and what it reports of it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    EndRecord,
    UnstartedRun, //
};
use roseridge_model::{
    DurationMs,
    FastMap,
    FlowId,
    RunKey, //
};
use roseridge_wire::{
    BackendReport,
    RunningRun, //
};

use crate::{
    ListedRun, LivenessReport,
    run_progress::{
        RunProgress,
        RunStep, //
    },
};

/// The rate of a backend server's clock at its slowest, in percent of true time; the platform's bound.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// What is known of the present life of the backend server.
#[derive(Debug)]
pub(crate) struct BackendIncarnation {
    pub(crate) notice: LivenessReport,
    /// The newest reading of its clock, with the agent's time of it.
    pub(crate) clock: (u64, u64),
    /// The time on its clock until which the leader lets runs go on, and what it was told of that.
    pub(crate) lease_until_ms: u64,
    pub(crate) told_until_ms: u64,
    pub(crate) orders_index: u64,
    pub(crate) ends_seen: u64,
    /// Ends that the leader did not take note of yet, by number.
    pub(crate) ends: BTreeMap<u64, EndRecord>,
    pub(crate) running: BTreeMap<RunKey, ListedRun>,
    /// The agent's time when it was told what runs.
    pub(crate) listed_ms: u64,
    pub(crate) runs: BTreeMap<RunKey, RunProgress>,
    /// Runs that are listed and were not ordered, and are being stopped.
    pub(crate) strays: BTreeSet<RunKey>,
    pub(crate) has_list: bool,
    /// Since when it is about to end, by its own word.
    pub(crate) farewell_ms: Option<u64>,
    pub(crate) wants_profile: bool,
}

/// Returns what the backend server's clock has reached at least.
pub(crate) fn latest_clock((clock_ms, at_ms): (u64, u64), now_ms: u64) -> u64 {
    clock_ms + now_ms.saturating_sub(at_ms) * SLOWEST_CLOCK_PERCENT / 100
}

/// Makes the report of a life.
pub(crate) fn backend_report(
    life: &BackendIncarnation,
    texts: &FastMap<FlowId, String>,
    now_ms: u64,
) -> BackendReport {
    let running = life.running.values().map(|listed| RunningRun {
        run: listed.run,
        saved: listed.saved.clone(),
        percent: listed.percent,
    });
    let unstarted = life.runs.values().filter(|p| p.step == RunStep::Unstarted);
    let unstarted = unstarted.map(|progress| UnstartedRun {
        run: progress.order.run,
        reason: progress
            .given_up
            .unwrap_or("stopped before its start")
            .to_owned(),
    });
    BackendReport {
        backend: life.notice.backend.clone(),
        profile: life.wants_profile.then(|| life.notice.profile.clone()),
        clock_ms: latest_clock(life.clock, now_ms),
        draining: life.notice.draining,
        running: running.collect(),
        listed_ago: DurationMs(now_ms.saturating_sub(life.listed_ms)),
        ends: life.ends.values().cloned().collect(),
        unstarted: unstarted.collect(),
        known_orders: life.orders_index,
        known_ends: life.ends_seen,
        texts: texts.keys().copied().collect(),
    }
}
