//! Forecasts of open flows: value, remaining work, remaining critical path, due time and expiry.

use std::collections::BTreeMap;

use roseridge_flow::{
    FlowRecord,
    StepRecord,
    TaskPhase, //
};
use roseridge_model::{
    FlowId,
    QueueKey,
    RunKey,
    StepSpec,
    TaskKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    run_times::{
        RunTimes,
        TimedRun, //
    },
};

/// The ratio of the value of a rank's work to that of the next less urgent rank.
const RANK_VALUE_FACTOR: f64 = 3.0;
/// The part of a flow's value that does not depend on its size, as a share of its queue's mean work.
const FIXED_VALUE_SHARE: f64 = 0.43;
/// A flow that takes longer than this multiple of its objective has no value any more.
pub(crate) const EXPIRY_FACTOR: u64 = 3;
/// The share of the total capacity that a step is expected to use at the same time. A wider step is
/// expected to run in waves. This is the users' objective for wide steps.
const WAVE_SHARE: f64 = 0.25;
/// The value of a late flow to its caller, as a share of the value on time.
pub(crate) const LATE_VALUE_SHARE: f64 = 0.25;

/// The forecast of an open flow.
#[derive(Debug, Clone)]
pub(crate) struct FlowForecast {
    pub(crate) flow: FlowId,
    pub(crate) rank: u32,
    /// The value if the flow completes on time, in seconds of a whole worker at the most urgent rank.
    pub(crate) value: f64,
    /// The remaining work, in seconds of a whole worker.
    pub(crate) remaining_work: f64,
    /// The remaining time of the longest path through the steps, in milliseconds.
    pub(crate) remaining_critical_path_ms: u64,
    /// The time by which the flow is due on the cluster's clock, in milliseconds since the Unix epoch.
    pub(crate) due_ms: u64,
    /// The time after which the flow has no value, on the same clock.
    pub(crate) expiry_ms: u64,
}

/// One step in one repetition of a flow.
#[derive(Debug, Clone, Copy)]
struct RoundStep<'a> {
    /// The key of the step's first task.
    first: TaskKey,
    spec: &'a StepSpec,
    record: &'a StepRecord,
}

/// Returns the steps of one repetition of a flow.
fn round_steps<'a>(
    (flow, record): (FlowId, &'a FlowRecord),
    (round, steps): (u32, &'a [StepRecord]),
) -> impl Iterator<Item = RoundStep<'a>> {
    let steps = record.spec.steps.iter().zip(steps);
    (0..)
        .zip(steps)
        .map(move |(step, (spec, record))| RoundStep {
            first: TaskKey {
                flow,
                round,
                step,
                index: 0,
            },
            spec,
            record,
        })
}

/// The resources of the largest worker, against which the sizes of tasks and workers are measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReferenceWorker(TaskShape);

impl ReferenceWorker {
    /// Takes the maximum of each resource over the present workers.
    pub(crate) fn from_view(view: &DispatchView<'_>) -> Self {
        let present = view.flows.backends.values().filter(|b| b.has_lease());
        let shapes = present.map(|b| b.profile.shape);
        Self(shapes.fold(TaskShape::default(), |largest, shape| {
            largest.component_max(&shape)
        }))
    }

    /// Returns a shape's share of the reference worker, by its dominant resource.
    pub(crate) fn share(self, shape: &TaskShape) -> f64 {
        let share = |used: u64, whole: u64| match whole {
            0 => 0.0,
            whole => used as f64 / whole as f64,
        };
        let accelerators = share(
            u64::from(shape.accelerators),
            u64::from(self.0.accelerators),
        );
        let memory = share(shape.memory_mib, self.0.memory_mib);
        accelerators
            .max(memory)
            .max(share(shape.millicores, self.0.millicores))
    }
}

/// Returns the forecast of every open flow.
pub(crate) fn forecast_flows(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    reference: ReferenceWorker,
) -> BTreeMap<FlowId, FlowForecast> {
    let means = mean_work(view, times, reference);
    let workers = total_workers(view, reference);
    let open = view.flows.open_flows();
    open.map(|(flow, record)| {
        let queue = &record.queue;
        let path_ms = open_round_path_ms((flow, record), |step| {
            let spec = step.spec;
            let tasks = usize::from(spec.count);
            waves(tasks, reference.share(&spec.shape), workers)
                * times.usual_ms(&queue.key, spec.estimate)
        });
        let objective_ms =
            path_ms * u64::from(queue.stretch_percent) / 100 + queue.latency_target.0;
        let accepted_ms = record.accepted.0;
        let work = total_work(record, times, reference);
        let mean = means.get(&queue.key).copied().unwrap_or(work);
        let weight = RANK_VALUE_FACTOR.powi(-i32::try_from(queue.rank).unwrap_or(i32::MAX));
        let forecast = FlowForecast {
            flow,
            rank: queue.rank,
            value: weight * (work + FIXED_VALUE_SHARE * mean),
            remaining_work: remaining_work(view, (flow, record), times, reference),
            remaining_critical_path_ms: open_round_path_ms((flow, record), |step| {
                let tasks = step.record.tasks.iter();
                let waiting = tasks.filter(|t| t.phase == TaskPhase::Waiting).count();
                let further_waves = waves(waiting, reference.share(&step.spec.shape), workers) - 1;
                let first_wave_ms = remaining_task_times(view, record, step, times).max();
                first_wave_ms.unwrap_or(0)
                    + further_waves * times.usual_ms(&queue.key, step.spec.estimate)
            }),
            due_ms: accepted_ms + objective_ms,
            expiry_ms: accepted_ms + objective_ms * EXPIRY_FACTOR,
        };
        (flow, forecast)
    })
    .collect()
}

