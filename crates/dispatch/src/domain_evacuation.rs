//! Which runs leave a failure domain that an operator has evacuated.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    BackendRecord,
    FlowRecord,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    FlowId,
    RunKey,
    StepSpec, //
};

use crate::{
    DispatchView,
    crash_trial::is_suspect,
    evacuation::{
        STOP_LEAD_MS,
        with_gang, //
    },
    flow_forecast::FlowForecast,
    placement_unit::PlacementUnit,
    preemption::{
        MEAN_UNSAVED_MS,
        REQUEUE_WAIT_MS,
        gain_from_starting_now, //
    },
    run_times::{
        RunTimes,
        TimedRun, //
    },
};

/// The remaining time within which a run ends soon, in milliseconds. It stays where it is. An operator
/// needs at least this long to start the work for which the domain was evacuated.
const ENDS_SOON_MS: u64 = 30_000;

/// Runs in an evacuated domain that are moved together: one run, or a whole gang.
#[derive(Debug)]
pub(crate) struct EvacuatedUnit<'a> {
    /// The tasks, as if they were waiting.
    pub(crate) unit: PlacementUnit<'a>,
    /// The runs of the tasks.
    pub(crate) runs: Vec<RunKey>,
    /// Whether any of the runs is ordered to stop already.
    pub(crate) is_stopping: bool,
}

/// What is known about a run in an evacuated domain.
#[derive(Debug, Clone, Copy)]
struct MoveCosts {
    /// Whether it runs until its flow is cancelled.
    is_lasting: bool,
    /// The remaining time where it is.
    remaining_ms: u64,
    /// The work that a restart from its checkpoint repeats, with the time of the restoring.
    lost_ms: u64,
    /// Whether its flow would become late or worthless if it moved.
    loses_value: bool,
}

/// Returns the runs in evacuated domains that were placed there and that no report lists as running.
///
/// Load pattern: an operator evacuates a domain in the middle of a burst, while starts are on their way.
/// These runs have done no work. They are stopped at once, so that no task starts there later, and placed
/// elsewhere. A gang with such a member is stopped as a whole. Runs on a backend server that this leader
/// had no contact with yet are left alone, because they may be running.
pub(crate) fn unstarted_runs(view: &DispatchView<'_>) -> BTreeSet<RunKey> {
    let mut unstarted = BTreeSet::new();
    let known = evacuated_backends(view).filter(|(id, _)| view.contacts.contains_key(*id));
    for (run, held) in known.flat_map(|(_, record)| &record.runs) {
        let flow = view.flows.flows.get(&run.task.flow);
        match flow {
            Some(flow) if held.stop.is_none() && !view.progress_rates.contains_key(run) => {
                unstarted.extend(with_gang(flow, *run));
            }
            // If the flow's record is deleted, its runs are being stopped.
            _ => {}
        }
    }
    unstarted
}

/// Returns the units that leave evacuated domains: those that are being stopped, and those that are
/// worth moving if there is room elsewhere.
///
/// Load pattern: a domain with a third of the load is evacuated, and the others have little room. A run
/// that ends soon stays, and so does one that would lose more work by a restart than it has left, or
/// whose flow would become late or worthless by it. Runs that never end are moved. More urgent flows come
/// first, and within a rank the runs that would occupy the domain for longest.
pub(crate) fn leaving_units<'a>(
    view: &DispatchView<'a>,
    times: &RunTimes<'_>,
    forecasts: &BTreeMap<FlowId, FlowForecast>,
) -> Vec<EvacuatedUnit<'a>> {
    let mut seen = BTreeSet::new();
    let mut leaving = Vec::new();
    for run in evacuated_backends(view).flat_map(|(_, record)| record.runs.keys()) {
        let Some(unit) = evacuated_unit(view, *run) else {
            continue;
        };
        if !unit.runs.iter().all(|run| seen.insert(*run)) {
            continue;
        }
        let costs = move_costs(view, times, forecasts, &unit);
        if unit.is_stopping || is_worth_moving(costs) {
            leaving.push((costs, unit));
        }
    }
    leaving.sort_by_key(|(costs, unit)| {
        let occupied_ms = match costs.is_lasting {
            true => u64::MAX,
            false => costs.remaining_ms,
        };
        // The capacity for runs that are being stopped is set aside first.
        (
            !unit.is_stopping,
            unit.unit.queue().rank,
            std::cmp::Reverse(occupied_ms),
        )
    });
    leaving.into_iter().map(|(_, unit)| unit).collect()
}

