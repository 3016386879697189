//! The capacity of the backend servers during a scheduling pass.

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
        TaskFaults, //
    },
    crash_trial::{
        PendingStart,
        pending_start, //
    },
    domain_return::is_returning,
    placement_unit::PlacementUnit,
    run_times::{
        RunTimes,
        TimedRun, //
    },
};

/// The time within which a run that was ordered to stop releases its capacity, in milliseconds.
const STOP_TIME_MS: u64 = 400;

/// The penalty of a place, lowest first: for the health of the backend server, then for the runs at risk.
pub(crate) type PlacePenalty = (u8, usize);

/// The capacity that a run holds.
#[derive(Debug, Clone)]
pub(crate) struct HeldCapacity {
    pub(crate) run: RunKey,
    pub(crate) shape: TaskShape,
    /// The conservative estimate of the time at which the run releases its capacity.
    pub(crate) release_ms: u64,
    pub(crate) is_stopping: bool,
}

/// Capacity that is reserved for a unit from a time on.
#[derive(Debug, Clone, Copy)]
struct CapacityReservation {
    /// The start of the reservation; zero for a claim, which holds from now on.
    from_ms: u64,
    shape: TaskShape,
}

/// The capacity of one backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendCapacity<'a> {
    pub(crate) id: &'a BackendId,
    pub(crate) record: &'a BackendRecord,
    /// The capacity that no run holds.
    pub(crate) free: TaskShape,
    pub(crate) held: Vec<HeldCapacity>,
    pub(crate) health: BackendHealth,
    /// Whether its failure domain returns from an evacuation and it may be cold.
    is_returning: bool,
    /// What is starting here, including the tasks placed in this scheduling pass.
    pub(crate) pending_start: PendingStart,
    /// The tasks placed in this scheduling pass.
    pub(crate) placed: Vec<TaskKey>,
    reservations: Vec<CapacityReservation>,
}

impl BackendCapacity<'_> {
    /// Returns the number of a unit's tasks that the step's spread limit still allows here.
    pub(crate) fn remaining_spread(&self, unit: &PlacementUnit<'_>) -> usize {
        let Some(limit) = unit.spec.spread_limit else {
            return usize::MAX;
        };
        let held = self.record.runs.keys().map(|run| &run.task);
        let used = held
            .chain(&self.placed)
            .filter(|task| unit.is_same_step(task));
        usize::from(limit).saturating_sub(used.count())
    }

    /// Returns whether the labels, the service, the health and the runs that are starting allow a unit
    /// here.
    pub(crate) fn can_host(&self, unit: &PlacementUnit<'_>) -> bool {
        let profile = &self.record.profile;
        let label = unit.spec.label.as_ref();
        let is_trusted = match self.health {
            BackendHealth::Healthy | BackendHealth::Suspect => true,
            // A trial is a single task at a time. Urgent tasks, and tasks whose next failure fails
            // the flow, are not put at risk.
            BackendHealth::Probation => {
                !unit.is_urgent()
                    && unit.tasks.len() == 1
                    && !unit.is_last_attempt()
                    && self.record.runs.is_empty()
                    && self.placed.is_empty()
            }
            BackendHealth::Avoided => false,
        };
        let may_start = match self.pending_start {
            PendingStart::None => true,
            PendingStart::Ordinary => !unit.is_suspect,
            PendingStart::Trial => false,
        };
        is_trusted
            && may_start
            && profile.service == unit.queue().service
            && label.is_none_or(|label| profile.labels.contains(label))
    }

    /// Returns the placement penalty for a unit, independent of capacity: two if one of its tasks failed
    /// here, else zero if the backend server is healthy and in full use, else one; and the number of runs
    /// that a unit suspected of a crash puts at risk.
    pub(crate) fn penalty(&self, unit: &PlacementUnit<'_>) -> PlacePenalty {
        let failed_here =
            |result: &RunResult| !result.done && unit.tasks.contains(&result.run.task);
        let health = match self.health {
            _ if self.record.results.iter().any(failed_here) => 2,
            BackendHealth::Healthy if !self.is_returning => 0,
            _ => 1,
        };
        let runs_at_risk = match unit.is_suspect {
            true => self.record.runs.len(),
            false => 0,
        };
        (health, runs_at_risk)
    }

    /// Returns the capacity that is expected to be free at a time by conservative estimates of the run
    /// times, minus the reservations that start until then.
    pub(crate) fn free_at(&self, at_ms: u64) -> TaskShape {
        let released = self.held.iter().filter(|held| held.release_ms <= at_ms);
        let free = released.fold(self.free, |sum, held| sum.plus(&held.shape));
        let reserved = self.reservations.iter().filter(|r| r.from_ms <= at_ms);
        reserved.fold(free, |remaining, reservation| {
            remaining.minus(&reservation.shape)
        })
    }

    /// Returns the capacity that is free now and can be used until a time without violating a
    /// reservation.
    pub(crate) fn usable(&self, until_ms: u64) -> TaskShape {
        let reserved = self.reservations.iter().filter(|r| r.from_ms < until_ms);
        let at_times = reserved.map(|reservation| self.free_at(reservation.from_ms));
        at_times.fold(self.free, |least, free| least.component_min(&free))
    }

    /// Returns the times at which runs are expected to release capacity.
    pub(crate) fn release_times(&self) -> impl Iterator<Item = u64> {
        self.held.iter().map(|held| held.release_ms)
    }

    /// Returns the earliest start times of up to `max_count` tasks of a shape here, in ascending order,
    /// if there were no reservations.
    pub(crate) fn start_times(&self, shape: &TaskShape, max_count: usize, now_ms: u64) -> Vec<u64> {
        let mut releases: Vec<_> = self.held.iter().map(|h| (h.release_ms, h.shape)).collect();
        releases.sort_unstable_by_key(|(release_ms, _)| *release_ms);
        let mut free = self.free;
        let mut starts = vec![now_ms; fit_count(&free, shape, max_count)];
        for (release_ms, released) in releases {
            if starts.len() >= max_count {
                break;
            }
            free = free.plus(&released);
            starts.resize(fit_count(&free, shape, max_count), release_ms);
        }
        starts
    }

    /// Reserves capacity from a future time on.
    pub(crate) fn reserve(&mut self, shape: TaskShape, from_ms: u64) {
        self.reservations
            .push(CapacityReservation { from_ms, shape });
    }

    /// Claims capacity for an urgent unit that waits only for runs that were ordered to stop.
    pub(crate) fn claim(&mut self, shape: TaskShape) {
        self.reservations
            .push(CapacityReservation { from_ms: 0, shape });
    }

    /// Returns the capacity that is free and not claimed.
    pub(crate) fn unclaimed(&self) -> TaskShape {
        self.free_at(0)
    }

    /// Returns the capacity that is free or held by stopping runs, and not claimed.
    pub(crate) fn unclaimed_soon(&self) -> TaskShape {
        let stopping = self.held.iter().filter(|held| held.is_stopping);
        let free = stopping.fold(self.free, |sum, held| sum.plus(&held.shape));
        let claimed = self.reservations.iter().filter(|r| r.from_ms == 0);
        claimed.fold(free, |remaining, claim| remaining.minus(&claim.shape))
    }

    /// Marks a run as stopping.
    pub(crate) fn stop(&mut self, run: RunKey, now_ms: u64) {
        for held in self.held.iter_mut().filter(|held| held.run == run) {
            held.is_stopping = true;
            held.release_ms = held.release_ms.min(now_ms + STOP_TIME_MS);
        }
    }
}

