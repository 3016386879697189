//! The places that are kept for large waiting gangs.

use roseridge_model::{
    DurationMs,
    JobId,
    UnixMillis, //
};

use crate::{
    ClusterView,
    GangReservation,
    PlacedGang,
    cluster_room::{
        ClusterRoom,
        is_spared, //
    },
    placement::choose_places,
    room::Room,
    round::JobNeed, //
};

/// The accelerators from which a gang counts as large.
pub(crate) const LARGE_GANG: u64 = 8;
/// Workers for each reservation beside the first.
const WORKERS_PER_RESERVATION: usize = 6;
/// The time after which a reservation's holder has smaller work stopped.
pub(crate) const RESERVATION_PATIENCE: DurationMs = DurationMs(120_000);
/// The points in time that are tried for a reservation, in minutes from now.
const HORIZON_MINUTES: [u64; 9] = [0, 5, 15, 30, 60, 120, 240, 480, 1_440];

/// Returns the most reservations at a time.
pub(crate) fn reservation_limit(view: &ClusterView<'_>) -> usize {
    1 + view.workers.len() / WORKERS_PER_RESERVATION
}

/// A reservation that is in force during a round.
#[derive(Debug, Clone)]
pub(crate) struct KeptPlaces {
    pub(crate) job: JobId,
    pub(crate) places: Vec<usize>,
    pub(crate) since: UnixMillis,
    pub(crate) ready_at: UnixMillis,
}

impl KeptPlaces {
    pub(crate) fn named(&self, view: &ClusterView<'_>) -> GangReservation {
        let names = self.places.iter().map(|w| view.workers[*w].name.clone());
        GangReservation {
            job: self.job,
            workers: names.collect(),
            since: self.since,
        }
    }
}

/// Returns when a gang is expected to end, cautiously.
pub(crate) fn expected_end(view: &ClusterView<'_>, gang: &PlacedGang<'_>) -> UnixMillis {
    if gang.stopping {
        return view.now;
    }
    let ratio = view.memory.ratio(gang.customer, gang.class);
    view.now
        .plus(ratio.rest(gang.run(), view.now.since(gang.placed)))
}

/// Returns when a gang leaves its places to a reservation at the latest.
fn leaves_at(view: &ClusterView<'_>, gang: &PlacedGang<'_>, since: UnixMillis) -> UnixMillis {
    let end = expected_end(view, gang);
    match is_spared(gang.rule, gang.job, view.memory) {
        true => end,
        false => end.min(since.plus(RESERVATION_PATIENCE).max(view.now)),
    }
}

/// Chooses the places that are free soonest, and keeps them.
pub(crate) fn choose_reservation(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
) -> Option<KeptPlaces> {
    let gangs = view.placed.iter();
    let leaves: Vec<_> = gangs.map(|g| leaves_at(view, g, view.now)).collect();
    HORIZON_MINUTES.iter().find_map(|minutes| {
        let at = view.now.plus(DurationMs(minutes * 60_000));
        let capacity =
            |worker: usize| capacity_at(view, room, need, worker, |gang| leaves[gang] <= at);
        let cost = |worker: usize| {
            let own = &room.workers[worker];
            own.total.accelerators() - own.free.accelerators()
        };
        let places = choose_places(room, need.waiting.gang, capacity, cost)?;
        Some(KeptPlaces {
            job: need.waiting.job,
            ready_at: at,
            since: view.now,
            places,
        })
    })
}

fn capacity_at(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    need: &JobNeed<'_>,
    worker: usize,
    leaves: impl Fn(usize) -> bool,
) -> u16 {
    let own = &room.workers[worker];
    if !own.schedulable || own.probing || !own.kept.is_empty() || need.avoids(worker) {
        return 0;
    }
    let mut free = own.free;
    for (position, count) in &own.shares {
        if leaves(*position) {
            let member = Room::of_task(&view.placed[*position].gang.member);
            free = free.plus(&member.times(*count));
        }
    }
    let count = free.count(&need.member);
    match need.firm {
        true => count.min(own.firm_count(need.customer, &need.member)),
        false => count,
    }
}

/// Returns when the places of a reservation are expected to be free.
pub(crate) fn ready_at(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    places: &[usize],
    since: UnixMillis,
) -> UnixMillis {
    let gangs = places.iter().flat_map(|w| &room.workers[*w].gangs);
    let ends = gangs.map(|g| leaves_at(view, &view.placed[*g], since));
    ends.max().unwrap_or(view.now).max(view.now)
}
