//! Preemption: which runs to stop for a more urgent unit, and at which cost.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    FlowId,
    RunKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    backend_capacity::{
        BackendCapacity,
        fit_count, //
    },
    flow_forecast::{
        FlowForecast,
        LATE_VALUE_SHARE,
        ReferenceWorker, //
    },
    guarantee::UrgentDemand,
    placement::{
        PlacePlan,
        placement_groups, //
    },
    placement_unit::PlacementUnit, //
};

/// The weight of lost work. It is done again and delays other flows meanwhile.
const LOST_WORK_WEIGHT: f64 = 0.9;
/// The mean work since the last checkpoint, which a stop loses, in milliseconds.
pub(crate) const MEAN_UNSAVED_MS: u64 = 250;
/// The time that a preempted flow waits for another place, in milliseconds.
pub(crate) const REQUEUE_WAIT_MS: u64 = 1_500;

/// The runs that a unit may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PreemptionScope {
    /// Runs of lower ranks.
    LowerRanks,
    /// Runs of lower ranks, and urgent runs of customers that exceed their guarantee.
    Borrowed,
    /// All runs of other flows.
    AnyFlow,
}

/// Runs that are stopped together: one run, or a whole gang.
#[derive(Debug, Clone)]
struct RunGroup {
    flow: FlowId,
    rank: u32,
    /// Whether the flow is urgent and within its customer's guarantee.
    is_within_guarantee: bool,
    is_stopping: bool,
    /// The runs, with the index of their backend server in the list of capacities and what they hold.
    members: Vec<(usize, RunKey, TaskShape)>,
    /// The cost of stopping the group, in the unit of a flow's value.
    cost: f64,
}

/// All runs that could be preempted, as of the first need for it in a scheduling pass.
#[derive(Debug, Clone)]
pub(crate) struct PreemptionCandidates {
    groups: Vec<RunGroup>,
    /// For each backend server, the indexes of the groups with runs there and what these hold there.
    places: Vec<Vec<(usize, TaskShape)>>,
}

impl PreemptionCandidates {
    /// Marks the groups of runs as stopping.
    pub(crate) fn stop(&mut self, runs: &[(usize, RunKey)]) {
        for (index, run) in runs {
            for (group, _) in &self.places[*index] {
                let group = &mut self.groups[*group];
                group.is_stopping |= group.members.iter().any(|(_, held, _)| held == run);
            }
        }
    }
}

/// A placement of a unit that stops other runs, with its cost.
#[derive(Debug, Clone)]
pub(crate) struct PreemptionPlan {
    pub(crate) places: PlacePlan,
    /// The runs to stop, with the index of their backend server in the list of capacities.
    pub(crate) stops: Vec<(usize, RunKey)>,
    pub(crate) cost: f64,
}

/// Plans preemption from the state of a scheduling pass.
pub(crate) struct PreemptionPlanner<'a, 'v> {
    pub(crate) view: &'a DispatchView<'v>,
    pub(crate) forecasts: &'a BTreeMap<FlowId, FlowForecast>,
    pub(crate) demand: &'a UrgentDemand<'v>,
    pub(crate) reference: ReferenceWorker,
}

