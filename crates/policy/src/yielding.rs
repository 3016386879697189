//! Who is stopped to make room.

use roseridge_model::{
    ClassUrgency,
    DurationMs,
    JobId, //
};

use crate::{
    ClusterView,
    PlacedGang,
    cluster_room::{
        ClusterRoom,
        is_spared, //
    },
    placement::choose_places,
    room::Room,
    round::JobNeed, //
};

/// The time that work may run before it is stopped for a reservation.
const MIN_RUN: DurationMs = DurationMs(300_000);

/// What a step of urgency weighs against accelerators when a gang to stop is chosen.
const URGENCY_COST: i64 = 1_000;

/// By what right a job has other work stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum YieldRight {
    /// It stays within its customer's guarantee: whoever borrows that yields.
    Guarantee,
    /// It is more urgent: less urgent work that borrows yields.
    Urgency,
    /// It has waited long enough with a reservation: smaller work that borrows yields.
    Reservation,
}

/// Places that become free once some gangs have been stopped.
#[derive(Debug)]
pub(crate) struct RoomMaking {
    pub(crate) places: Vec<usize>,
    /// The gangs to stop, as positions in the view.
    pub(crate) victims: Vec<usize>,
}

/// Returns whether a gang may be stopped on a worker for a job.
fn may_stop(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    right: YieldRight,
    worker: usize,
    position: usize,
) -> bool {
    let gang = &view.placed[position];
    let is_kept = match right {
        YieldRight::Guarantee => !gang.rule.idempotent,
        _ => is_spared(gang.rule, gang.job, view.memory),
    };
    if gang.stopping || is_kept {
        return false;
    }
    let customer = room.gang_customers[position];
    let is_own = customer == need.customer;
    let borrows = room.workers[worker].claim(customer).borrows();
    let urgency = need.waiting.rule.urgency;
    let has_run = view.now.since(gang.placed) >= MIN_RUN;
    match right {
        YieldRight::Guarantee if is_own => gang.rule.urgency < urgency,
        // Work that can wait leaves more urgent work alone until its class's wait is over.
        YieldRight::Guarantee => {
            let is_due = gang.rule.urgency <= urgency || need.waiting.latest_start() <= view.now;
            borrows && is_due && (urgency > ClassUrgency::Bulk || has_run)
        }
        YieldRight::Urgency => gang.rule.urgency < urgency && (is_own || borrows),
        YieldRight::Reservation => {
            gang.rule.urgency <= urgency.min(ClassUrgency::Normal)
                && gang.gang.accelerators() < need.waiting.gang.accelerators()
                && (is_own || borrows)
                && has_run
        }
    }
}

/// The order in which gangs yield: least urgent, by template, least lost work.
fn yield_key(view: &ClusterView<'_>, gang: &PlacedGang<'_>) -> (ClassUrgency, u32, u64, JobId) {
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

/// Returns the room on a worker that the right lets a job have, once everything that may be stopped is.
fn reachable(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    right: YieldRight,
    worker: usize,
) -> Room {
    let own = &room.workers[worker];
    let mut reach = own.free.plus(&own.ending);
    for position in &own.gangs {
        let gang = &view.placed[*position];
        if may_stop(view, room, need, right, worker, *position) {
            let count = own.share(*position);
            reach = reach.plus(&Room::of_task(&gang.gang.member).times(count));
        }
    }
    match right {
        YieldRight::Guarantee => {
            let claim = own.claim(need.customer);
            let spare = claim.guaranteed.minus(&own_use(view, room, need, worker));
            reach.min(&spare)
        }
        _ => reach,
    }
}

/// Returns what the customer's own work holds on a worker that would not yield to the job.
fn own_use(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    worker: usize,
) -> Room {
    let own = &room.workers[worker];
    let mut used = own.claim(need.customer).used;
    for position in &own.gangs {
        let gang = &view.placed[*position];
        let preemptions = gang.rule.urgency < need.waiting.rule.urgency
            && !is_spared(gang.rule, gang.job, view.memory);
        if room.gang_customers[*position] == need.customer && (preemptions || gang.stopping) {
            let count = own.share(*position);
            used = used.minus(&Room::of_task(&gang.gang.member).times(count));
        }
    }
    used
}

/// Finds places for a job by stopping other work, within some workers.
pub(crate) fn make_room(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    right: YieldRight,
    within: impl Fn(usize) -> bool,
) -> Option<RoomMaking> {
    let capacity = |worker: usize| {
        let own = &room.workers[worker];
        if !own.schedulable || own.probing || !within(worker) || need.avoids(worker) {
            return 0;
        }
        let count = reachable(view, room, need, right, worker).count(&need.member);
        match need.firm {
            true => count.min(own.firm_count(need.customer, &need.member)),
            false => count,
        }
    };
    let cost = |worker: usize| stop_cost(view, room, need, right, worker);
    let places = choose_places(room, need.waiting.gang, capacity, cost)?;
    let victims = choose_victims(view, room, need, right, &places);
    Some(RoomMaking { places, victims })
}

/// Returns how much is stopped for one member on a worker: nothing where room becomes free anyhow, else
/// the least urgent and smallest gang that would do.
fn stop_cost(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    right: YieldRight,
    worker: usize,
) -> i64 {
    let own = &room.workers[worker];
    if need.waiting.gang.members > 1 || own.free.plus(&own.ending).can_hold(&need.member) {
        return -own.free.plus(&own.ending).accelerators();
    }
    let gangs = own.gangs.iter().copied();
    let eligible = gangs.filter(|g| may_stop(view, room, need, right, worker, *g));
    let costs = eligible.map(|position| {
        let gang = &view.placed[position];
        let size = i64::try_from(gang.gang.accelerators()).unwrap_or(i64::MAX);
        URGENCY_COST * gang.rule.urgency as i64 + size
    });
    costs.min().unwrap_or(i64::MAX / 2)
}

fn choose_victims(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    right: YieldRight,
    places: &[usize],
) -> Vec<usize> {
    let mut victims: Vec<usize> = Vec::new();
    let mut distinct = places.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    for worker in distinct {
        let count = places.iter().filter(|w| **w == worker).count();
        let wanted = need.member.times(u16::try_from(count).unwrap_or(u16::MAX));
        let own = &room.workers[worker];
        let mut free = own.free.plus(&own.ending);
        for victim in &victims {
            free = free.plus(&held_on(view, *victim, worker));
        }
        let mut offers: Vec<_> = own
            .gangs
            .iter()
            .copied()
            .filter(|g| !victims.contains(g))
            .filter(|g| may_stop(view, room, need, right, worker, *g))
            .collect();
        offers.sort_by_key(|g| yield_key(view, &view.placed[*g]));
        let mut chosen = Vec::new();
        for offer in offers {
            if free.can_hold(&wanted) {
                break;
            }
            free = free.plus(&held_on(view, offer, worker));
            chosen.push(offer);
        }
        // What a later, larger victim made needless is spared again.
        for offer in chosen.clone().into_iter().rev() {
            let without = free.minus(&held_on(view, offer, worker));
            if without.can_hold(&wanted) {
                free = without;
                chosen.retain(|g| *g != offer);
            }
        }
        victims.extend(chosen);
    }
    victims
}

fn held_on(view: &ClusterView<'_>, position: usize, worker: usize) -> Room {
    let gang = &view.placed[position];
    let count = gang.workers.iter().filter(|w| **w == worker).count();
    Room::of_task(&gang.gang.member).times(u16::try_from(count).unwrap_or(u16::MAX))
}
