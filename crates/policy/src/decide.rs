//! One scheduling pass: which jobs are placed and preempted, and which resources are reserved.

use std::{
    cmp::Reverse,
    collections::VecDeque, //
};

use roseridge_model::{
    ClassUrgency,
    DurationMs,
    JobId,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClusterView,
    JobExplanation,
    PolicyPlan,
    WaitReason,
    WaitingJob, //
    cluster_capacity::ClusterCapacity,
    guarantee::{
        GuaranteePlan,
        place_guarantees, //
    },
    preemption::PreemptionRight,
    queue_order::QueueOrder,
    reservation::{
        LARGE_GANG_ACCELERATORS,
        RESERVATION_PREEMPTION_DELAY, //
    },
    scheduling_pass::{
        JobNeed,
        SchedulingPass, //
    },
};

/// The maximum number of jobs for which a pass tries to make a new reservation.
const MAX_NEW_RESERVATIONS: usize = 4;
/// The minimum time between two migrations of running gangs.
const MIGRATION_INTERVAL: DurationMs = DurationMs(30_000);

/// A decision of a scheduling pass.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyDecision {
    /// Places the members of a job on workers.
    Place {
        /// The job.
        job: JobId,
        /// One worker for each member, in the order of the members.
        workers: Vec<WorkerName>,
    },
    /// Stops a gang so that another job can use its resources.
    #[serde(rename = "yield")]
    Preempt {
        /// The job to stop.
        job: JobId,
        /// The job that is to use the resources.
        in_favour_of: JobId,
    },
    /// Replaces the stored plan of guarantees and reservations.
    Plan(PolicyPlan),
}

/// Runs one scheduling pass and returns its decisions.
pub fn decide(view: &ClusterView<'_>) -> Vec<PolicyDecision> {
    run_pass(view, None).decisions
}

/// Explains the scheduling state of a job, or returns `None` if it is neither waiting nor placed.
pub fn explain(view: &ClusterView<'_>, job: JobId) -> Option<JobExplanation> {
    let waiting = view.waiting.iter().find(|w| w.job == job);
    let placed = view.placed.iter().find(|g| g.job == job);
    let customer = waiting.map(|w| w.customer).or(placed.map(|g| g.customer))?;
    let pass = run_pass(view, Some(job));
    let recorded = pass.wait_reasons.iter().find(|(id, _)| *id == job);
    let wait_reason = recorded.map(|(_, reason)| reason.clone());
    let text = match (&wait_reason, placed) {
        (Some(reason), _) => reason.to_string(),
        (None, Some(gang)) if gang.stopping => "it is being stopped".to_owned(),
        (None, Some(gang)) if gang.released => "it is running".to_owned(),
        (None, Some(_)) => "its members are being prepared".to_owned(),
        (None, None) => "it can be placed now".to_owned(),
    };
    let history = view.memory.jobs.get(&job).cloned().unwrap_or_default();
    Some(JobExplanation {
        job,
        customer: customer.clone(),
        wait_reason,
        text,
        stopped_for: history.stopped_for,
        preemptions: history.preemptions,
        failures: history.reasons,
        avoids: history.failed_on.into_iter().collect(),
    })
}

