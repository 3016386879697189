//! Reservations of workers for waiting gangs that are large or overdue.

use roseridge_model::{
    DurationMs,
    JobId,
    UnixMillis, //
};

use crate::{
    ClusterView,
    GangReservation,
    PlacedGang,
    cluster_capacity::{
        ClusterCapacity,
        is_preemption_exempt, //
    },
    placement::find_placement,
    resource_vector::ResourceVector,
    scheduling_pass::JobNeed, //
};

/// The number of accelerators from which on a gang counts as large.
pub(crate) const LARGE_GANG_ACCELERATORS: u64 = 8;
/// The number of workers for each reservation that is permitted in addition to the first.
const WORKERS_PER_RESERVATION: usize = 6;
/// The age from which on a reservation permits its job to preempt smaller gangs.
pub(crate) const RESERVATION_PREEMPTION_DELAY: DurationMs = DurationMs(120_000);
/// The start times that are tried for a reservation, in minutes from now.
const HORIZON_MINUTES: [u64; 9] = [0, 5, 15, 30, 60, 120, 240, 480, 1_440];

/// Returns the maximum number of simultaneous reservations.
pub(crate) fn reservation_limit(view: &ClusterView<'_>) -> usize {
    1 + view.workers.len() / WORKERS_PER_RESERVATION
}

/// A reservation during a scheduling pass.
#[derive(Debug, Clone)]
pub(crate) struct ActiveReservation {
    pub(crate) job: JobId,
    /// One worker for each member, as positions in the view; empty once the reservation is
    /// released.
    pub(crate) placement: Vec<usize>,
    /// The time at which the reservation was made.
    pub(crate) since: UnixMillis,
    /// The time at which the reserved resources are expected to be free.
    pub(crate) ready_at: UnixMillis,
}

impl ActiveReservation {
    /// Returns the form of the reservation that is stored in the plan.
    pub(crate) fn to_gang_reservation(&self, view: &ClusterView<'_>) -> GangReservation {
        let names = self.placement.iter().map(|w| view.workers[*w].name.clone());
        GangReservation {
            job: self.job,
            workers: names.collect(),
            since: self.since,
        }
    }
}

/// Returns a conservative estimate of the time at which a gang ends.
pub(crate) fn expected_end(view: &ClusterView<'_>, gang: &PlacedGang<'_>) -> UnixMillis {
    if gang.stopping {
        return view.now;
    }
    let run_time_ratio = view.memory.run_time_ratio(gang.customer, gang.class);
    view.now
        .plus(run_time_ratio.remaining(gang.run_time(), view.now.since(gang.placed)))
}

/// Returns the latest time at which a gang is expected to release its resources to a reservation.
///
/// Gangs that aren't exempt from preemption are preempted once the reservation is old enough.
fn expected_release(
    view: &ClusterView<'_>,
    gang: &PlacedGang<'_>,
    since: UnixMillis,
) -> UnixMillis {
    let end = expected_end(view, gang);
    match is_preemption_exempt(gang.rule, gang.job, view.memory) {
        true => end,
        false => end.min(since.plus(RESERVATION_PREEMPTION_DELAY).max(view.now)),
    }
}

/// Returns a reservation of the resources that are expected to be free soonest, or `None` if the
/// gang doesn't fit at any of the times in [`HORIZON_MINUTES`].
pub(crate) fn plan_reservation(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
) -> Option<ActiveReservation> {
    let gangs = view.placed.iter();
    let release_times: Vec<_> = gangs.map(|g| expected_release(view, g, view.now)).collect();
    HORIZON_MINUTES.iter().find_map(|minutes| {
        let at = view.now.plus(DurationMs(minutes * 60_000));
        let capacity = |worker: usize| {
            capacity_after(view, cluster, need, worker, |gang| {
                release_times[gang] <= at
            })
        };
        let cost = |worker: usize| {
            let candidate = &cluster.workers[worker];
            candidate.total.accelerators() - candidate.free.accelerators()
        };
        let placement = find_placement(cluster, need.waiting.gang, capacity, cost)?;
        Some(ActiveReservation {
            job: need.waiting.job,
            ready_at: at,
            since: view.now,
            placement,
        })
    })
}

/// Returns the number of members that fit on a worker once the gangs selected by `releases` have
/// released their resources.
fn capacity_after(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    need: &JobNeed<'_>,
    worker: usize,
    releases: impl Fn(usize) -> bool,
) -> u16 {
    let candidate = &cluster.workers[worker];
    if !candidate.schedulable
        || candidate.probing
        || !candidate.reservations.is_empty()
        || need.avoids(worker)
    {
        return 0;
    }
    let mut free = candidate.free;
    for (position, count) in &candidate.gang_members {
        if releases(*position) {
            let member = ResourceVector::from_task(&view.placed[*position].gang.member);
            free = free.plus(&member.times(*count));
        }
    }
    let count = free.count_fitting(&need.member);
    match need.non_preemptible {
        true => count.min(candidate.count_non_preemptible(need.customer, &need.member)),
        false => count,
    }
}

/// Returns the time at which the resources of a reservation are expected to be free.
pub(crate) fn ready_at(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    placement: &[usize],
    since: UnixMillis,
) -> UnixMillis {
    let gangs = placement.iter().flat_map(|w| &cluster.workers[*w].gangs);
    let ends = gangs.map(|g| expected_release(view, &view.placed[*g], since));
    ends.max().unwrap_or(view.now).max(view.now)
}
