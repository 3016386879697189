//! The room of the backend servers while decisions are taken.

use roseridge_flow::{
    BackendRecord,
    BackendStatus,
    RunResult, //
};
use roseridge_model::{
    BackendId,
    RunKey,
    TaskKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    backend_health::{
        BackendHealth,
        OwnFaults, //
    },
    run_times::{
        RunTimes,
        TimedRun, //
    },
    work_unit::WorkUnit, //
};

/// The time within which a run that was told to stop gives its room back, in milliseconds.
const STOPPING_MS: u64 = 400;

/// A run that takes room.
#[derive(Debug, Clone)]
pub(crate) struct HeldRoom {
    pub(crate) run: RunKey,
    pub(crate) shape: TaskShape,
    /// When it gives its room back, if it is a long one.
    pub(crate) until_ms: u64,
    pub(crate) is_stopping: bool,
}

/// Room that is kept for a unit at a time.
#[derive(Debug, Clone, Copy)]
struct KeptRoom {
    from_ms: u64,
    shape: TaskShape,
}

/// The room of one backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendRoom<'a> {
    pub(crate) id: &'a BackendId,
    pub(crate) record: &'a BackendRecord,
    /// What nothing takes.
    pub(crate) free: TaskShape,
    pub(crate) held: Vec<HeldRoom>,
    pub(crate) health: BackendHealth,
    /// The tasks placed in this round of decisions.
    pub(crate) placed: Vec<TaskKey>,
    kept: Vec<KeptRoom>,
}

impl BackendRoom<'_> {
    /// Returns how many of a unit's tasks the step's spread limit still allows here.
    pub(crate) fn spread_left(&self, unit: &WorkUnit<'_>) -> usize {
        let Some(limit) = unit.spec.spread_limit else {
            return usize::MAX;
        };
        let held = self.record.runs.keys().map(|run| &run.task);
        let used = held
            .chain(&self.placed)
            .filter(|task| unit.is_of_step(task));
        usize::from(limit).saturating_sub(used.count())
    }

    /// Returns whether the labels, the kind and the health allow a unit here.
    pub(crate) fn suits(&self, unit: &WorkUnit<'_>) -> bool {
        let profile = &self.record.profile;
        let label = unit.spec.label.as_ref();
        let is_trusted = match self.health {
            BackendHealth::Sound | BackendHealth::Doubtful => true,
            // A trial is one small task at a time, and none that is urgent or whose last run it is.
            BackendHealth::OnTrial => {
                !unit.is_urgent()
                    && unit.tasks.len() == 1
                    && !unit.is_last_attempt()
                    && self.record.runs.is_empty()
                    && self.placed.is_empty()
            }
            BackendHealth::Spared => false,
        };
        is_trusted
            && profile.service == unit.queue().service
            && label.is_none_or(|label| profile.labels.contains(label))
    }

    /// Returns how far this is from the first choice for a unit, besides its room.
    pub(crate) fn reluctance(&self, unit: &WorkUnit<'_>) -> u8 {
        let failed_here = |mark: &RunResult| !mark.done && unit.tasks.contains(&mark.run.task);
        match self.health {
            _ if self.record.results.iter().any(failed_here) => 2,
            BackendHealth::Sound => 0,
            _ => 1,
        }
    }

    /// Returns what is free at a time, if the runs here take long, besides what is kept until then.
    pub(crate) fn free_at(&self, at_ms: u64) -> TaskShape {
        let given_back = self.held.iter().filter(|held| held.until_ms <= at_ms);
        let free = given_back.fold(self.free, |sum, held| sum.plus(&held.shape));
        let kept = self.kept.iter().filter(|kept| kept.from_ms <= at_ms);
        kept.fold(free, |left, kept| left.minus(&kept.shape))
    }

    /// Returns what is free now and may be used until a time without taking what is kept.
    pub(crate) fn usable(&self, until_ms: u64) -> TaskShape {
        let kept = self.kept.iter().filter(|kept| kept.from_ms < until_ms);
        let at_times = kept.map(|kept| self.free_at(kept.from_ms));
        at_times.fold(self.free, |least, free| least.component_min(&free))
    }

    /// Returns the times at which room is given back.
    pub(crate) fn give_back_times(&self) -> impl Iterator<Item = u64> {
        self.held.iter().map(|held| held.until_ms)
    }

    /// Returns, for one task of a shape after the other and `most` of them, when it would have room here
    /// if no room were kept.
    pub(crate) fn slot_times(&self, shape: &TaskShape, most: usize, now_ms: u64) -> Vec<u64> {
        let mut given: Vec<_> = self.held.iter().map(|h| (h.until_ms, h.shape)).collect();
        given.sort_unstable_by_key(|(until_ms, _)| *until_ms);
        let mut free = self.free;
        let mut slots = vec![now_ms; fitting(&free, shape, most)];
        for (until_ms, shape_back) in given {
            if slots.len() >= most {
                break;
            }
            free = free.plus(&shape_back);
            slots.resize(fitting(&free, shape, most), until_ms);
        }
        slots
    }

    /// Keeps room from a time on, which lies ahead.
    pub(crate) fn keep(&mut self, shape: TaskShape, from_ms: u64) {
        self.kept.push(KeptRoom { from_ms, shape });
    }

    /// Claims room for an urgent unit that waits only for runs which were told to stop.
    pub(crate) fn claim(&mut self, shape: TaskShape) {
        self.kept.push(KeptRoom { from_ms: 0, shape });
    }

    /// Returns what is free and not claimed.
    pub(crate) fn unclaimed(&self) -> TaskShape {
        self.free_at(0)
    }

    /// Returns what is free or being given back, and not claimed.
    pub(crate) fn unclaimed_soon(&self) -> TaskShape {
        let stopping = self.held.iter().filter(|held| held.is_stopping);
        let free = stopping.fold(self.free, |sum, held| sum.plus(&held.shape));
        let claimed = self.kept.iter().filter(|kept| kept.from_ms == 0);
        claimed.fold(free, |left, kept| left.minus(&kept.shape))
    }

    /// Notes that a run is told to stop.
    pub(crate) fn stop(&mut self, run: RunKey, now_ms: u64) {
        for held in self.held.iter_mut().filter(|held| held.run == run) {
            held.is_stopping = true;
            held.until_ms = held.until_ms.min(now_ms + STOPPING_MS);
        }
    }
}

