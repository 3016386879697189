//! Which runs leave a backend server before it goes.

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

/// The time within which a run that is told to stop has ended and its checkpoint is durable, in
/// milliseconds: twice the longest stop of a backend server.
const STOP_LEAD_MS: u64 = 800;

/// Returns the runs that stop because they would be lost with their backend server.
///
/// Load pattern: workers get notice, one or a whole rack of them, in the middle of the load. A run that
/// is likely to end before its backend server may go stays; any other is stopped at once, keeps what it
/// saved, and begins again elsewhere, while a run that is lost waits for the end of a lease first. The
/// members of a gang go together.
pub(crate) fn evacuations(view: &DispatchView<'_>, times: &RunTimes<'_>) -> BTreeSet<RunKey> {
    let mut leaving = BTreeSet::new();
    for record in view.flows.backends.values() {
        let BackendStatus::Draining { until } = record.status else {
            continue;
        };
        // Nobody knows whether a backend server still hears a stop after its time.
        if until > view.now {
            leaving.extend(lost_runs(view, times, (record, until)));
        }
    }
    leaving
}

fn lost_runs(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    (record, until): (&BackendRecord, UnixMillis),
) -> Vec<RunKey> {
    let mut lost = Vec::new();
    for (run, held) in record.runs.iter().filter(|(_, held)| held.stop.is_none()) {
        let flow = view.flows.flows.get(&run.task.flow);
        match flow {
            Some(flow) if !ends_before(view, times, (flow, *run, held), until) => {
                lost.extend(stopped_together(flow, *run));
            }
            // The runs of a flow that is forgotten are being stopped.
            _ => {}
        }
    }
    lost
}

/// Returns whether a run is likely to end before its backend server may go.
fn ends_before(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    (flow, run, held): (&FlowRecord, RunKey, &RunRecord),
    until: UnixMillis,
) -> bool {
    let Some(spec) = flow.step_spec(run.task) else {
        return true;
    };
    let saved_ms = flow.task(run.task).map_or(0, |task| task.saved_work.0);
    let left_ms = times.usual_left_ms(TimedRun {
        queue: &flow.queue.key,
        estimate: spec.estimate,
        elapsed_ms: saved_ms + view.now.since(held.placed).0,
        run: Some(run),
    });
    let time_left_ms = until.since(view.now).0;
    !spec.lasting && time_left_ms > left_ms && time_left_ms > STOP_LEAD_MS
}

/// Returns a run, or all runs of its gang.
fn stopped_together(flow: &FlowRecord, run: RunKey) -> Vec<RunKey> {
    match flow.is_gang(run.task) {
        true => flow.gang_runs(run),
        false => vec![run],
    }
}
