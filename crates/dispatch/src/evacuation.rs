//! Which runs are moved off a backend server before it leaves.

use std::collections::BTreeSet;

use roseridge_flow::{
    BackendRecord,
    BackendStatus,
    FlowRecord,
    RunRecord, //
};
use roseridge_model::{
    RunKey,
    UnixMillis, //
};

use crate::{
    DispatchView,
    run_times::{
        RunTimes,
        TimedRun, //
    },
};

/// The time that a run needs to stop and make its checkpoint durable, in milliseconds: twice the longest
/// stop of a backend server.
pub(crate) const STOP_LEAD_MS: u64 = 800;

/// Returns the runs to stop because they would be lost with their backend server.
///
/// Load pattern: one worker, or a whole rack, receives notice in the middle of the load. A run that is
/// likely to end before its backend server may leave stays. Any other run is stopped at once, keeps its
/// checkpoint and restarts elsewhere, whereas a lost run would have to wait for a lease to expire first.
/// The members of a gang are stopped together.
pub(crate) fn evacuations(view: &DispatchView<'_>, times: &RunTimes<'_>) -> BTreeSet<RunKey> {
    let mut evacuated = BTreeSet::new();
    for record in view.flows.backends.values() {
        let BackendStatus::Draining { until } = record.status else {
            continue;
        };
        // After its notice has run out, a backend server may be gone and not receive a stop.
        if until > view.now {
            evacuated.extend(runs_to_move(view, times, (record, until)));
        }
    }
    evacuated
}

fn runs_to_move(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    (record, until): (&BackendRecord, UnixMillis),
) -> Vec<RunKey> {
    let mut moved = Vec::new();
    for (run, held) in record.runs.iter().filter(|(_, held)| held.stop.is_none()) {
        let flow = view.flows.flows.get(&run.task.flow);
        match flow {
            Some(flow) if !can_end_before(view, times, (flow, *run, held), until) => {
                moved.extend(with_gang(flow, *run));
            }
            // If the flow's record is deleted, its runs are being stopped.
            _ => {}
        }
    }
    moved
}

/// Returns whether a run is likely to end before its backend server may leave.
fn can_end_before(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    (flow, run, held): (&FlowRecord, RunKey, &RunRecord),
    until: UnixMillis,
) -> bool {
    let Some(spec) = flow.step_spec(run.task) else {
        return true;
    };
    let saved_ms = flow.task(run.task).map_or(0, |task| task.saved_work.0);
    let remaining_ms = times.usual_remaining_ms(TimedRun {
        queue: &flow.queue.key,
        estimate: spec.estimate,
        elapsed_ms: saved_ms + view.now.since(held.placed).0,
        run: Some(run),
    });
    let notice_ms = until.since(view.now).0;
    !spec.lasting && notice_ms > remaining_ms && notice_ms > STOP_LEAD_MS
}

/// Returns all runs of the run's gang, or only the run if it is not in a gang.
pub(crate) fn with_gang(flow: &FlowRecord, run: RunKey) -> Vec<RunKey> {
    match flow.is_gang(run.task) {
        true => flow.gang_runs(run),
        false => vec![run],
    }
}