/// Returns the total capacity of the present workers, in whole workers.
fn total_workers(view: &DispatchView<'_>, reference: ReferenceWorker) -> f64 {
    let present = view.flows.backends.values().filter(|b| b.has_lease());
    present.map(|b| reference.share(&b.profile.shape)).sum()
}

/// Returns the number of waves in which the tasks of a step are expected to run. Each wave uses at most
/// [`WAVE_SHARE`] of the total capacity.
fn waves(tasks: usize, share: f64, workers: f64) -> u64 {
    let count = tasks as f64 * share / (workers * WAVE_SHARE).max(f64::EPSILON);
    // The number of tasks is bounded, and with it the number of waves.
    (count.ceil() as u64).max(1)
}

/// Returns the mean work of each queue's flows, open or retained, in seconds of a whole worker.
fn mean_work<'a>(
    view: &DispatchView<'a>,
    times: &RunTimes<'_>,
    reference: ReferenceWorker,
) -> BTreeMap<&'a QueueKey, f64> {
    let mut sums = BTreeMap::<&QueueKey, (f64, f64)>::new();
    for record in view.flows.flows.values() {
        let (sum, count) = sums.entry(&record.queue.key).or_default();
        *sum += total_work(record, times, reference);
        *count += 1.0;
    }
    let means = sums.into_iter();
    means
        .map(|(queue, (sum, count))| (queue, sum / count))
        .collect()
}

/// Returns the total work of a flow, in seconds of a whole worker.
pub(crate) fn total_work(
    record: &FlowRecord,
    times: &RunTimes<'_>,
    reference: ReferenceWorker,
) -> f64 {
    let steps = record.spec.steps.iter().map(|spec| {
        let seconds = times.usual_ms(&record.queue.key, spec.estimate) as f64 / 1_000.0;
        reference.share(&spec.shape) * f64::from(spec.count) * seconds
    });
    steps.sum()
}

/// Returns the remaining work of a flow, in seconds of a whole worker.
fn remaining_work(
    view: &DispatchView<'_>,
    (flow, record): (FlowId, &FlowRecord),
    times: &RunTimes<'_>,
    reference: ReferenceWorker,
) -> f64 {
    let rounds = (0..).zip(&record.rounds);
    let steps = rounds.flat_map(|(round, r)| round_steps((flow, record), (round, &r.steps)));
    let remaining = steps.map(|step| {
        let remaining_ms: u64 = remaining_task_times(view, record, step, times).sum();
        reference.share(&step.spec.shape) * remaining_ms as f64 / 1_000.0
    });
    remaining.sum()
}

/// Returns the remaining time of each task of a step that is not done, in milliseconds.
fn remaining_task_times<'a>(
    view: &'a DispatchView<'_>,
    record: &'a FlowRecord,
    step: RoundStep<'a>,
    times: &'a RunTimes<'_>,
) -> impl Iterator<Item = u64> + 'a {
    let tasks = (0..).zip(&step.record.tasks);
    let open = tasks.filter(|(_, task)| task.phase != TaskPhase::Done);
    open.map(move |(index, task)| {
        let (run, worked_ms) = match task.phase {
            TaskPhase::Placed { run, at, .. } => (Some(run), view.now.since(at).0),
            _ => (None, 0),
        };
        times.usual_remaining_ms(TimedRun {
            queue: &record.queue.key,
            estimate: step.spec.estimate,
            elapsed_ms: task.saved_work.0 + worked_ms,
            run: run.map(|run| RunKey {
                task: TaskKey {
                    index,
                    ..step.first
                },
                run,
            }),
        })
    })
}

/// Returns the length of the critical path of a flow's first repetition that is not done, in
/// milliseconds.
fn open_round_path_ms(
    (flow, record): (FlowId, &FlowRecord),
    duration_ms: impl Fn(RoundStep<'_>) -> u64,
) -> u64 {
    let mut rounds = (0..).zip(&record.rounds);
    let open = rounds.find(|(_, round)| !round.steps.iter().all(StepRecord::is_done));
    let Some((number, round)) = open else {
        return 0;
    };
    let steps = round_steps((flow, record), (number, &round.steps));
    critical_path_ms(steps.map(|step| (step.spec, duration_ms(step))))
}

/// Returns the length of the critical path through steps with a duration each, in milliseconds. Steps
/// only wait for earlier ones.
pub(crate) fn critical_path_ms<'a>(steps: impl Iterator<Item = (&'a StepSpec, u64)>) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for (spec, duration_ms) in steps {
        let earlier = spec
            .after
            .iter()
            .filter_map(|step| ends.get(usize::from(*step)));
        let start = earlier.max().copied().unwrap_or(0);
        ends.push(start + duration_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}
