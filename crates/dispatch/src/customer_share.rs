//! The share of the workers to which each customer is entitled when all compete.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    FlowPhase,
    FlowRecord,
    StepRecord,
    TaskPhase, //
};
use roseridge_model::{
    CustomerName,
    FlowId,
    StepSpec,
    TaskShape,
    UnixMillis, //
};

use crate::{
    DispatchView,
    backend_capacity::schedulable_capacities,
    flow_forecast::{
        FlowForecast,
        ReferenceWorker,
        forecast_flows, //
    },
    flow_order::USABLE_SHARE,
    run_times::RunTimes,
};

/// The window over which the work of customers is compared, in milliseconds. It spans two waves of the
/// longest observed demand cycle of 15 s, so that a single wave or burst does not decide the shares.
const SHARE_WINDOW_MS: u64 = 30_000;

/// The work and the entitlement of one customer, in seconds of a whole worker.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerShare {
    /// The customer, or `None` for flows that were submitted without a key.
    pub customer: Option<CustomerName>,
    /// The part of the window's capacity that the customer's guarantee covers.
    pub guaranteed: f64,
    /// The work done in the window.
    pub used: f64,
    /// The remaining work of the open flows.
    pub open: f64,
    /// The work to which the customer is entitled, of what it used and what is open.
    pub entitled: f64,
}

impl CustomerShare {
    /// Returns the work that the customer asks for: what it used in the window and what is open.
    fn claim(&self) -> f64 {
        self.used + self.open
    }

    /// Returns whether the customer asks for more than its entitlement.
    pub fn exceeds_entitlement(&self) -> bool {
        self.claim() > self.entitled + f64::EPSILON
    }
}

/// Returns the share of every customer that has open flows or had work in the window, by name.
pub fn customer_shares(view: &DispatchView<'_>) -> Vec<CustomerShare> {
    let times = RunTimes::from_view(view);
    let reference = ReferenceWorker::from_view(view);
    let forecasts = forecast_flows(view, &times, reference);
    let capacities = schedulable_capacities(view, &times);
    let shapes = capacities.iter().map(|c| &c.record.profile.shape);
    let workers = shapes.map(|shape| reference.share(shape)).sum();
    ShareInput {
        view,
        times: &times,
        reference,
        forecasts: &forecasts,
        workers,
    }
    .shares()
}

/// The input from which the shares are computed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareInput<'a, 'v> {
    pub(crate) view: &'a DispatchView<'v>,
    pub(crate) times: &'a RunTimes<'v>,
    pub(crate) reference: ReferenceWorker,
    pub(crate) forecasts: &'a BTreeMap<FlowId, FlowForecast>,
    /// The capacity of the schedulable backend servers, in whole workers.
    pub(crate) workers: f64,
}

impl ShareInput<'_, '_> {
    /// Returns the open flows that are beyond the shares of their customers.
    ///
    /// Load pattern: one customer submits a burst of large work beside others with normal work. The flows
    /// of each customer use up its share by rank and due time, those without any value last. The flow
    /// that crosses the limit still counts as within the share, so that a flow that is larger than the
    /// share isn't excluded. A customer that is alone has no flows beyond its share.
    pub(crate) fn flows_beyond_share(&self) -> BTreeSet<FlowId> {
        let shares = self.shares();
        let competing = shares.iter().filter(|share| share.open > 0.0).count();
        if competing < 2 || !shares.iter().any(CustomerShare::exceeds_entitlement) {
            return BTreeSet::new();
        }
        let mut remaining: BTreeMap<_, f64> = shares
            .iter()
            .map(|share| (share.customer.as_ref(), share.entitled - share.used))
            .collect();
        let now_ms = self.view.now.0;
        let mut forecasts: Vec<_> = self.forecasts.values().collect();
        forecasts.sort_by_key(|f| {
            let end_ms = now_ms + f.remaining_critical_path_ms;
            let (is_expired, is_late) = (end_ms > f.expiry_ms, end_ms > f.due_ms);
            (is_expired, f.rank, is_late, f.due_ms, f.flow)
        });
        let beyond = forecasts.into_iter().filter(|forecast| {
            let record = self.view.flows.flows.get(&forecast.flow);
            let customer = record.and_then(|record| record.customer.as_ref());
            let Some(remaining) = remaining.get_mut(&customer) else {
                return false;
            };
            let is_beyond = *remaining <= 0.0;
            *remaining -= forecast.remaining_work;
            is_beyond
        });
        beyond.map(|forecast| forecast.flow).collect()
    }