/// Runs one pass; if `explained` is a waiting job that isn't placed, also records its wait reason.
fn run_pass<'v, 'a>(view: &'v ClusterView<'a>, explained: Option<JobId>) -> SchedulingPass<'v, 'a> {
    let mut cluster = ClusterCapacity::new(view);
    let guarantees = place_guarantees(view, &mut cluster);
    let order = QueueOrder::new(view, |w| cluster.customer(w.customer));
    let mut pass = SchedulingPass::new(view, cluster);
    pass.restore_reservations();
    let mut unplaced = Vec::new();
    let (urgent_within_guarantee, urgent) = split_by_guarantee(&pass, order.urgent);
    for waiting in urgent_within_guarantee {
        try_start(&mut pass, waiting, &mut unplaced);
    }
    // Resources that were freed by reclaiming a guarantee must not go to jobs that are more urgent
    // or have waited longer, so the jobs they were freed for come before the other urgent and
    // overdue ones.
    let mut prioritized = order.prioritized;
    prioritized.retain(|waiting| !try_start_on_guarantee(&mut pass, waiting));
    for waiting in urgent.into_iter().chain(prioritized).chain(order.overdue) {
        try_start(&mut pass, waiting, &mut unplaced);
    }
    try_by_fair_share(&mut pass, order.normal, &mut unplaced);
    try_by_fair_share(&mut pass, order.bulk, &mut unplaced);
    for waiting in order.backing_off {
        let until = view.memory.jobs.get(&waiting.job).map(|h| h.not_before);
        let until = until.unwrap_or_default();
        pass.wait_reasons
            .push((waiting.job, WaitReason::BackingOff { until }));
    }
    reserve_for_large(&mut pass, &unplaced);
    if let Some(waiting) = unplaced.iter().find(|w| Some(w.job) == explained) {
        let need = pass.need(waiting);
        pass.wait_reasons
            .push((waiting.job, pass.wait_reason(&need)));
    }
    finish(pass, guarantees)
}

/// Partitions jobs into those within their customer's guarantee and those beyond it.
fn split_by_guarantee<'v, 'a>(
    pass: &SchedulingPass<'v, 'a>,
    jobs: Vec<&'v WaitingJob<'a>>,
) -> (Vec<&'v WaitingJob<'a>>, Vec<&'v WaitingJob<'a>>) {
    jobs.into_iter()
        .partition(|w| pass.need(w).within_guarantee)
}

/// Tries to start the jobs of all customers, each time the next job of the customer that holds the
/// fewest accelerators in excess of its guarantee.
fn try_by_fair_share<'v, 'a>(
    pass: &mut SchedulingPass<'v, 'a>,
    mut queues: Vec<VecDeque<&'v WaitingJob<'a>>>,
    unplaced: &mut Vec<&'v WaitingJob<'a>>,
) {
    loop {
        let nonempty = queues.iter().enumerate().filter(|(_, q)| !q.is_empty());
        let next = nonempty
            .map(|(customer, _)| customer)
            .min_by_key(|c| (pass.cluster.held[*c] - pass.cluster.guaranteed[*c], *c));
        let waiting = next.and_then(|customer| queues[customer].pop_front());
        let Some(waiting) = waiting else {
            return;
        };
        try_start(pass, waiting, unplaced);
    }
}

/// Places a job or preempts others in its favour; adds it to `unplaced` if neither is possible.
fn try_start<'v, 'a>(
    pass: &mut SchedulingPass<'v, 'a>,
    waiting: &'v WaitingJob<'a>,
    unplaced: &mut Vec<&'v WaitingJob<'a>>,
) {
    let need = pass.need(waiting);
    let started = pass.place(&need)
        || pass.place_with_replan(&need)
        || reclaim(pass, &need)
        || preempt_for_reservation(pass, &need);
    if !started {
        unplaced.push(waiting);
    }
}

/// Places a job on workers that its customer's guarantee is set aside on, or preempts other jobs
/// there.
fn try_start_on_guarantee<'v, 'a>(
    pass: &mut SchedulingPass<'v, 'a>,
    waiting: &'v WaitingJob<'a>,
) -> bool {
    let need = JobNeed {
        guaranteed_only: true,
        ..pass.need(waiting)
    };
    need.within_guarantee && (pass.place(&need) || reclaim(pass, &need))
}

/// Preempts other jobs because the job is more urgent or within its customer's guarantee.
fn reclaim(pass: &mut SchedulingPass<'_, '_>, need: &JobNeed<'_>) -> bool {
    let customer = need.customer;
    let guaranteed: Vec<bool> = match pass.cluster.guaranteed[customer] {
        _ if !need.within_guarantee => Vec::new(),
        _ => {
            let workers = pass.cluster.workers.iter();
            workers
                .map(|w| w.claim(customer).guaranteed.slots() > 0)
                .collect()
        }
    };
    let is_guaranteed = |worker: usize| guaranteed[worker];
    // Less urgent jobs are preempted first, on whichever workers that costs least. Preemption on the
    // workers that the guarantee is set aside on is tried last.
    (need.can_preempt_less_urgent() && !need.guaranteed_only && preempt_less_urgent(pass, need))
        || (!guaranteed.is_empty()
            && pass.preempt_others(need, PreemptionRight::Guarantee, is_guaranteed))
}