/// Returns whether a run gains more than it loses by a restart elsewhere.
fn is_worth_moving(costs: MoveCosts) -> bool {
    match costs.is_lasting {
        true => true,
        false => {
            costs.remaining_ms > ENDS_SOON_MS
                && costs.remaining_ms > costs.lost_ms + STOP_LEAD_MS
                && !costs.loses_value
        }
    }
}

fn evacuated_backends<'a>(
    view: &DispatchView<'a>,
) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
    let flows = view.flows;
    let backends = flows.backends.iter();
    backends.filter(|(_, record)| record.has_lease() && flows.is_evacuated(record))
}

/// Returns the unit of a run; `None` if the flow's record is deleted, since its runs are being stopped.
fn evacuated_unit<'a>(view: &DispatchView<'a>, run: RunKey) -> Option<EvacuatedUnit<'a>> {
    let record = view.flows.flows.get(&run.task.flow)?;
    let spec = record.step_spec(run.task)?;
    let runs = with_gang(record, run);
    // A member of a gang whose run has ended takes part in the next run.
    let step = record.step(run.task)?;
    let tasks = match spec.gang {
        true => (0..)
            .zip(&step.tasks)
            .map(|(index, _)| roseridge_model::TaskKey { index, ..run.task })
            .collect(),
        false => vec![run.task],
    };
    let saved = match spec.gang {
        true => step.newest_checkpoint().1,
        false => record.task(run.task)?.saved_work,
    };
    let is_stopping = runs.iter().any(|run| is_stopping(view, record, *run));
    let unit = PlacementUnit {
        record,
        spec,
        tasks,
        saved_ms: saved.0,
        is_suspect: is_suspect(view, run.task),
    };
    (!runs.is_empty()).then_some(EvacuatedUnit {
        unit,
        runs,
        is_stopping,
    })
}

fn is_stopping(view: &DispatchView<'_>, flow: &FlowRecord, run: RunKey) -> bool {
    let Some(TaskPhase::Placed { backend, .. }) = flow.task(run.task).map(|task| &task.phase)
    else {
        return false;
    };
    let record = view.flows.backends.get(backend);
    let held = record.and_then(|record| record.runs.get(&run));
    held.is_some_and(|held| held.stop.is_some())
}

fn move_costs(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    forecasts: &BTreeMap<FlowId, FlowForecast>,
    evacuated: &EvacuatedUnit<'_>,
) -> MoveCosts {
    let PlacementUnit { record, spec, .. } = evacuated.unit;
    // A gang ends with its slowest member.
    let remaining = evacuated.runs.iter().map(|run| {
        let saved_ms = record.task(run.task).map_or(0, |task| task.saved_work.0);
        times.usual_remaining_ms(TimedRun {
            queue: &record.queue.key,
            estimate: spec.estimate,
            elapsed_ms: saved_ms + worked_ms(view, record, *run),
            run: Some(*run),
        })
    });
    let worked = evacuated
        .runs
        .iter()
        .map(|run| worked_ms(view, record, *run));
    let lost_ms = lost_ms(view, spec, worked.max().unwrap_or(0));
    let forecast = forecasts.get(&evacuated.unit.tasks[0].flow);
    let loses_value = forecast.is_some_and(|forecast| {
        gain_from_starting_now(forecast, view.now.0, lost_ms + REQUEUE_WAIT_MS) > 0.0
    });
    MoveCosts {
        is_lasting: spec.lasting,
        remaining_ms: remaining.max().unwrap_or(0),
        lost_ms,
        loses_value,
    }
}

/// Returns the time since a run was placed, in milliseconds.
fn worked_ms(view: &DispatchView<'_>, flow: &FlowRecord, run: RunKey) -> u64 {
    match flow.task(run.task).map(|task| &task.phase) {
        Some(TaskPhase::Placed { at, .. }) => view.now.since(*at).0,
        _ => 0,
    }
}

/// Returns the work that a restart repeats, with the time of the restoring, in milliseconds.
fn lost_ms(view: &DispatchView<'_>, spec: &StepSpec, worked_ms: u64) -> u64 {
    match spec.checkpointing {
        true => worked_ms.min(MEAN_UNSAVED_MS) + view.limits.restore_time.0,
        false => worked_ms,
    }
}
