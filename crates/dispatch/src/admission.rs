//! Admission control: which flows are accepted and which are refused on submission.

use std::collections::BTreeMap;

use roseridge_flow::{
    BackendRecord,
    StepRecord,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FlowId,
    FlowSpec,
    QueueRule,
    StepSpec, //
};

use crate::{
    ContactView, DispatchView, OrderedFlow,
    arrival_forecast::ArrivalForecast,
    backend_capacity::{
        HeldCapacity,
        schedulable_capacities, //
    },
    capacity_timeline::{
        CapacityTimeline,
        TaskGroup, //
    },
    flow_forecast::{
        EXPIRY_FACTOR,
        FlowForecast,
        ReferenceWorker,
        critical_path_ms,
        forecast_flows, //
    },
    order_flows,
    run_times::RunTimes,
    service_plan::{
        PlanLimits,
        PlannedService,
        plan_service, //
    },
};

/// The maximum number of open flows: ten times the flows of a day at the size expected in two years.
const MAX_OPEN_FLOWS: usize = 3_200;
/// The retry time of a flow that no worker can take: the time that replacing a worker may take.
const NEVER_FITS_RETRY: DurationMs = DurationMs(30_000);
/// The minimum retry time of a refused flow, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// The maximum retry time of a refused flow, in milliseconds.
const MAX_RETRY_MS: u64 = 60_000;
/// The minimum share of the workers that every rank is assumed to have, so that none is starved.
const MIN_CAPACITY_SHARE: f64 = 0.2;
/// The time within which an urgent flow gets the capacity of a run that it preempts, in milliseconds.
const PREEMPTION_MS: u64 = 400;
/// The result of the admission check of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The flow is accepted.
    Accept,
    /// The flow would complete only after it has lost its value, because of the work ahead of it.
    TooLate {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
        /// The time from submission until the flow would end by the plan.
        planned: DurationMs,
        /// The time from submission during which the flow has any value.
        useful_for: DurationMs,
        /// The inputs of the plan.
        inputs: PlanInputs,
    },
    /// The present workers could never run the flow.
    NeverFits {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
    },
    /// Too many flows are open.
    QueueFull {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
    },
}

/// The inputs that determine a plan, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanInputs {
    /// The number of backend servers that may receive work.
    pub backends: usize,
    /// The capacity of these backend servers, in thousandths of a whole worker.
    pub workers: u64,
    /// The work of the flow, in milliseconds of a whole worker.
    pub work: DurationMs,
    /// The number of flows that wait for capacity ahead of the submitted one.
    pub flows_ahead: usize,
    /// The workers that more urgent arrivals keep occupied at their mean rate, in thousandths.
    pub mean_arrivals: u64,
    /// The workers that they would keep occupied at their recent rate, in thousandths.
    pub recent_arrivals: u64,
}

/// Checks whether a flow is accepted. A refused flow never runs.
///
/// Load pattern: callers submit far more work than the workers can ever complete, in bursts and waves. A
/// flow is accepted if free backend servers can run it in time, or if it ends before it has lost its
/// value by a plan that places the work ahead of it and the flow itself, by shape, on the capacity that
/// runs are expected to release. The work ahead is what the scheduler would serve before it, so flows
/// that are postponed don't count. More urgent work is expected to keep arriving. The time to come back
/// is the time by which the plan exceeds the useful time. A flow with nothing ahead is never refused as
/// too late, however long it takes.
pub fn check_admission(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    spec: &FlowSpec,
) -> AdmissionDecision {
    check_admission_behind(view, queue, spec, DurationMs(0))
}

/// Checks whether a flow is accepted like [`check_admission`], behind the work of callers who were refused
/// before and are expected to return, in milliseconds of a whole worker.
///
/// Free backend servers are not kept for callers who may return.
pub fn check_admission_behind(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    spec: &FlowSpec,
    returns: DurationMs,
) -> AdmissionDecision {
    let present = view.flows.backends.values();
    let present: Vec<_> = present
        .filter(|b| b.has_lease() && b.profile.service == queue.service)
        .collect();
    let can_host = |step: &StepSpec| can_host_step(step, &present);
    if !present.is_empty() && !spec.steps.iter().all(can_host) {
        let retry_after = NEVER_FITS_RETRY;
        return AdmissionDecision::NeverFits { retry_after };
    }
    if view.flows.open_flows().count() >= MAX_OPEN_FLOWS {
        let retry_after = DurationMs(MAX_RETRY_MS / 2);
        return AdmissionDecision::QueueFull { retry_after };
    }
    let contacts = presumed_contacts(view);
    let view = DispatchView {
        contacts: &contacts,
        ..*view
    };
    AdmissionPlanner::new(&view, queue, spec).decide(returns)
}