/// Preempts less urgent jobs; only urgent jobs may use workers that are reserved for others.
fn preempt_less_urgent(pass: &mut SchedulingPass<'_, '_>, need: &JobNeed<'_>) -> bool {
    let job = need.waiting.job;
    let workers = pass.cluster.workers.iter();
    let allowed: Vec<_> = workers
        .map(|w| {
            need.is_urgent()
                || w.reservations
                    .iter()
                    .all(|(n, _)| pass.reservations[*n].job == job)
        })
        .collect();
    pass.preempt_others(need, PreemptionRight::Urgency, |worker| allowed[worker])
}

/// Preempts smaller jobs on a job's reserved workers once the reservation is old enough.
fn preempt_for_reservation(pass: &mut SchedulingPass<'_, '_>, need: &JobNeed<'_>) -> bool {
    let Some(reservation) = pass.reservation_of(need.waiting.job) else {
        return false;
    };
    let waited = pass.view.now.since(reservation.since);
    let placement = reservation.placement.clone();
    waited >= RESERVATION_PREEMPTION_DELAY
        && pass.preempt_others(need, PreemptionRight::Reservation, |w| {
            placement.contains(&w)
        })
}

/// Reserves workers for unplaced jobs that aren't urgent and are either large or overdue; overdue
/// ones come first.
fn reserve_for_large<'v, 'a>(pass: &mut SchedulingPass<'v, 'a>, unplaced: &[&'v WaitingJob<'a>]) {
    let now = pass.view.now;
    let is_overdue = |w: &WaitingJob<'_>| w.latest_start() <= now;
    let mut candidates: Vec<_> = unplaced
        .iter()
        .filter(|w| w.gang.accelerators() >= LARGE_GANG_ACCELERATORS || is_overdue(w))
        .filter(|w| w.rule.urgency != ClassUrgency::Urgent)
        .filter(|w| pass.reservation_of(w.job).is_none())
        .collect();
    candidates.sort_by_key(|w| {
        let overdue = is_overdue(w);
        let latest = overdue.then(|| w.latest_start());
        let size = Reverse(w.gang.accelerators());
        (!overdue, latest, Reverse(w.rule.urgency), size, w.job)
    });
    for waiting in candidates.into_iter().take(MAX_NEW_RESERVATIONS) {
        let need = pass.need(waiting);
        pass.reserve(&need);
    }
}

/// Migrates a gang if possible, and adds the plan to the decisions if it changed.
fn finish<'v, 'a>(
    mut pass: SchedulingPass<'v, 'a>,
    guarantees: GuaranteePlan,
) -> SchedulingPass<'v, 'a> {
    let guarantees = pass.replanned.take().unwrap_or(guarantees);
    let previous = &pass.view.memory.plan;
    let now = pass.view.now;
    let can_migrate_now = now.since(previous.last_migration) >= MIGRATION_INTERVAL;
    let has_migrated = can_migrate_now && pass.migrate_one();
    let reservations = pass.reservations.iter().filter(|r| !r.placement.is_empty());
    let plan = PolicyPlan {
        guarantees: guarantees.placements,
        degraded: guarantees.degraded,
        reservations: reservations
            .map(|r| r.to_gang_reservation(pass.view))
            .collect(),
        last_replan: if guarantees.replanned {
            now
        } else {
            previous.last_replan
        },
        schedulable_workers: if guarantees.replanned {
            pass.cluster.schedulable_workers()
        } else {
            previous.schedulable_workers
        },
        last_migration: if has_migrated {
            now
        } else {
            previous.last_migration
        },
    };
    if plan != *previous {
        pass.decisions.insert(0, PolicyDecision::Plan(plan));
    }
    pass
}