/// Returns how many tasks of a shape fit into `room`, at most `wanted`.
pub(crate) fn fitting(room: &TaskShape, shape: &TaskShape, wanted: usize) -> usize {
    let mut left = *room;
    let mut count = 0;
    while count < wanted && left.can_hold(shape) {
        left = left.minus(shape);
        count += 1;
    }
    count
}

/// Returns a shape that what is free in any room does not exceed.
pub(crate) fn most_free(rooms: &[BackendRoom<'_>]) -> TaskShape {
    let shapes = rooms.iter().map(|room| &room.free);
    shapes.fold(TaskShape::default(), |most, free| most.component_max(free))
}

/// Returns the room of every backend server that may receive work.
pub(crate) fn open_rooms<'a>(
    view: &DispatchView<'a>,
    times: &RunTimes<'_>,
) -> Vec<BackendRoom<'a>> {
    let faults = OwnFaults::of(view.flows);
    let backends = view.flows.backends.iter();
    let open = backends
        .filter(|(id, record)| record.status == BackendStatus::Ready && view.is_in_contact(id));
    open.map(|(id, record)| BackendRoom {
        id,
        record,
        free: record.free(),
        held: held_rooms(view, record, times),
        health: faults.judge(record, times, view.now),
        placed: Vec::new(),
        kept: Vec::new(),
    })
    .collect()
}

fn held_rooms(
    view: &DispatchView<'_>,
    record: &BackendRecord,
    times: &RunTimes<'_>,
) -> Vec<HeldRoom> {
    let now_ms = view.now.0;
    let held = record.runs.iter().map(|(run, held)| {
        let flow = view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        let left_ms = match (flow, spec) {
            _ if held.stop.is_some() => STOPPING_MS,
            (Some(flow), Some(spec)) => {
                let saved_ms = flow.task(run.task).map_or(0, |task| task.saved_work.0);
                times.long_left_ms(TimedRun {
                    queue: &flow.queue.key,
                    estimate: spec.estimate,
                    elapsed_ms: saved_ms + view.now.since(held.placed).0,
                    run: Some(*run),
                })
            }
            // The flow is forgotten, and its runs are being stopped.
            _ => STOPPING_MS,
        };
        HeldRoom {
            run: *run,
            shape: held.shape,
            until_ms: now_ms + left_ms,
            is_stopping: held.stop.is_some(),
        }
    });
    held.collect()
}
