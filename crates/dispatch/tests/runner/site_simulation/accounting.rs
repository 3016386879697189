//! The accounting of a simulation: the value that its flows earn, lost work, late starts and refusals.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    BackendStatus,
    FlowPhase,
    TaskPhase, //
};
use roseridge_model::{
    CustomerName,
    FlowId,
    FlowSpec,
    StepSpec,
    UnixMillis, //
};

use super::SiteSimulation;

/// The number of cores that an accelerator counts as in the price of work.
pub(super) const CORES_PER_ACCELERATOR: f64 = 8.0;

/// What the accounting records during a simulation.
#[derive(Debug, Clone, Default)]
pub(super) struct Accounting {
    pub(super) metrics: ReplayMetrics,
    /// The urgent flows whose first step has been placed whole.
    started_flows: BTreeSet<FlowId>,
    /// The refused flows, with whether free workers could have run them in time at a refusal.
    refused_flows: BTreeMap<FlowId, bool>,
}

/// The results of a replay.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplayMetrics {
    /// The value of all evaluated flows on time.
    pub(crate) attainable: f64,
    /// The value that the evaluated flows earned.
    pub(crate) earned: f64,
    /// The attainable and the earned value by rank.
    pub(crate) ranks: BTreeMap<u32, (f64, f64)>,
    /// The attainable and the earned value by the number of the customer.
    pub(crate) customers: BTreeMap<usize, (f64, f64)>,
    /// The number of flows of each rank that were refused and never accepted, and of those among them
    /// that free workers could have run in time when they were refused.
    pub(crate) refused: BTreeMap<u32, (u32, u32)>,
    /// The number of evaluated and of served flows among the largest tenth of each rank.
    pub(crate) large: BTreeMap<u32, (u32, u32)>,
    /// The number of evaluated and of served flows of each rank.
    pub(crate) flows: BTreeMap<u32, (u32, u32)>,
    /// The lost work of stopped and broken runs.
    pub(crate) wasted_core_seconds: f64,
    /// The number of scheduling passes that knew a speed other than the usual one.
    pub(crate) uneven_passes: usize,
    /// The number of stop orders.
    pub(crate) stops: usize,
    /// The number of urgent flows within their customer's guarantee whose first step had not started
    /// 2.7 seconds after they were accepted.
    pub(crate) late_reclaims: usize,
    /// The number of flows of each rank that did not end.
    pub(crate) unfinished: BTreeMap<u32, u32>,
    /// The number of flows that failed although they could have completed.
    pub(crate) failed: usize,
}

impl ReplayMetrics {
    /// Returns the earned share of the attainable value.
    pub(crate) fn earned_share(&self) -> f64 {
        self.earned / self.attainable.max(f64::EPSILON)
    }

    /// Returns the earned share of the attainable value of a rank.
    pub(crate) fn rank_earned_share(&self, rank: u32) -> f64 {
        let (attainable, earned) = self.ranks.get(&rank).copied().unwrap_or((1.0, 1.0));
        earned / attainable.max(f64::EPSILON)
    }

    /// Returns the price of the lost work as a share of the attainable value.
    pub(crate) fn waste(&self, price: f64) -> f64 {
        self.wasted_core_seconds * price / self.attainable.max(f64::EPSILON)
    }
}