impl PreemptionPlanner<'_, '_> {
    /// Lists the runs that could be preempted, with the cost of stopping them.
    pub(crate) fn candidates(&self, capacities: &[BackendCapacity<'_>]) -> PreemptionCandidates {
        let mut groups = BTreeMap::<RunKey, RunGroup>::new();
        for (index, capacity) in capacities.iter().enumerate() {
            for held in capacity.held.iter().filter(|held| !held.is_stopping) {
                let Some(flow) = self.view.flows.flows.get(&held.run.task.flow) else {
                    continue;
                };
                let key = self.group_key(held.run);
                let group = groups.entry(key).or_insert_with(|| RunGroup {
                    flow: held.run.task.flow,
                    rank: flow.queue.rank,
                    is_within_guarantee: self.demand.is_within_guarantee(self.view.flows, flow),
                    is_stopping: false,
                    members: Vec::new(),
                    cost: 0.0,
                });
                group.members.push((index, held.run, held.shape));
            }
        }
        let mut groups: Vec<_> = groups.into_values().collect();
        let mut places = vec![Vec::<(usize, TaskShape)>::new(); capacities.len()];
        for (number, group) in groups.iter_mut().enumerate() {
            group.cost = self.cost(group);
            for (index, _, shape) in &group.members {
                match places[*index].last_mut() {
                    Some((last, sum)) if *last == number => *sum = sum.plus(shape),
                    _ => places[*index].push((number, *shape)),
                }
            }
        }
        PreemptionCandidates { groups, places }
    }

    /// Returns the cheapest plan that places a unit by stopping other runs, or `None` if there is none.
    ///
    /// A rack-bound unit stays within one rack unless `may_cross_racks`.
    pub(crate) fn cheapest(
        &self,
        unit: &PlacementUnit<'_>,
        (capacities, candidates): (&[BackendCapacity<'_>], &PreemptionCandidates),
        scope: PreemptionScope,
        may_cross_racks: bool,
    ) -> Option<PreemptionPlan> {
        let groups = candidates.groups.iter();
        let is_allowed: Vec<_> = groups.map(|g| can_preempt(unit, g, scope)).collect();
        if !is_allowed.contains(&true) {
            return None;
        }
        let allowed = AllowedGroups {
            candidates,
            is_allowed,
        };
        let places = placement_groups(unit, capacities, may_cross_racks);
        let plans = places
            .iter()
            .filter_map(|places| plan_preemption(unit, capacities, places, &allowed));
        plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the key of the group of runs that are stopped together with a run.
    fn group_key(&self, run: RunKey) -> RunKey {
        let flow = self.view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        match spec {
            Some(spec) if spec.gang => {
                let mut first = run;
                first.task.index = 0;
                first
            }
            _ => run,
        }
    }

    /// Returns the cost of stopping a group: the lost work, and the lost value if the flow becomes late.
    fn cost(&self, group: &RunGroup) -> f64 {
        let Some((_, run, _)) = group.members.first() else {
            return 0.0;
        };
        let flow = self.view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        let (Some(flow), Some(spec)) = (flow, spec) else {
            return 0.0;
        };
        let placed =
            group
                .members
                .iter()
                .filter_map(|(_, run, _)| match &flow.task(run.task)?.phase {
                    roseridge_flow::TaskPhase::Placed { at, .. } => {
                        Some(self.view.now.since(*at).0)
                    }
                    _ => None,
                });
        let worked_ms = placed.max().unwrap_or(0);
        let lost_ms = match spec.checkpointing {
            true => worked_ms.min(MEAN_UNSAVED_MS) + self.view.limits.restore_time.0,
            false => worked_ms,
        };
        let shares = group.members.iter();
        let share: f64 = shares
            .map(|(_, _, shape)| self.reference.share(shape))
            .sum();
        let lost_work = share * lost_ms as f64 / 1_000.0;
        let lost_value = self.forecasts.get(&run.task.flow).map_or(0.0, |forecast| {
            let now_ms = self.view.now.0;
            let before_ms = now_ms + forecast.remaining_critical_path_ms;
            let after_ms = before_ms + lost_ms + REQUEUE_WAIT_MS;
            match before_ms <= forecast.due_ms && after_ms > forecast.due_ms {
                true => forecast.value * (1.0 - LATE_VALUE_SHARE),
                false => 0.0,
            }
        });
        LOST_WORK_WEIGHT * lost_work + lost_value
    }
}

/// Returns the value that a unit's flow gains if the unit starts now rather than after a wait.
pub(crate) fn gain_from_starting_now(forecast: &FlowForecast, now_ms: u64, wait_ms: u64) -> f64 {
    let value_at = |end_ms: u64| match end_ms {
        end if end <= forecast.due_ms => forecast.value,
        end if end <= forecast.expiry_ms => forecast.value * LATE_VALUE_SHARE,
        _ => 0.0,
    };
    let end_ms = now_ms + forecast.remaining_critical_path_ms;
    value_at(end_ms) - value_at(end_ms + wait_ms)
}

/// Returns whether a unit may preempt a group within a scope.
fn can_preempt(unit: &PlacementUnit<'_>, group: &RunGroup, scope: PreemptionScope) -> bool {
    let is_other = group.flow != unit.tasks[0].flow;
    match scope {
        _ if group.is_stopping => false,
        _ if group.rank > unit.queue().rank => true,
        PreemptionScope::LowerRanks => false,
        PreemptionScope::Borrowed => is_other && !group.is_within_guarantee,
        PreemptionScope::AnyFlow => is_other,
    }
}

/// The groups that a unit may preempt.
struct AllowedGroups<'a> {
    candidates: &'a PreemptionCandidates,
    /// For each group, whether the unit may preempt it.
    is_allowed: Vec<bool>,
}

/// The groups to stop for one more task on a backend server, with their cost.
#[derive(Debug, Clone)]
struct PreemptionOffer {
    cost: f64,
    stopped: Vec<usize>,
}

/// Places one task after the other where it costs least, among the given backend servers.
fn plan_preemption(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    places: &[usize],
    allowed: &AllowedGroups<'_>,
) -> Option<PreemptionPlan> {
    let groups = &allowed.candidates.groups;
    let mut chosen = BTreeSet::<usize>::new();
    let mut counts = BTreeMap::<usize, usize>::new();
    let offer_at = |index: usize, count: usize, chosen: &BTreeSet<usize>| {
        if count > capacities[index].remaining_spread(unit) {
            return None;
        }
        let stopped = allowed.groups_to_stop(unit, &capacities[index], (index, count), chosen)?;
        let cost = stopped.iter().map(|group| groups[*group].cost).sum();
        Some(PreemptionOffer { cost, stopped })
    };
    let mut offers: BTreeMap<usize, PreemptionOffer> = places
        .iter()
        .filter_map(|index| Some((*index, offer_at(*index, 1, &chosen)?)))
        .collect();
    for _ in 0..unit.tasks.len() {
        let keyed = offers.iter().map(|(index, offer)| {
            let free = capacities[*index].free.accelerators;
            (offer.cost, free, *index)
        });
        let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let (_, _, index) = best?;
        let stopped = offers
            .get(&index)
            .map(|o| o.stopped.clone())
            .unwrap_or_default();
        *counts.entry(index).or_default() += 1;
        // The cost changes only where runs are stopped or the task is placed.
        let mut changed: BTreeSet<_> = stopped
            .iter()
            .flat_map(|group| groups[*group].members.iter().map(|(index, _, _)| *index))
            .collect();
        changed.insert(index);
        chosen.extend(stopped);
        for index in changed.into_iter().filter(|index| places.contains(index)) {
            let count = counts.get(&index).copied().unwrap_or(0) + 1;
            match offer_at(index, count, &chosen) {
                Some(offer) => offers.insert(index, offer),
                None => offers.remove(&index),
            };
        }
    }
    let stops = chosen.iter().flat_map(|group| &groups[*group].members);
    Some(PreemptionPlan {
        places: counts.into_iter().collect(),
        stops: stops.map(|(index, run, _)| (*index, *run)).collect(),
        cost: chosen.iter().map(|group| groups[*group].cost).sum(),
    })
}

impl AllowedGroups<'_> {
    /// Returns the groups to stop besides the chosen ones so that a backend server can take a number of
    /// tasks, or `None` if it can't. Groups with the lowest cost per accelerator released here come
    /// first.
    fn groups_to_stop(
        &self,
        unit: &PlacementUnit<'_>,
        capacity: &BackendCapacity<'_>,
        (index, count): (usize, usize),
        chosen: &BTreeSet<usize>,
    ) -> Option<Vec<usize>> {
        let groups = &self.candidates.groups;
        let here = &self.candidates.places[index];
        let released = here.iter().filter(|(group, _)| chosen.contains(group));
        let mut free = released.fold(capacity.unclaimed_soon(), |sum, (_, shape)| sum.plus(shape));
        let can_hold = |free: &TaskShape| fit_count(free, &unit.spec.shape, count) >= count;
        let mut stopped = Vec::new();
        let mut remaining: Vec<_> = here
            .iter()
            .filter(|(group, _)| self.is_allowed[*group] && !chosen.contains(group))
            .collect();
        let unit_cost = |(group, shape): &(usize, TaskShape)| {
            groups[*group].cost / f64::from(shape.accelerators.max(1))
        };
        remaining.sort_by(|a, b| unit_cost(a).total_cmp(&unit_cost(b)).then(a.0.cmp(&b.0)));
        for (group, shape) in remaining {
            if can_hold(&free) {
                break;
            }
            free = free.plus(shape);
            stopped.push(*group);
        }
        can_hold(&free).then_some(stopped)
    }
}
