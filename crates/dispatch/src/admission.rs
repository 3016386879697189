//! Which flows are turned away when they are handed in.

use roseridge_flow::{
    BackendRecord,
    FlowPhase, //
};
use roseridge_model::{
    DurationMs,
    FlowSpec,
    QueueRule,
    StepSpec, //
};

use crate::{
    DispatchView,
    flow_order::USABLE_PART,
    flow_outlook::{
        FlowOutlook,
        LATE_FACTOR,
        WorkerUnit,
        longest_way,
        outlooks,
        whole_work, //
    },
    run_times::RunTimes,
};

/// The flows that may be open at once; ten times what the two-year size has in a day.
const MAX_OPEN_FLOWS: usize = 3_200;
/// When a flow that no worker can take may come again, as long as a worker may take to be replaced.
const NEVER_FITS_RETRY: DurationMs = DurationMs(30_000);
/// The shortest and the longest time after which a flow that was turned away may come again.
const LEAST_RETRY_MS: u64 = 1_000;
const MOST_RETRY_MS: u64 = 60_000;
/// The time over which the rate of more urgent work is taken, in milliseconds; a burst of a few seconds
/// hardly changes it.
const RATE_SPAN_MS: u64 = 20_000;
/// The part of the workers that every rank is taken to have, so that none is shut out.
const LEAST_LEFT_PART: f64 = 0.2;

/// What becomes of a flow that is handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is taken.
    Accept,
    /// It could not end before it is of no use, with what was accepted before it.
    TooLate {
        /// When there is room again.
        retry_after: DurationMs,
        /// How long the work takes that was accepted before it.
        backlog: DurationMs,
        /// How long it is of use.
        useful_for: DurationMs,
    },
    /// No worker that is here could ever take it.
    NeverFits {
        /// When to try again.
        retry_after: DurationMs,
    },
    /// Too many flows are open.
    QueueFull {
        /// When there is room again.
        retry_after: DurationMs,
    },
}

/// Judges a flow before it is accepted; one that is turned away never runs.
///
/// Load pattern: callers hand in far more than can be done at all. A flow is turned away when the work
/// of its rank and of more urgent ones that was accepted before it takes the workers past the time at
/// which the flow is of no use, and it may come again when that is no longer so. More urgent work that
/// was accepted lately is expected to go on coming, and only what it leaves of the workers counts. The
/// first flow of an otherwise idle site is always taken.
pub fn check_admission(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    spec: &FlowSpec,
) -> AdmissionDecision {
    let times = RunTimes::of(view);
    let unit = WorkerUnit::of(view);
    let open = outlooks(view, &times, unit);
    let present = view.flows.backends.values();
    let present: Vec<_> = present
        .filter(|b| b.has_lease() && b.profile.service == queue.service)
        .collect();
    let fits = |step: &StepSpec| could_take(step, &present);
    if !present.is_empty() && !spec.steps.iter().all(fits) {
        let retry_after = NEVER_FITS_RETRY;
        return AdmissionDecision::NeverFits { retry_after };
    }
    let shares = present.iter().map(|b| unit.share(&b.profile.shape));
    let workers = (shares.sum::<f64>() * USABLE_PART).max(f64::EPSILON);
    let more = more_urgent_rate(view, queue, &times, unit);
    let workers = (workers - more).max(workers * LEAST_LEFT_PART);
    let backlog = open.values().filter(|o| o.rank <= queue.rank);
    let backlog: f64 = backlog.map(|outlook: &FlowOutlook| outlook.work_left).sum();
    let wait_ms = (backlog / workers * 1_000.0) as u64;
    if open.len() >= MAX_OPEN_FLOWS {
        let retry_after = retry_after(wait_ms / MAX_OPEN_FLOWS as u64);
        return AdmissionDecision::QueueFull { retry_after };
    }
    let chain_ms = chain_ms(spec, queue, &times);
    let objective_ms = chain_ms * u64::from(queue.stretch_percent) / 100 + queue.latency_target.0;
    let of_use_ms = objective_ms.saturating_mul(LATE_FACTOR);
    let is_first = backlog <= f64::EPSILON;
    match (wait_ms + chain_ms).checked_sub(of_use_ms) {
        Some(over_ms) if over_ms > 0 && !is_first && !present.is_empty() => {
            AdmissionDecision::TooLate {
                retry_after: retry_after(over_ms),
                backlog: DurationMs(wait_ms),
                useful_for: DurationMs(of_use_ms),
            }
        }
        _ => AdmissionDecision::Accept,
    }
}

/// Returns the work of more urgent ranks that was accepted lately, as the workers that it takes.
fn more_urgent_rate(
    view: &DispatchView<'_>,
    queue: &QueueRule,
    times: &RunTimes<'_>,
    unit: WorkerUnit,
) -> f64 {
    let lately = view.flows.flows.values().filter(|record| {
        record.queue.rank < queue.rank
            && !matches!(record.phase, FlowPhase::Cancelled { .. })
            && view.now.since(record.accepted).0 < RATE_SPAN_MS
    });
    let work: f64 = lately.map(|record| whole_work(record, times, unit)).sum();
    work * 1_000.0 / RATE_SPAN_MS as f64
}

fn retry_after(span_ms: u64) -> DurationMs {
    DurationMs(span_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS))
}

/// Returns whether the workers could take a step if nothing else were there: one task at a time, or the
/// whole gang.
fn could_take(step: &StepSpec, present: &[&BackendRecord]) -> bool {
    let fitting = present.iter().map(|backend| {
        let has_label = |label: &String| backend.profile.labels.contains(label);
        let suits = step.label.as_ref().is_none_or(has_label);
        let limit = step.spread_limit.map_or(usize::MAX, usize::from);
        match suits {
            true => crate::room_map::fitting(
                &backend.profile.shape,
                &step.shape,
                usize::from(step.count).min(limit),
            ),
            false => 0,
        }
    });
    let places: usize = fitting.sum();
    match step.gang {
        true => places >= usize::from(step.count),
        false => places > 0,
    }
}

/// Returns the longest way through the steps, by what their queue's runs usually take.
fn chain_ms(spec: &FlowSpec, queue: &QueueRule, times: &RunTimes<'_>) -> u64 {
    let steps = spec.steps.iter();
    longest_way(steps.map(|step| (step, times.usual_ms(&queue.key, step.estimate))))
}