impl SiteSimulation<'_> {
    /// Counts the urgent flows within their customer's guarantee whose first step has not started 2.7
    /// seconds after they were accepted.
    pub(super) fn count_late_reclaims(&mut self) {
        let mut demand = BTreeMap::<CustomerName, u64>::new();
        for (_, flow) in self.flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            let accelerators = flow.spec.steps.iter();
            let accelerators =
                accelerators.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
            let owner = flow.customer.clone().expect("every flow has a customer");
            *demand.entry(owner).or_default() += accelerators.max().unwrap_or(0);
        }
        let mut late = 0;
        for (id, flow) in self.flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            let owner = flow.customer.as_ref().expect("every flow has a customer");
            let guaranteed = self
                .flows
                .config
                .as_ref()
                .map_or(0, |c| c.guaranteed(owner));
            let tasks = flow.rounds[0].steps[0].tasks.iter();
            let has_started = tasks.into_iter().all(|t| t.last_run > 0);
            let Some(actual) = self.actual_flows.get_mut(&id) else {
                continue;
            };
            let is_within_guarantee = demand[owner] <= u64::from(guaranteed);
            // A flow counts only if it was within the guarantee the whole time since it was accepted.
            if self.now_ms == flow.accepted.0 {
                actual.can_reclaim = true;
            }
            actual.can_reclaim &= is_within_guarantee;
            if has_started {
                self.accounting.started_flows.insert(id);
            }
            let waited = self.now_ms.saturating_sub(flow.accepted.0);
            if actual.can_reclaim && !self.accounting.started_flows.contains(&id) && waited == 2_700
            {
                late += 1;
            }
        }
        self.accounting.metrics.late_reclaims += late;
    }

    /// Computes the results at the end.
    pub(super) fn finish(mut self) -> ReplayMetrics {
        let metrics = &mut self.accounting.metrics;
        let mut sizes = BTreeMap::<u32, Vec<f64>>::new();
        for actual in self.actual_flows.values() {
            sizes.entry(actual.rank).or_default().push(actual.size);
        }
        for sizes in sizes.values_mut() {
            sizes.sort_by(f64::total_cmp);
        }
        for (id, actual) in &self.actual_flows {
            if actual.value == 0.0 {
                continue;
            }
            let refused_while_free = self.accounting.refused_flows.get(id).copied();
            let phase = match (self.flows.flows.get(id), refused_while_free) {
                (Some(flow), _) => Some(&flow.phase),
                (None, Some(while_free)) => {
                    let refused = metrics.refused.entry(actual.rank).or_default();
                    refused.0 += 1;
                    refused.1 += u32::from(while_free);
                    None
                }
                (None, None) => continue,
            };
            let took = |at: UnixMillis| at.0.saturating_sub(actual.arrived_ms);
            let (earned, served) = match phase {
                Some(FlowPhase::Done { at }) if took(*at) <= actual.objective_ms => {
                    (actual.value, 1)
                }
                Some(FlowPhase::Done { at }) if took(*at) <= actual.objective_ms * 3 => {
                    (actual.late_value, 1)
                }
                // A flow that fails in every attempt is served by the report of its failure.
                Some(FlowPhase::Failed { at }) if actual.always_fails => {
                    match took(*at) <= actual.objective_ms {
                        true => (actual.value, 1),
                        false => (actual.late_value, 1),
                    }
                }
                Some(FlowPhase::Failed { .. }) => {
                    metrics.failed += 1;
                    (0.0, 0)
                }
                Some(FlowPhase::Open) => {
                    *metrics.unfinished.entry(actual.rank).or_default() += 1;
                    (0.0, 0)
                }
                _ => (0.0, 0),
            };
            // A flow that arrived shortly before the end can't be evaluated.
            let is_recent = actual.arrived_ms + actual.objective_ms > self.now_ms;
            if is_recent && earned == 0.0 {
                continue;
            }
            metrics.attainable += actual.value;
            metrics.earned += earned;
            let customer = metrics.customers.entry(actual.customer).or_default();
            customer.0 += actual.value;
            customer.1 += earned;
            let rank = metrics.ranks.entry(actual.rank).or_default();
            rank.0 += actual.value;
            rank.1 += earned;
            let all = metrics.flows.entry(actual.rank).or_default();
            all.0 += 1;
            all.1 += served;
            let of_rank = &sizes[&actual.rank];
            if actual.size >= of_rank[of_rank.len() * 9 / 10] {
                let large = metrics.large.entry(actual.rank).or_default();
                large.0 += 1;
                large.1 += served;
            }
        }
        let done = |phase: &TaskPhase| *phase == TaskPhase::Done;
        debug_assert!(
            self.flows
                .flows
                .values()
                .filter(|f| matches!(f.phase, FlowPhase::Done { .. }))
                .all(|f| f
                    .rounds
                    .iter()
                    .flat_map(|r| &r.steps)
                    .flat_map(|s| &s.tasks)
                    .all(|t| done(&t.phase)))
        );
        self.accounting.metrics
    }

    /// Records the refusal of a flow, and whether free workers could have run it in time.
    pub(super) fn account_refusal(&mut self, (flow, spec): (FlowId, &FlowSpec)) {
        let could_run = self.could_run_now((flow, spec));
        let refused = self.accounting.refused_flows.entry(flow).or_default();
        *refused |= could_run;
    }

    /// Returns whether the free capacity of the workers can hold every step of a flow at once, one step
    /// after the other, so that the flow ends within its objective. Gangs that are bound to a rack must
    /// fit into one.
    fn could_run_now(&self, (flow, spec): (FlowId, &FlowSpec)) -> bool {
        let actual = &self.actual_flows[&flow];
        let steps = spec.steps.iter().zip(&actual.work_ms);
        let path_ms = steps.map(|(step, works)| {
            let longest_ms = works.iter().max().copied().unwrap_or(0) as f64;
            let slowest = self.best_free_pace(step)?;
            (slowest > 0.0).then(|| longest_ms / slowest)
        });
        let path_ms: Option<f64> = path_ms.sum();
        let waited_ms = self.now_ms - actual.arrived_ms;
        path_ms.is_some_and(|path_ms| waited_ms as f64 + path_ms <= actual.objective_ms as f64)
    }

    /// Returns the pace of the slowest of the fastest free workers that can hold a step, or `None` if
    /// the step doesn't fit.
    fn best_free_pace(&self, step: &StepSpec) -> Option<f64> {
        let mut racks = BTreeMap::<_, Vec<(f64, usize)>>::new();
        for (number, record) in self.flows.backends.values().enumerate() {
            if record.status != BackendStatus::Ready || self.is_partitioned(number) {
                continue;
            }
            let mut free = record.free();
            let mut count = 0;
            while count < usize::from(step.count) && free.can_hold(&step.shape) {
                free = free.minus(&step.shape);
                count += 1;
            }
            let rack = record.profile.rack.as_ref().filter(|_| step.one_rack);
            let places = racks.entry(rack).or_default();
            places.push((self.pace(number), count));
        }
        let paces = racks.into_values().filter_map(|mut places| {
            places.sort_by(|a, b| b.0.total_cmp(&a.0));
            let mut missing = usize::from(step.count);
            places.into_iter().find_map(|(pace, count)| {
                missing = missing.saturating_sub(count);
                (missing == 0).then_some(pace)
            })
        });
        paces.max_by(f64::total_cmp)
    }
}