/// Returns the contacts, with a recent one for each agent that has not reported to this leader yet: a
/// new leader knows of no contact although most agents are there.
fn presumed_contacts(view: &DispatchView<'_>) -> FastMap<BackendId, ContactView> {
    let ids = view.flows.backends.keys();
    ids.map(|id| {
        (
            id.clone(),
            view.contacts.get(id).copied().unwrap_or_default(),
        )
    })
    .collect()
}

/// The state from which the plan of a submitted flow is made.
struct AdmissionPlanner<'a, 'v> {
    view: &'a DispatchView<'v>,
    queue: &'a QueueRule,
    spec: &'a FlowSpec,
    times: RunTimes<'v>,
    reference: ReferenceWorker,
}

impl<'a, 'v> AdmissionPlanner<'a, 'v> {
    fn new(view: &'a DispatchView<'v>, queue: &'a QueueRule, spec: &'a FlowSpec) -> Self {
        Self {
            times: RunTimes::from_view(view),
            reference: ReferenceWorker::from_view(view),
            view,
            queue,
            spec,
        }
    }

    /// Makes the plan and decides by it.
    fn decide(&self, returns: DurationMs) -> AdmissionDecision {
        let now_ms = self.view.now.0;
        let mut capacities = schedulable_capacities(self.view, &self.times);
        capacities.retain(|c| c.record.profile.service == self.queue.service);
        if capacities.is_empty() {
            // Nothing is known of the capacity.
            return AdmissionDecision::Accept;
        }
        let shapes = capacities.iter().map(|c| &c.record.profile.shape);
        let workers: f64 = shapes.map(|shape| self.reference.share(shape)).sum();
        let forecasts = forecast_flows(self.view, &self.times, self.reference);
        let order = self.flows_ahead(&forecasts, workers);
        let mut ahead: Vec<_> = order
            .iter()
            .flat_map(|flow| self.waiting_groups(*flow))
            .collect();
        let flows_ahead = order.len();
        let mut own = self.own_groups();
        let arrivals =
            ArrivalForecast::from_view(self.view, self.queue.rank, &self.times, self.reference);
        let mut timeline =
            CapacityTimeline::new(&capacities, self.reference, |held| self.release_ms(held));
        let expiry_ms = now_ms + self.useful_ms();
        let limits = PlanLimits {
            now_ms,
            expiry_ms,
            horizon_ms: expiry_ms + MAX_RETRY_MS,
            max_kept_workers: workers * (1.0 - MIN_CAPACITY_SHARE),
        };
        let has_none_ahead = ahead.is_empty();
        let planned = plan_service(&mut timeline, &mut ahead, &mut own, &arrivals, limits);
        let returns_ms = (returns.0 as f64 / workers.max(f64::EPSILON)) as u64;
        let end_ms = match planned {
            PlannedService::Free => return AdmissionDecision::Accept,
            PlannedService::EndsAt(end_ms) if end_ms + returns_ms <= limits.expiry_ms => {
                return AdmissionDecision::Accept;
            }
            _ if has_none_ahead && capacities.iter().all(|c| c.held.is_empty()) => {
                return AdmissionDecision::Accept;
            }
            PlannedService::EndsAt(end_ms) => end_ms + returns_ms,
            PlannedService::BeyondHorizon => limits.horizon_ms,
        };
        AdmissionDecision::TooLate {
            retry_after: retry_after(end_ms - limits.expiry_ms),
            planned: DurationMs(end_ms - now_ms),
            useful_for: DurationMs(expiry_ms - now_ms),
            inputs: PlanInputs {
                backends: capacities.len(),
                workers: (workers * 1_000.0) as u64,
                work: self.work(),
                flows_ahead,
                mean_arrivals: (arrivals.mean_workers * 1_000.0) as u64,
                recent_arrivals: (arrivals.recent_workers * 1_000.0) as u64,
            },
        }
    }

    /// Returns the time from submission during which the flow has any value, in milliseconds. Callers
    /// measure it by the longest chain of work, whatever the capacity is.
    fn useful_ms(&self) -> u64 {
        let steps = self.spec.steps.iter();
        let path_ms = critical_path_ms(steps.map(|step| (step, self.usual_ms(step))));
        let objective_ms =
            path_ms * u64::from(self.queue.stretch_percent) / 100 + self.queue.latency_target.0;
        objective_ms.saturating_mul(EXPIRY_FACTOR)
    }

    /// Returns the work of the submitted flow.
    fn work(&self) -> DurationMs {
        let works = self.spec.steps.iter().map(|step| {
            let workers = f64::from(step.count) * self.reference.share(&step.shape);
            workers * self.usual_ms(step) as f64
        });
        DurationMs(works.sum::<f64>() as u64)
    }

    fn usual_ms(&self, step: &StepSpec) -> u64 {
        self.times.usual_ms(&self.queue.key, step.estimate)
    }

