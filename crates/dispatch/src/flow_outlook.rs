//! What may become of each open flow: the work that is left, and until when it is of use.

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

/// How many times less the work of a rank weighs than that of the next more urgent one.
const RANK_FACTOR: f64 = 3.0;
/// The weight of a flow that does not depend on its size, as a part of its queue's mean work.
const FIXED_PART: f64 = 0.43;
/// How many times its objective a flow may take and still be of some use.
pub(crate) const LATE_FACTOR: u64 = 3;
/// The part of all room that a step may take at once without being expected to run in waves; the users'
/// objective for wide steps.
const WAVE_PART: f64 = 0.25;
/// What a late flow is worth to its caller, as a part of one that is on time.
pub(crate) const LATE_PART: f64 = 0.25;

/// What may become of an open flow.
#[derive(Debug, Clone)]
pub(crate) struct FlowOutlook {
    pub(crate) flow: FlowId,
    pub(crate) rank: u32,
    /// What it is worth when it is on time, in seconds of a whole worker under the most urgent rank.
    pub(crate) worth: f64,
    /// The work that is left, in seconds of a whole worker.
    pub(crate) work_left: f64,
    /// The time that its longest chain of steps still takes, in milliseconds.
    pub(crate) chain_left_ms: u64,
    /// The time by which it is to be done, on the cluster's clock.
    pub(crate) due_ms: u64,
    /// The time after which it is of no use.
    pub(crate) late_ms: u64,
}

/// One step in one round of a flow.
#[derive(Debug, Clone, Copy)]
struct RoundStep<'a> {
    /// The key of its first task.
    first: TaskKey,
    spec: &'a StepSpec,
    record: &'a StepRecord,
}

/// Returns the steps of one round of a flow.
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

/// What tells how much a task takes of a whole worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerUnit(TaskShape);

impl WorkerUnit {
    /// Takes the largest worker as the unit.
    pub(crate) fn of(view: &DispatchView<'_>) -> Self {
        let present = view.flows.backends.values().filter(|b| b.has_lease());
        let shapes = present.map(|b| b.profile.shape);
        Self(shapes.fold(TaskShape::default(), |largest, shape| {
            largest.component_max(&shape)
        }))
    }

    /// Returns the part of a worker that a task takes, by what it takes most of.
    pub(crate) fn share(self, shape: &TaskShape) -> f64 {
        let part = |used: u64, whole: u64| match whole {
            0 => 0.0,
            whole => used as f64 / whole as f64,
        };
        let accelerators = part(
            u64::from(shape.accelerators),
            u64::from(self.0.accelerators),
        );
        let memory = part(shape.memory_mib, self.0.memory_mib);
        accelerators
            .max(memory)
            .max(part(shape.millicores, self.0.millicores))
    }
}

/// Returns the outlook of every open flow.
pub(crate) fn outlooks(
    view: &DispatchView<'_>,
    times: &RunTimes<'_>,
    unit: WorkerUnit,
) -> BTreeMap<FlowId, FlowOutlook> {
    let means = mean_work(view, times, unit);
    let room = whole_room(view, unit);
    let open = view.flows.open_flows();
    open.map(|(flow, record)| {
        let queue = &record.queue;
        let chain_ms = longest_chain((flow, record), |step| {
            let spec = step.spec;
            let tasks = usize::from(spec.count);
            waves(tasks, unit.share(&spec.shape), room) * times.usual_ms(&queue.key, spec.estimate)
        });
        let objective_ms =
            chain_ms * u64::from(queue.stretch_percent) / 100 + queue.latency_target.0;
        let begun_ms = record.accepted.0;
        let work = whole_work(record, times, unit);
        let mean = means.get(&queue.key).copied().unwrap_or(work);
        let weight = RANK_FACTOR.powi(-i32::try_from(queue.rank).unwrap_or(i32::MAX));
        let outlook = FlowOutlook {
            flow,
            rank: queue.rank,
            worth: weight * (work + FIXED_PART * mean),
            work_left: work_left(view, (flow, record), times, unit),
            chain_left_ms: longest_chain((flow, record), |step| {
                let tasks = step.record.tasks.iter();
                let waiting = tasks.filter(|t| t.phase == TaskPhase::Waiting).count();
                let more = waves(waiting, unit.share(&step.spec.shape), room) - 1;
                let left_ms = task_times(view, record, step, times).max();
                left_ms.unwrap_or(0) + more * times.usual_ms(&queue.key, step.spec.estimate)
            }),
            due_ms: begun_ms + objective_ms,
            late_ms: begun_ms + objective_ms * LATE_FACTOR,
        };
        (flow, outlook)
    })
    .collect()
}

