//! Admission control: which flows are accepted and which are refused on submission.

use roseridge_flow::{
    BackendRecord,
    FlowPhase,
    FlowRecord, //
};
use roseridge_model::{
    DurationMs,
    FlowSpec,
    QueueRule,
    StepSpec, //
};

use crate::{
    DispatchView,
    domain_return::{
        CountedBackends,
        counted_backends, //
    },
    flow_forecast::{
        EXPIRY_FACTOR,
        FlowForecast,
        ReferenceWorker,
        critical_path_ms,
        forecast_flows,
        total_work, //
    },
    flow_order::USABLE_SHARE,
    run_times::RunTimes,
};

/// The maximum number of open flows: ten times the flows of a day at the size expected in two years.
const MAX_OPEN_FLOWS: usize = 3_200;
/// The maximum size of the open and the recently ended flows, in approximate bytes. A snapshot holds all
/// of them.
const MAX_FLOW_BYTES: usize = 16 * 1_048_576;
/// The retry time of a flow that no worker can take: the time that replacing a worker may take.
const NEVER_FITS_RETRY: DurationMs = DurationMs(30_000);
/// The minimum retry time of a refused flow, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// The maximum retry time of a refused flow, in milliseconds.
const MAX_RETRY_MS: u64 = 60_000;
/// The window over which the arrival rate of more urgent work is averaged, in milliseconds. It is long
/// enough that a burst of a few seconds hardly changes the rate.
const RATE_WINDOW_MS: u64 = 20_000;
/// The minimum share of the workers that every rank is assumed to have, so that none is starved.
const MIN_CAPACITY_SHARE: f64 = 0.2;

/// The result of the admission check of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The flow is accepted.
    Accept,
    /// The flow would complete only after it has lost its value, because of the backlog.
    TooLate {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
        /// The time that the work accepted earlier takes.
        backlog: DurationMs,
        /// The time from submission during which the flow has any value.
        useful_for: DurationMs,
    },
    /// The present workers could never run the flow.
    NeverFits {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
    },
    /// Too many flows are open, or the flows take too many bytes.
    QueueFull {
        /// The time after which the flow may be submitted again.
        retry_after: DurationMs,
    },
}

/// Checks whether a flow is accepted. A refused flow never runs.
///
/// Load pattern: callers submit far more work than the workers can ever complete. A flow is refused if
/// the backlog of its rank and of more urgent ranks occupies the workers until the flow has lost its
/// value. It may be submitted again when that is no longer so. More urgent work is expected to keep
/// arriving at its recent rate, and only the remaining share of the workers counts. A flow without a
/// backlog is never refused as too late, however long it takes.
pub fn check_admission(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    spec: &FlowSpec,
) -> AdmissionDecision {
    let times = RunTimes::from_view(view);
    let reference = ReferenceWorker::from_view(view);
    let open = forecast_flows(view, &times, reference);
    let CountedBackends {
        is_evacuated,
        usable: present,
        counted,
    } = counted_backends(view, &queue.service);
    if is_evacuated {
        let retry_after = NEVER_FITS_RETRY;
        return AdmissionDecision::NeverFits { retry_after };
    }
    let can_host = |step: &StepSpec| can_host_step(step, &present);
    if !present.is_empty() && !spec.steps.iter().all(can_host) {
        let retry_after = NEVER_FITS_RETRY;
        return AdmissionDecision::NeverFits { retry_after };
    }
    let shares = counted.iter().map(|b| reference.share(&b.profile.shape));
    let workers = (shares.sum::<f64>() * USABLE_SHARE).max(f64::EPSILON);
    let urgent_workers = more_urgent_workers(view, queue, &times, reference);
    let workers = (workers - urgent_workers).max(workers * MIN_CAPACITY_SHARE);
    let backlog = open.values().filter(|o| o.rank <= queue.rank);
    let backlog: f64 = backlog
        .map(|forecast: &FlowForecast| forecast.remaining_work)
        .sum();
    let backlog_ms = (backlog / workers * 1_000.0) as u64;
    let flow_bytes = view.flows.flow_bytes() + view.proposed_flow_bytes;
    let is_full = flow_bytes + FlowRecord::approximate_bytes_of(spec) > MAX_FLOW_BYTES;
    if is_full || open.len() >= MAX_OPEN_FLOWS {
        let retry_after = retry_after(backlog_ms / MAX_OPEN_FLOWS as u64);
        return AdmissionDecision::QueueFull { retry_after };
    }
    let path_ms = usual_path_ms(spec, queue, &times);
    let objective_ms = path_ms * u64::from(queue.stretch_percent) / 100 + queue.latency_target.0;
    let useful_ms = objective_ms.saturating_mul(EXPIRY_FACTOR);
    let has_no_backlog = backlog <= f64::EPSILON;
    match backlog_ms.saturating_add(path_ms).checked_sub(useful_ms) {
        Some(over_ms) if over_ms > 0 && !has_no_backlog && !present.is_empty() => {
            AdmissionDecision::TooLate {
                retry_after: retry_after(over_ms),
                backlog: DurationMs(backlog_ms),
                useful_for: DurationMs(useful_ms),
            }
        }
        _ => AdmissionDecision::Accept,
    }
}

/// Returns the number of whole workers that the recently accepted work of more urgent ranks occupies.
fn more_urgent_workers(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    times: &RunTimes<'_>,
    reference: ReferenceWorker,
) -> f64 {
    let recent = view.flows.flows.values().filter(|record| {
        record.queue.rank < queue.rank
            && !matches!(record.phase, FlowPhase::Cancelled { .. })
            && view.now.since(record.accepted).0 < RATE_WINDOW_MS
    });
    let work: f64 = recent
        .map(|record| total_work(record, times, reference))
        .sum();
    work * 1_000.0 / RATE_WINDOW_MS as f64
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

/// Returns the length of the critical path by the usual run times of the queue, in milliseconds.
fn usual_path_ms(spec: &FlowSpec, queue: &QueueRule, times: &RunTimes<'_>) -> u64 {
    let steps = spec.steps.iter();
    critical_path_ms(steps.map(|step| (step, times.usual_ms(&queue.key, step.estimate))))
}
