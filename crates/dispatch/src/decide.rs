//! A scheduling pass: one run of the decisions over the whole state.

use std::{
    cell::OnceCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
};

use roseridge_flow::{
    PlacementOrder,
    StopCause,
    StopOrder, //
};
use roseridge_model::{
    FlowId,
    RunKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    OrderedFlow, //
    backend_capacity::{
        BackendCapacity,
        fit_count,
        max_free,
        schedulable_capacities, //
    },
    crash_trial::{
        CrashTrials,
        PendingStart, //
    },
    customer_share::ShareInput,
    domain_evacuation::{
        EvacuatedUnit,
        leaving_units,
        unstarted_runs, //
    },
    evacuation::evacuations,
    flow_forecast::{
        FlowForecast,
        ReferenceWorker,
        forecast_flows, //
    },
    guarantee::UrgentDemand,
    idle_placement::find_idle_places,
    order_flows,
    placement::{
        PlacePlan,
        exceeds_racks,
        find_places,
        placement_groups, //
    },
    placement_unit::{
        PlacementUnit,
        waiting_units, //
    },
    preemption::{
        PreemptionCandidates,
        PreemptionPlan,
        PreemptionPlanner,
        PreemptionScope,
        gain_from_starting_now, //
    },
    run_times::{
        RunTimes,
        TimedRun, //
    },
};

/// The maximum number of units that capacity is reserved for at the same time.
const MAX_RESERVED_UNITS: usize = 6;
/// The maximum number of units in evacuated failure domains for which one pass looks for room. It bounds
/// the cost of a pass; the next pass looks for the rest.
const MAX_LEAVING_UNITS: usize = 64;
/// The minimum share of a worker that makes a task large. Capacity is reserved for large tasks.
const LARGE_TASK_SHARE: f64 = 0.3;

/// The decisions of one scheduling pass.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DispatchDecision {
    /// The runs to stop.
    pub stops: Vec<StopOrder>,
    /// The tasks to place.
    pub places: Vec<PlacementOrder>,
}

impl DispatchDecision {
    /// Returns whether there is nothing to stop or place.
    pub fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.places.is_empty()
    }
}

/// Decides which runs to stop and which tasks to place now.
pub fn decide(view: &DispatchView<'_>) -> DispatchDecision {
    let times = RunTimes::from_view(view);
    let reference = ReferenceWorker::from_view(view);
    let forecasts = forecast_flows(view, &times, reference);
    let capacities = schedulable_capacities(view, &times);
    let mut pass = SchedulingPass {
        max_free: max_free(&capacities),
        capacities,
        demand: UrgentDemand::from_flows(view.flows),
        decision: DispatchDecision::default(),
        candidates: OnceCell::new(),
        reserved_units: 0,
        trials: CrashTrials::from_view(view),
        view,
        times,
        reference,
        forecasts,
    };
    pass.evacuate();
    for flow in pass.order() {
        let Some(record) = view.flows.flows.get(&flow) else {
            continue;
        };
        for unit in waiting_units(view, flow, record) {
            if !pass.trials.must_wait(&unit) {
                pass.schedule_unit(&unit);
            }
        }
    }
    pass.leave_domains();
    pass.decision
}

/// The state of one scheduling pass.
struct SchedulingPass<'a, 'v> {
    view: &'a DispatchView<'v>,
    times: RunTimes<'v>,
    reference: ReferenceWorker,
    forecasts: BTreeMap<FlowId, FlowForecast>,
    demand: UrgentDemand<'v>,
    capacities: Vec<BackendCapacity<'v>>,
    /// An upper bound of the free capacity of every backend server at the start of the pass. Free
    /// capacity only decreases during a pass.
    max_free: TaskShape,
    decision: DispatchDecision,
    /// The runs that could be preempted; computed when a unit first needs them.
    candidates: OnceCell<PreemptionCandidates>,
    reserved_units: usize,
    trials: CrashTrials,
}