/// Returns the whole workers that are present.
fn whole_room(view: &DispatchView<'_>, unit: WorkerUnit) -> f64 {
    let present = view.flows.backends.values().filter(|b| b.has_lease());
    present.map(|b| unit.share(&b.profile.shape)).sum()
}

/// Returns in how many waves the tasks of a wide step are expected to run, each in a part of all room.
fn waves(tasks: usize, share: f64, room: f64) -> u64 {
    let parts = tasks as f64 * share / (room * WAVE_PART).max(f64::EPSILON);
    // The number of tasks is bounded, so the number of waves is.
    (parts.ceil() as u64).max(1)
}

/// Returns the mean work of each queue's flows, over those that are kept.
fn mean_work<'a>(
    view: &DispatchView<'a>,
    times: &RunTimes<'_>,
    unit: WorkerUnit,
) -> BTreeMap<&'a QueueKey, f64> {
    let mut sums = BTreeMap::<&QueueKey, (f64, f64)>::new();
    for record in view.flows.flows.values() {
        let (sum, count) = sums.entry(&record.queue.key).or_default();
        *sum += whole_work(record, times, unit);
        *count += 1.0;
    }
    let means = sums.into_iter();
    means
        .map(|(queue, (sum, count))| (queue, sum / count))
        .collect()
}

/// Returns the work of a whole flow, in seconds of a whole worker.
pub(crate) fn whole_work(record: &FlowRecord, times: &RunTimes<'_>, unit: WorkerUnit) -> f64 {
    let steps = record.spec.steps.iter().map(|spec| {
        let seconds = times.usual_ms(&record.queue.key, spec.estimate) as f64 / 1_000.0;
        unit.share(&spec.shape) * f64::from(spec.count) * seconds
    });
    steps.sum()
}

fn work_left(
    view: &DispatchView<'_>,
    (flow, record): (FlowId, &FlowRecord),
    times: &RunTimes<'_>,
    unit: WorkerUnit,
) -> f64 {
    let rounds = (0..).zip(&record.rounds);
    let steps = rounds.flat_map(|(round, r)| round_steps((flow, record), (round, &r.steps)));
    let left = steps.map(|step| {
        let left_ms: u64 = task_times(view, record, step, times).sum();
        unit.share(&step.spec.shape) * left_ms as f64 / 1_000.0
    });
    left.sum()
}

/// Returns how long each task of a step that is not done still takes.
fn task_times<'a>(
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
        times.usual_left_ms(TimedRun {
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

/// Returns the longest way through the steps of the first round that is not done.
fn longest_chain(
    (flow, record): (FlowId, &FlowRecord),
    length_ms: impl Fn(RoundStep<'_>) -> u64,
) -> u64 {
    let mut rounds = (0..).zip(&record.rounds);
    let open = rounds.find(|(_, round)| !round.steps.iter().all(StepRecord::is_done));
    let Some((number, round)) = open else {
        return 0;
    };
    let steps = round_steps((flow, record), (number, &round.steps));
    longest_way(steps.map(|step| (step.spec, length_ms(step))))
}

/// Returns the longest way through steps that take a time each and wait for earlier ones.
pub(crate) fn longest_way<'a>(steps: impl Iterator<Item = (&'a StepSpec, u64)>) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for (spec, length_ms) in steps {
        let earlier = spec
            .after
            .iter()
            .filter_map(|at| ends.get(usize::from(*at)));
        let begins = earlier.max().copied().unwrap_or(0);
        ends.push(begins + length_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}