/// Returns the number of tasks of a shape that fit into `free`, at most `wanted`.
pub(crate) fn fit_count(free: &TaskShape, shape: &TaskShape, wanted: usize) -> usize {
    let mut remaining = *free;
    let mut count = 0;
    while count < wanted && remaining.can_hold(shape) {
        remaining = remaining.minus(shape);
        count += 1;
    }
    count
}

/// Returns the maximum of each resource that is free on any backend server. What exceeds it fits nowhere.
pub(crate) fn max_free(capacities: &[BackendCapacity<'_>]) -> TaskShape {
    let shapes = capacities.iter().map(|capacity| &capacity.free);
    shapes.fold(TaskShape::default(), |most, free| most.component_max(free))
}

/// Returns the capacity of every backend server that may receive work.
pub(crate) fn schedulable_capacities<'a>(
    view: &DispatchView<'a>,
    times: &RunTimes<'_>,
) -> Vec<BackendCapacity<'a>> {
    let faults = TaskFaults::from_flows(view.flows);
    let backends = view.flows.backends.iter();
    let schedulable = backends
        .filter(|(id, record)| record.status == BackendStatus::Ready && view.is_in_contact(id))
        .filter(|(_, record)| !view.flows.is_evacuated(record));
    schedulable
        .map(|(id, record)| BackendCapacity {
            id,
            record,
            free: record.free(),
            held: held_capacities(view, record, times),
            health: faults.backend_health(record, times, view.now),
            is_returning: is_returning(view, id, record),
            pending_start: pending_start(view, record),
            placed: Vec::new(),
            reservations: Vec::new(),
        })
        .collect()
}

fn held_capacities(
    view: &DispatchView<'_>,
    record: &BackendRecord,
    times: &RunTimes<'_>,
) -> Vec<HeldCapacity> {
    let now_ms = view.now.0;
    let held = record.runs.iter().map(|(run, held)| {
        let flow = view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        let remaining_ms = match (flow, spec) {
            _ if held.stop.is_some() => STOP_TIME_MS,
            (Some(flow), Some(spec)) => {
                let saved_ms = flow.task(run.task).map_or(0, |task| task.saved_work.0);
                times.conservative_remaining_ms(TimedRun {
                    queue: &flow.queue.key,
                    estimate: spec.estimate,
                    elapsed_ms: saved_ms + view.now.since(held.placed).0,
                    run: Some(*run),
                })
            }
            // The flow's record is deleted and its runs are being stopped.
            _ => STOP_TIME_MS,
        };
        HeldCapacity {
            run: *run,
            shape: held.shape,
            release_ms: now_ms + remaining_ms,
            is_stopping: held.stop.is_some(),
        }
    });
    held.collect()
}