impl SchedulingPass<'_, '_> {
    /// Returns the open flows in the order in which they receive capacity.
    fn order(&self) -> Vec<FlowId> {
        let shapes = self
            .capacities
            .iter()
            .map(|capacity| &capacity.record.profile.shape);
        let workers = shapes.map(|shape| self.reference.share(shape)).sum();
        let beyond_share = ShareInput {
            view: self.view,
            times: &self.times,
            reference: self.reference,
            forecasts: &self.forecasts,
            workers,
        }
        .flows_beyond_share();
        let flows: Vec<_> = self
            .forecasts
            .values()
            .map(|forecast| OrderedFlow {
                flow: forecast.flow,
                rank: forecast.rank,
                can_reclaim: self.can_reclaim(forecast.flow),
                is_beyond_share: beyond_share.contains(&forecast.flow),
                value: forecast.value,
                remaining_work: forecast.remaining_work,
                remaining_critical_path_ms: forecast.remaining_critical_path_ms,
                due_ms: forecast.due_ms,
                expiry_ms: forecast.expiry_ms,
            })
            .collect();
        order_flows(&flows, workers, self.view.now.0)
    }

    /// Returns whether a flow is within its customer's guarantee and has tasks that were never placed.
    ///
    /// A flow that was preempted after all its tasks had started waits like any other. Otherwise two such
    /// flows would preempt each other forever.
    fn can_reclaim(&self, flow: FlowId) -> bool {
        let record = self.view.flows.flows.get(&flow);
        record.is_some_and(|record| {
            !record.has_fully_started() && self.demand.is_within_guarantee(self.view.flows, record)
        })
    }

    /// Stops the runs that would be lost with a leaving backend server, and those that would start in an
    /// evacuated failure domain.
    fn evacuate(&mut self) {
        let mut moved = evacuations(self.view, &self.times);
        moved.extend(unstarted_runs(self.view));
        moved.into_iter().for_each(|run| self.stop_moved(run));
    }

    /// Stops a run that is moved to another backend server.
    fn stop_moved(&mut self, run: RunKey) {
        let now_ms = self.view.now.0;
        self.capacities
            .iter_mut()
            .for_each(|capacity| capacity.stop(run, now_ms));
        self.decision.stops.push(StopOrder {
            run,
            cause: StopCause::Moved,
        });
    }

    /// Stops runs in evacuated failure domains for which the capacity that the waiting units leave has
    /// room.
    fn leave_domains(&mut self) {
        let leaving = leaving_units(self.view, &self.times, &self.forecasts);
        let stopped: BTreeSet<_> = self.decision.stops.iter().map(|stop| stop.run).collect();
        for evacuated in leaving.iter().take(MAX_LEAVING_UNITS) {
            let is_stopping =
                evacuated.is_stopping || evacuated.runs.iter().any(|run| stopped.contains(run));
            match self.room_for(evacuated) {
                Some(plan) => {
                    self.claim(&evacuated.unit, &plan);
                    if !is_stopping {
                        evacuated.runs.iter().for_each(|run| self.stop_moved(*run));
                    }
                }
                // What is being stopped waits for room, so nothing else is stopped.
                None if is_stopping => return,
                None => {}
            }
        }
    }