    /// Returns the open flows that are served before the submitted one.
    fn flows_ahead(&self, forecasts: &BTreeMap<FlowId, FlowForecast>, workers: f64) -> Vec<FlowId> {
        let flows = forecasts.values();
        let flows = flows.map(|forecast| OrderedFlow {
            flow: forecast.flow,
            rank: forecast.rank,
            can_reclaim: false,
            value: forecast.value,
            remaining_work: forecast.remaining_work,
            remaining_critical_path_ms: forecast.remaining_critical_path_ms,
            due_ms: forecast.due_ms,
            expiry_ms: forecast.expiry_ms,
        });
        let flows: Vec<_> = flows.collect();
        let order = order_flows(&flows, workers, self.view.now.0);
        let ahead = order.into_iter().filter(|flow| {
            let forecast = forecasts.get(flow);
            forecast.is_some_and(|forecast| self.is_ahead(forecast))
        });
        ahead.collect()
    }

    /// Returns whether an open flow is served before the submitted one.
    ///
    /// Flows that can only be late are postponed, except those of rank zero, which the scheduler takes
    /// before all other ranks.
    fn is_ahead(&self, forecast: &FlowForecast) -> bool {
        let end_ms = self.view.now.0 + forecast.remaining_critical_path_ms;
        match forecast.rank {
            rank if rank > self.queue.rank => false,
            0 if self.queue.rank > 0 => end_ms <= forecast.expiry_ms,
            _ => end_ms <= forecast.due_ms,
        }
    }

    /// Returns the steps of an open flow that wait for capacity, with the time from which they may start.
    fn waiting_groups(&self, flow: FlowId) -> Vec<TaskGroup<'v>> {
        let Some(record) = self.view.flows.flows.get(&flow) else {
            return Vec::new();
        };
        let yields = record.queue.rank >= self.queue.rank;
        let open = record.rounds.iter();
        let round = open.filter(|r| r.due.is_none_or(|due| due <= self.view.now));
        let round = { round }.find(|r| !r.steps.iter().all(StepRecord::is_done));
        let Some(round) = round else {
            return Vec::new();
        };
        let mut ready_ms = self.view.now.0;
        let mut groups = Vec::new();
        for (spec, step) in record.spec.steps.iter().zip(&round.steps) {
            let duration_ms = self.times.usual_ms(&record.queue.key, spec.estimate);
            let tasks = step.tasks.iter();
            let waiting = tasks.filter(|t| t.phase == TaskPhase::Waiting).count();
            if waiting > 0 {
                let saved_ms = match spec.gang {
                    true => step.newest_checkpoint().1.0,
                    false => 0,
                };
                groups.push(TaskGroup {
                    spec,
                    waiting,
                    duration_ms: duration_ms.saturating_sub(saved_ms).max(1),
                    ready_ms,
                    yields,
                    end_ms: 0,
                });
            }
            if !step.is_done() {
                ready_ms += duration_ms;
            }
        }
        groups
    }

    /// Returns the steps of the submitted flow.
    fn own_groups(&self) -> Vec<TaskGroup<'a>> {
        let steps = self.spec.steps.iter();
        let groups = steps.map(|spec| TaskGroup {
            spec,
            waiting: usize::from(spec.count),
            duration_ms: self.usual_ms(spec),
            ready_ms: self.view.now.0,
            yields: true,
            end_ms: 0,
        });
        groups.collect()
    }

    /// Returns the time at which a run is expected to release its capacity. Urgent flows preempt others.
    fn release_ms(&self, held: &HeldCapacity) -> u64 {
        let flow = self.view.flows.flows.get(&held.run.task.flow);
        let is_preempted = self.queue.rank == 0 && flow.is_some_and(|f| f.queue.rank > 0);
        match is_preempted {
            true => held.release_ms.min(self.view.now.0 + PREEMPTION_MS),
            false => held.release_ms,
        }
    }
}

/// Returns a retry time within its bounds.
fn retry_after(wait_ms: u64) -> DurationMs {
    DurationMs(wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS))
}

/// Returns whether the workers could run a step if they were empty: one task at a time, or the whole
/// gang together.
fn can_host_step(step: &StepSpec, present: &[&BackendRecord]) -> bool {
    let counts = present.iter().map(|backend| {
        let has_label = |label: &String| backend.profile.labels.contains(label);
        let can_host = step.label.as_ref().is_none_or(has_label);
        let limit = step.spread_limit.map_or(usize::MAX, usize::from);
        match can_host {
            true => crate::backend_capacity::fit_count(
                &backend.profile.shape,
                &step.shape,
                usize::from(step.count).min(limit),
            ),
            false => 0,
        }
    });
    let places: usize = counts.sum();
    match step.gang {
        true => places >= usize::from(step.count),
        false => places > 0,
    }
}
