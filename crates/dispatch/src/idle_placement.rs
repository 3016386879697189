//! Placement on idle capacity of a unit that preferences and reservations keep waiting.

use roseridge_model::{
    DurationMs,
    TaskShape, //
};

use crate::{
    backend_capacity::{
        BackendCapacity,
        fit_count, //
    },
    placement::{
        PlacePlan,
        find_places, //
    },
    placement_unit::PlacementUnit,
};

/// The time that a unit waits for a place by its preferences before it takes idle capacity. The users
/// require that a flow with room for it twice over starts within 3 s.
const MAX_IDLE_WAIT: DurationMs = DurationMs(2_000);
/// The share of the capacity below which it counts as idle.
const IDLE_SHARE: f64 = 0.5;
/// How many times a unit has to fit into the idle capacity.
const IDLE_ROOM_FACTOR: usize = 2;

/// Returns places for a unit that has waited although most of the capacity is idle, or `None`.
///
/// Load pattern: at the end of a load, few long runs are left on every rack. A rack-bound gang of whole
/// workers would wait for the last of them, and capacity that is reserved for it would stay unused. It is
/// then placed across racks, on capacity that may be reserved for others.
pub(crate) fn find_idle_places(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    waited: DurationMs,
) -> Option<PlacePlan> {
    if waited < MAX_IDLE_WAIT || !is_mostly_idle(unit, capacities) {
        return None;
    }
    let wanted = unit.tasks.len() * IDLE_ROOM_FACTOR;
    let suitable = capacities.iter().filter(|capacity| capacity.can_host(unit));
    let room: usize = suitable
        .map(|capacity| fit_count(&capacity.unclaimed(), &unit.spec.shape, wanted))
        .sum();
    match room >= wanted {
        true => find_places(unit, capacities, &|capacity| capacity.unclaimed(), true),
        false => None,
    }
}

/// Returns whether less than [`IDLE_SHARE`] of each resource of the unit's service is in use.
fn is_mostly_idle(unit: &PlacementUnit<'_>, capacities: &[BackendCapacity<'_>]) -> bool {
    let service = &unit.queue().service;
    let of_service = capacities
        .iter()
        .filter(|capacity| capacity.record.profile.service == *service);
    let (mut whole, mut free) = (TaskShape::default(), TaskShape::default());
    for capacity in of_service {
        whole = whole.plus(&capacity.record.profile.shape);
        free = free.plus(&capacity.free);
    }
    let is_idle = |free: u64, whole: u64| free as f64 > whole as f64 * (1.0 - IDLE_SHARE);
    is_idle(free.millicores, whole.millicores)
        && is_idle(free.memory_mib, whole.memory_mib)
        && is_idle(u64::from(free.accelerators), u64::from(whole.accelerators))
}