    /// Returns places for a unit in an evacuated failure domain. Members of a gang that are elsewhere
    /// release their capacity when they are stopped.
    fn room_for(&self, evacuated: &EvacuatedUnit<'_>) -> Option<PlacePlan> {
        let unit = &evacuated.unit;
        let end_ms = self.expected_end_ms(unit);
        let room = |capacity: &BackendCapacity<'_>| {
            let own = capacity.held.iter();
            let own = own.filter(|held| evacuated.runs.contains(&held.run));
            own.fold(capacity.usable(end_ms), |sum, held| sum.plus(&held.shape))
        };
        let exceeds_racks = exceeds_racks(unit, &self.capacities);
        find_places(unit, &self.capacities, &room, exceeds_racks)
    }

    /// Places a unit, preempts other runs for it, or reserves capacity for it.
    fn schedule_unit(&mut self, unit: &PlacementUnit<'_>) {
        let is_urgent = unit.is_urgent();
        let may_fit = self.max_free.can_hold(&unit.spec.shape);
        if !may_fit && !is_urgent && self.reserved_units >= MAX_RESERVED_UNITS {
            return;
        }
        let exceeds_racks = exceeds_racks(unit, &self.capacities);
        let end_ms = self.expected_end_ms(unit);
        let usable = |capacity: &BackendCapacity<'_>| capacity.usable(end_ms);
        let plan = match is_urgent {
            _ if !may_fit => None,
            true => find_places(
                unit,
                &self.capacities,
                &|capacity| capacity.unclaimed(),
                exceeds_racks,
            ),
            false => find_places(unit, &self.capacities, &usable, exceeds_racks),
        };
        let waited = self.view.now.since(unit.record.accepted);
        // What fits on no backend server needs no search of the idle capacity.
        let plan = match plan {
            None if may_fit => find_idle_places(unit, &self.capacities, waited),
            plan => plan,
        };
        match plan {
            Some(plan) => self.place(unit, &plan),
            None if is_urgent => self.reclaim(unit, exceeds_racks),
            None => self.reserve_capacity(unit, exceeds_racks),
        }
    }

    /// Returns the conservative estimate of the time at which a unit that is placed now ends.
    fn expected_end_ms(&self, unit: &PlacementUnit<'_>) -> u64 {
        let timed = TimedRun {
            queue: &unit.queue().key,
            estimate: unit.spec.estimate,
            elapsed_ms: unit.saved_ms,
            run: None,
        };
        self.view.now.0 + self.times.conservative_remaining_ms(timed)
    }

    /// Places the tasks of a unit.
    fn place(&mut self, unit: &PlacementUnit<'_>, plan: &PlacePlan) {
        let mut tasks = unit.tasks.iter();
        let mut order = PlacementOrder { tasks: Vec::new() };
        for (index, count) in plan {
            let capacity = &mut self.capacities[*index];
            for task in tasks.by_ref().take(*count) {
                capacity.free = capacity.free.minus(&unit.spec.shape);
                capacity.placed.push(*task);
                order.tasks.push((*task, capacity.id.clone()));
            }
            capacity.pending_start = capacity.pending_start.max(match unit.is_suspect {
                true => PendingStart::Trial,
                false => PendingStart::Ordinary,
            });
        }
        self.trials.start(unit.tasks[0]);
        self.decision.places.push(order);
    }

    /// Claims the capacity of stopping runs for an urgent unit, or else preempts other runs, or else
    /// reserves capacity.
    fn reclaim(&mut self, unit: &PlacementUnit<'_>, exceeds_racks: bool) {
        let plan = find_places(
            unit,
            &self.capacities,
            &|capacity| capacity.unclaimed_soon(),
            exceeds_racks,
        );
        if let Some(plan) = plan {
            self.claim(unit, &plan);
            return;
        }
        if let Some(plan) = self.preemption_plan(unit, exceeds_racks) {
            self.stop(&plan.stops);
            self.claim(unit, &plan.places);
            return;
        }
        self.reserve_capacity(unit, exceeds_racks);
    }

    /// Returns the runs to stop for an urgent unit, or `None` if it waits.
    ///
    /// Preemption must cost no more than it gains, unless the unit reclaims capacity within its
    /// customer's guarantee.
    fn preemption_plan(
        &self,
        unit: &PlacementUnit<'_>,
        exceeds_racks: bool,
    ) -> Option<PreemptionPlan> {
        let planner = PreemptionPlanner {
            view: self.view,
            forecasts: &self.forecasts,
            demand: &self.demand,
            reference: self.reference,
        };
        let candidates = self
            .candidates
            .get_or_init(|| planner.candidates(&self.capacities));
        let candidates = (&self.capacities[..], candidates);
        let now_ms = self.view.now.0;
        let forecast = self.forecasts.get(&unit.tasks[0].flow)?;
        // If there is no capacity at any known time, the unit is expected to wait for other units that
        // take about as long as it does.
        let usual_ms = self.times.usual_ms(&unit.queue().key, unit.spec.estimate);
        let wait_ms = self
            .earliest_placement(unit, exceeds_racks)
            .map_or(usual_ms, |(at_ms, _)| at_ms.saturating_sub(now_ms));
        let gain = gain_from_starting_now(forecast, now_ms, wait_ms) * unit.share_of_step();
        let lower = planner.cheapest(unit, candidates, PreemptionScope::LowerRanks, exceeds_racks);
        let profitable = lower.clone().filter(|plan| plan.cost <= gain);
        let waited = self.view.now.since(unit.record.accepted);
        let may_reclaim =
            waited >= self.view.limits.reclaim_wait && self.can_reclaim(unit.tasks[0].flow);
        match profitable {
            Some(plan) => Some(plan),
            None if !may_reclaim => None,
            None => lower
                .or_else(|| planner.cheapest(unit, candidates, PreemptionScope::LowerRanks, true))
                .or_else(|| planner.cheapest(unit, candidates, PreemptionScope::Borrowed, true))
                .or_else(|| planner.cheapest(unit, candidates, PreemptionScope::AnyFlow, true)),
        }
    }

    /// Stops runs because of preemption.
    fn stop(&mut self, runs: &[(usize, RunKey)]) {
        for (index, run) in runs {
            self.capacities[*index].stop(*run, self.view.now.0);
            self.decision.stops.push(StopOrder {
                run: *run,
                cause: StopCause::Displaced,
            });
        }
        if let Some(candidates) = self.candidates.get_mut() {
            candidates.stop(runs);
        }
    }

    /// Claims capacity that is free now or soon for a unit that waits for it.
    fn claim(&mut self, unit: &PlacementUnit<'_>, plan: &PlacePlan) {
        for (index, count) in plan {
            let capacity = &mut self.capacities[*index];
            (0..*count).for_each(|_| capacity.claim(unit.spec.shape));
        }
    }

    /// Reserves capacity for a large unit where it is free earliest, so that smaller units don't starve
    /// it.
    fn reserve_capacity(&mut self, unit: &PlacementUnit<'_>, exceeds_racks: bool) {
        let is_large =
            unit.tasks.len() > 1 || self.reference.share(&unit.spec.shape) >= LARGE_TASK_SHARE;
        if !is_large || self.reserved_units >= MAX_RESERVED_UNITS {
            return;
        }
        if let Some((at_ms, plan)) = self.earliest_placement(unit, exceeds_racks) {
            self.reserved_units += 1;
            for (index, count) in plan {
                let mut shape = TaskShape::default();
                (0..count).for_each(|_| shape = shape.plus(&unit.spec.shape));
                self.capacities[index].reserve(shape, at_ms);
            }
        }
    }

    /// Returns the earliest time and place at which a unit fits without stopping other runs.
    fn earliest_placement(
        &self,
        unit: &PlacementUnit<'_>,
        may_cross_racks: bool,
    ) -> Option<(u64, PlacePlan)> {
        let groups = placement_groups(unit, &self.capacities, may_cross_racks);
        let in_groups = groups
            .iter()
            .filter_map(|places| self.earliest_in_group(unit, places));
        in_groups.min_by_key(|(at_ms, _)| *at_ms)
    }

    fn earliest_in_group(
        &self,
        unit: &PlacementUnit<'_>,
        places: &[usize],
    ) -> Option<(u64, PlacePlan)> {
        let now_ms = self.view.now.0;
        let from_ms = self.earliest_without_reservations(unit, places)?;
        let times = places
            .iter()
            .flat_map(|index| self.capacities[*index].release_times());
        let times = times.chain([now_ms]).filter(|at_ms| *at_ms >= from_ms);
        let mut times: Vec<_> = times.collect();
        times.sort_unstable();
        times.dedup();
        times.into_iter().find_map(|at_ms| {
            let mut remaining = unit.tasks.len();
            let mut plan = Vec::new();
            for index in places {
                let capacity = &self.capacities[*index];
                let max_count = remaining.min(capacity.remaining_spread(unit));
                let free = capacity.free_at(at_ms);
                let count = fit_count(&free, &unit.spec.shape, max_count);
                if count > 0 {
                    plan.push((*index, count));
                    remaining -= count;
                }
            }
            (remaining == 0).then_some((at_ms, plan))
        })
    }

    /// Returns the earliest time at which a unit would fit if there were no reservations.
    fn earliest_without_reservations(
        &self,
        unit: &PlacementUnit<'_>,
        places: &[usize],
    ) -> Option<u64> {
        let now_ms = self.view.now.0;
        let wanted = unit.tasks.len();
        let starts = places.iter().flat_map(|index| {
            let capacity = &self.capacities[*index];
            capacity.start_times(
                &unit.spec.shape,
                wanted.min(capacity.remaining_spread(unit)),
                now_ms,
            )
        });
        let mut starts: Vec<_> = starts.collect();
        let last = wanted.checked_sub(1)?;
        (last < starts.len()).then(|| *starts.select_nth_unstable(last).1)
    }
}