    /// Returns the share of every customer that has open flows or had work in the window, by name.
    fn shares(&self) -> Vec<CustomerShare> {
        let mut work = BTreeMap::<Option<&CustomerName>, (f64, f64)>::new();
        for (id, record) in &self.view.flows.flows {
            let used = self.used_work(record);
            let open = self.forecasts.get(id).map_or(0.0, |f| f.remaining_work);
            if used > 0.0 || open > 0.0 {
                let sums = work.entry(record.customer.as_ref()).or_default();
                *sums = (sums.0 + used, sums.1 + open);
            }
        }
        let window_s = SHARE_WINDOW_MS as f64 / 1_000.0;
        let config = self.view.flows.config.as_ref();
        let shares = work.into_iter().map(|(customer, (used, open))| {
            let accelerators = config
                .zip(customer)
                .map_or(0, |(c, name)| c.guaranteed(name));
            let guarantee = TaskShape {
                accelerators,
                ..TaskShape::default()
            };
            CustomerShare {
                customer: customer.cloned(),
                guaranteed: self.reference.share(&guarantee) * window_s,
                used,
                open,
                entitled: 0.0,
            }
        });
        let mut shares: Vec<_> = shares.collect();
        entitle(&mut shares, self.workers * USABLE_SHARE * window_s);
        shares
    }

    /// Returns the work that a flow did within the window, in seconds of a whole worker.
    ///
    /// The state does not record when a task ended. The work of tasks that are done, and the work that
    /// checkpoints preserve, is spread evenly over the time since the flow was accepted. Lost work isn't
    /// charged, since mostly the scheduler or a fault causes it. All inputs are replicated, so a new
    /// leader computes the same.
    fn used_work(&self, record: &FlowRecord) -> f64 {
        let now = self.view.now;
        let since = UnixMillis(now.0.saturating_sub(SHARE_WINDOW_MS));
        let end = match record.phase {
            FlowPhase::Open => now,
            FlowPhase::Done { at } | FlowPhase::Failed { at } | FlowPhase::Cancelled { at } => at,
        };
        if end < since {
            return 0.0;
        }
        let lifetime_ms = end.since(record.accepted).0.max(1);
        let in_window_ms = end.since(record.accepted.max(since)).0;
        let part = in_window_ms as f64 / lifetime_ms as f64;
        let steps = record.rounds.iter().flat_map(|round| &round.steps);
        let steps = record.spec.steps.iter().cycle().zip(steps);
        let work_ms = steps.map(|(spec, step)| {
            let (ended_ms, running_ms) = self.step_work_ms((record, spec, step), since);
            self.reference.share(&spec.shape) * (ended_ms as f64 * part + running_ms as f64)
        });
        work_ms.sum::<f64>() / 1_000.0
    }

    /// Returns the run time of a step's ended tasks and that of its current runs within the window, in
    /// milliseconds.
    fn step_work_ms(
        &self,
        (record, spec, step): (&FlowRecord, &StepSpec, &StepRecord),
        since: UnixMillis,
    ) -> (u64, u64) {
        let usual_ms = self.times.usual_ms(&record.queue.key, spec.estimate);
        step.tasks.iter().fold((0, 0), |(ended, running), task| {
            let saved_ms = task.saved_work.0;
            match task.phase {
                TaskPhase::Done => (ended + usual_ms, running),
                TaskPhase::Placed { at, .. } => {
                    let run_ms = self.view.now.since(at.max(since)).0;
                    (ended + saved_ms, running + run_ms)
                }
                TaskPhase::Waiting => (ended + saved_ms, running),
            }
        })
    }
}

/// Divides the capacity of the window among the customers: each one's guarantee first, then the rest in
/// equal shares. What a customer doesn't ask for goes to the others.
fn entitle(shares: &mut [CustomerShare], capacity: f64) {
    let guaranteed: f64 = shares.iter().map(|s| s.claim().min(s.guaranteed)).sum();
    // After a loss of workers the guarantees may exceed the capacity; all are then reduced alike.
    let scale = (capacity / guaranteed.max(f64::EPSILON)).min(1.0);
    for share in shares.iter_mut() {
        share.entitled = share.claim().min(share.guaranteed) * scale;
    }
    let mut rest = (capacity - guaranteed).max(0.0);
    let mut unserved: Vec<_> = shares.iter_mut().collect();
    unserved.sort_by(|a, b| (a.claim() - a.entitled).total_cmp(&(b.claim() - b.entitled)));
    let count = unserved.len();
    for (index, share) in unserved.into_iter().enumerate() {
        let equal = rest / (count - index) as f64;
        let part = equal.min(share.claim() - share.entitled);
        share.entitled += part;
        rest -= part;
    }
}
