//! The plan by which a submitted flow would be served behind the work ahead of it.

use crate::{
    arrival_forecast::ArrivalForecast,
    capacity_timeline::{
        CapacityTimeline,
        TaskGroup, //
    },
    flow_forecast::critical_path_ms,
};

/// The minimum time between two steps of a plan, in milliseconds. Scheduling passes follow each other as
/// closely.
const MIN_STEP_MS: u64 = 250;
/// The ratio of the time that a plan has covered to its next step. Steps grow, so that a long plan costs
/// little more than a short one.
const STEP_DIVISOR: u64 = 12;

/// The bounds of a plan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlanLimits {
    pub(crate) now_ms: u64,
    /// The time by which the flow has to end.
    pub(crate) expiry_ms: u64,
    /// The time after which the plan is given up.
    pub(crate) horizon_ms: u64,
    /// The maximum number of workers that are left to more urgent arrivals.
    pub(crate) max_kept_workers: f64,
}

/// The outcome of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlannedService {
    /// Backend servers that nothing ahead of the flow uses can serve it in time.
    Free,
    /// The flow ends at this time.
    EndsAt(u64),
    /// The flow does not start before the horizon.
    BeyondHorizon,
}

/// Plans the service of a flow whose steps are `own`, behind the groups `ahead`, in this order.
///
/// The groups start as soon as they fit, by shape, on the capacity that runs are expected to release.
pub(crate) fn plan_service<'a>(
    timeline: &mut CapacityTimeline<'a>,
    ahead: &mut Vec<TaskGroup<'a>>,
    own: &mut [TaskGroup<'a>],
    arrivals: &ArrivalForecast,
    limits: PlanLimits,
) -> PlannedService {
    let mut now_ms = limits.now_ms;
    loop {
        timeline.advance(now_ms);
        let kept = arrivals.occupied_workers(now_ms - limits.now_ms);
        let kept = kept.min(limits.max_kept_workers);
        place_ready(timeline, ahead, kept, now_ms);
        ahead.retain(|group| group.waiting > 0);
        if now_ms == limits.now_ms && fits_free_servers(timeline, own, limits) {
            return PlannedService::Free;
        }
        for index in 0..own.len() {
            let earlier = own[index].spec.after.iter();
            let earlier = earlier.filter_map(|step| own.get(usize::from(*step)));
            let ready_ms = earlier.map(|group| match group.waiting {
                0 => group.end_ms,
                _ => u64::MAX,
            });
            own[index].ready_ms = ready_ms.max().unwrap_or(limits.now_ms);
        }
        place_ready(timeline, own, kept, now_ms);
        if own.iter().all(|group| group.waiting == 0) {
            let ends = own.iter().map(|group| group.end_ms);
            return PlannedService::EndsAt(ends.max().unwrap_or(now_ms));
        }
        let step_ms = MIN_STEP_MS.max((now_ms - limits.now_ms) / STEP_DIVISOR);
        let next_ms = timeline.next_release().unwrap_or(limits.horizon_ms);
        now_ms = next_ms.max(now_ms + step_ms);
        if now_ms > limits.horizon_ms {
            return PlannedService::BeyondHorizon;
        }
    }
}

fn place_ready<'a>(
    timeline: &mut CapacityTimeline<'a>,
    groups: &mut [TaskGroup<'a>],
    kept_workers: f64,
    now_ms: u64,
) {
    let mut max_free = timeline.max_free();
    for group in groups {
        let is_ready = group.ready_ms <= now_ms && group.waiting > 0;
        let may_fit = max_free.can_hold(&group.spec.shape);
        if is_ready && (may_fit || (group.spec.gang && timeline.can_hold_more())) {
            let kept = if group.yields { kept_workers } else { 0.0 };
            timeline.place(group, kept, now_ms);
            max_free = timeline.max_free();
        }
    }
}

/// Returns whether the capacity that is free now can run all steps in time, in waves if need be.
fn fits_free_servers(
    timeline: &CapacityTimeline<'_>,
    own: &[TaskGroup<'_>],
    limits: PlanLimits,
) -> bool {
    let mut durations = Vec::with_capacity(own.len());
    for group in own {
        let wanted = usize::from(group.spec.count);
        let places = timeline.free_places(group.spec);
        if places == 0 || (group.spec.gang && places < wanted) {
            return false;
        }
        durations.push((
            group.spec,
            wanted.div_ceil(places) as u64 * group.duration_ms,
        ));
    }
    let path_ms = critical_path_ms(durations.into_iter());
    limits.now_ms + path_ms <= limits.expiry_ms
}
