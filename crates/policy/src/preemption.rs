//! Selection of the gangs that are preempted in favour of a waiting job.

use roseridge_model::{
    ClassUrgency,
    DurationMs,
    JobId, //
};

use crate::{
    ClusterView,
    PlacedGang,
    cluster_capacity::{
        ClusterCapacity,
        is_preemption_exempt, //
    },
    placement::find_placement,
    resource_vector::ResourceVector,
    scheduling_pass::JobNeed, //
};

/// The minimum time since placement before a gang may be preempted for a reservation or a bulk job.
const MIN_RUN_BEFORE_PREEMPTION: DurationMs = DurationMs(300_000);

/// The cost of one level of urgency, in accelerators, when preemption costs are compared.
const URGENCY_STEP_COST: i64 = 1_000;

/// The ground on which a job may preempt other gangs.
///
/// A customer exceeds its guarantee if its gangs use more on a worker than is set aside for it
/// there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PreemptionRight {
    /// It is within its customer's guarantee, and preempts less urgent gangs of its own customer
    /// and gangs of customers that exceed their guarantees.
    Guarantee,
    /// It is more urgent, and preempts less urgent gangs of its own customer and of customers that
    /// exceed their guarantees.
    Urgency,
    /// Its reservation is old enough, and it preempts smaller gangs, neither urgent nor more urgent
    /// than itself, of its own customer and of customers that exceed their guarantees.
    Reservation,
}

/// A placement whose resources are free once some gangs have been stopped.
#[derive(Debug)]
pub(crate) struct PreemptionPlan {
    /// One worker for each member, as positions in the view.
    pub(crate) placement: Vec<usize>,
    /// The gangs to stop, as positions in the view.
    pub(crate) victims: Vec<usize>,
}

/// Returns whether a gang on a worker may be preempted in favour of a job.
fn can_preempt(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    right: PreemptionRight,
    worker: usize,
    position: usize,
) -> bool {
    let gang = &view.placed[position];
    let is_exempt = match right {
        PreemptionRight::Guarantee => !gang.rule.idempotent,
        _ => is_preemption_exempt(gang.rule, gang.job, view.memory),
    };
    if gang.stopping || is_exempt {
        return false;
    }
    let customer = cluster.gang_customers[position];
    let is_own = customer == need.customer;
    let is_borrowing = cluster.workers[worker].claim(customer).is_borrowing();
    let urgency = need.waiting.rule.urgency;
    let has_run = view.now.since(gang.placed) >= MIN_RUN_BEFORE_PREEMPTION;
    match right {
        PreemptionRight::Guarantee if is_own => gang.rule.urgency < urgency,
        // A job doesn't preempt more urgent gangs until its latest start has passed.
        PreemptionRight::Guarantee => {
            let may_interrupt =
                gang.rule.urgency <= urgency || need.waiting.latest_start() <= view.now;
            is_borrowing && may_interrupt && (urgency > ClassUrgency::Bulk || has_run)
        }
        PreemptionRight::Urgency => gang.rule.urgency < urgency && (is_own || is_borrowing),
        PreemptionRight::Reservation => {
            gang.rule.urgency <= urgency.min(ClassUrgency::Normal)
                && gang.gang.accelerators() < need.waiting.gang.accelerators()
                && (is_own || is_borrowing)
                && has_run
        }
    }
}

/// Returns the sort key in which gangs are preempted: the least urgent first, then by the order
/// that the template gives, then those that lose the least work.
fn preemption_key(
    view: &ClusterView<'_>,
    gang: &PlacedGang<'_>,
) -> (ClassUrgency, u32, u64, JobId) {
    let lost = match gang.rule.checkpointable {
        true => 0,
        false => view.now.since(gang.placed).0 * gang.gang.accelerators(),
    };
    (
        gang.rule.urgency,
        gang.rule.preemption_order,
        lost,
        gang.job,
    )
}

/// Returns the resources on a worker that a job could use if all gangs that it may preempt were
/// stopped.
///
/// With [`PreemptionRight::Guarantee`] they are limited to the resources that are set aside for the
/// customer and not used by its gangs that the job can't preempt.
fn obtainable_capacity(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    right: PreemptionRight,
    worker: usize,
) -> ResourceVector {
    let candidate = &cluster.workers[worker];
    let mut obtainable = candidate.free.plus(&candidate.releasing);
    for position in &candidate.gangs {
        let gang = &view.placed[*position];
        if can_preempt(view, cluster, need, right, worker, *position) {
            let count = candidate.members_of(*position);
            obtainable =
                obtainable.plus(&ResourceVector::from_task(&gang.gang.member).times(count));
        }
    }
    match right {
        PreemptionRight::Guarantee => {
            let claim = candidate.claim(need.customer);
            let available_guarantee = claim
                .guaranteed
                .minus(&retained_by_customer(view, cluster, need, worker));
            obtainable.min(&available_guarantee)
        }
        _ => obtainable,
    }
}

/// Returns the resources on a worker that the job's customer uses for gangs that it can't preempt.
fn retained_by_customer(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    worker: usize,
) -> ResourceVector {
    let candidate = &cluster.workers[worker];
    let mut used = candidate.claim(need.customer).used;
    for position in &candidate.gangs {
        let gang = &view.placed[*position];
        let is_preemptible = gang.rule.urgency < need.waiting.rule.urgency
            && !is_preemption_exempt(gang.rule, gang.job, view.memory);
        if cluster.gang_customers[*position] == need.customer && (is_preemptible || gang.stopping) {
            let count = candidate.members_of(*position);
            used = used.minus(&ResourceVector::from_task(&gang.gang.member).times(count));
        }
    }
    used
}

/// Plans the preemption of gangs on the workers selected by `within`, or returns `None` if the job
/// can't be placed that way.
pub(crate) fn plan_preemption(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    right: PreemptionRight,
    within: impl Fn(usize) -> bool,
) -> Option<PreemptionPlan> {
    let capacity = |worker: usize| {
        let candidate = &cluster.workers[worker];
        if !candidate.schedulable || candidate.probing || !within(worker) || need.avoids(worker) {
            return 0;
        }
        let count =
            obtainable_capacity(view, cluster, need, right, worker).count_fitting(&need.member);
        match need.non_preemptible {
            true => count.min(candidate.count_non_preemptible(need.customer, &need.member)),
            false => count,
        }
    };
    let cost = |worker: usize| preemption_cost(view, cluster, need, right, worker);
    let placement = find_placement(cluster, need.waiting.gang, capacity, cost)?;
    let victims = choose_victims(view, cluster, need, right, &placement);
    Some(PreemptionPlan { placement, victims })
}

/// Returns the cost of preempting on a worker.
///
/// For a gang of several members, and where free and releasing resources suffice, the cost falls
/// with the number of free and releasing accelerators. Otherwise it is the urgency and size of the
/// cheapest gang that may be preempted.
fn preemption_cost(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    right: PreemptionRight,
    worker: usize,
) -> i64 {
    let candidate = &cluster.workers[worker];
    if need.waiting.gang.members > 1
        || candidate
            .free
            .plus(&candidate.releasing)
            .can_hold(&need.member)
    {
        return -candidate.free.plus(&candidate.releasing).accelerators();
    }
    let gangs = candidate.gangs.iter().copied();
    let eligible = gangs.filter(|g| can_preempt(view, cluster, need, right, worker, *g));
    let costs = eligible.map(|position| {
        let gang = &view.placed[position];
        let size = i64::try_from(gang.gang.accelerators()).unwrap_or(i64::MAX);
        URGENCY_STEP_COST * gang.rule.urgency as i64 + size
    });
    costs.min().unwrap_or(i64::MAX / 2)
}

/// Returns the gangs to preempt so that a job fits on a placement, as positions in the view.
fn choose_victims(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    right: PreemptionRight,
    placement: &[usize],
) -> Vec<usize> {
    let mut victims: Vec<usize> = Vec::new();
    let mut distinct = placement.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    for worker in distinct {
        let count = placement.iter().filter(|w| **w == worker).count();
        let required = need.member.times(u16::try_from(count).unwrap_or(u16::MAX));
        let candidate = &cluster.workers[worker];
        let mut free = candidate.free.plus(&candidate.releasing);
        for victim in &victims {
            free = free.plus(&held_on(view, *victim, worker));
        }
        let mut eligible: Vec<_> = candidate
            .gangs
            .iter()
            .copied()
            .filter(|g| !victims.contains(g))
            .filter(|g| can_preempt(view, cluster, need, right, worker, *g))
            .collect();
        eligible.sort_by_key(|g| preemption_key(view, &view.placed[*g]));
        let mut chosen = Vec::new();
        for victim in eligible {
            if free.can_hold(&required) {
                break;
            }
            free = free.plus(&held_on(view, victim, worker));
            chosen.push(victim);
        }
        // Drops gangs that a later, larger one has made unnecessary to preempt.
        for victim in chosen.clone().into_iter().rev() {
            let without = free.minus(&held_on(view, victim, worker));
            if without.can_hold(&required) {
                free = without;
                chosen.retain(|g| *g != victim);
            }
        }
        victims.extend(chosen);
    }
    victims
}

/// Returns the resources that a gang holds on a worker.
fn held_on(view: &ClusterView<'_>, position: usize, worker: usize) -> ResourceVector {
    let gang = &view.placed[position];
    let count = gang.workers.iter().filter(|w| **w == worker).count();
    ResourceVector::from_task(&gang.gang.member).times(u16::try_from(count).unwrap_or(u16::MAX))
}
