//! Placement of the tasks of a placement unit on backend servers.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    RackName,
    TaskShape, //
};

use crate::{
    backend_capacity::{
        BackendCapacity,
        fit_count, //
    },
    placement_unit::PlacementUnit, //
};

/// The number of tasks for each backend server, as pairs of its index in the list of capacities and the
/// number.
pub(crate) type PlacePlan = Vec<(usize, usize)>;

/// Finds places for all tasks of a unit, within the capacity that `capacity_of` returns for each backend
/// server.
///
/// A unit that is slower across racks, or that prefers the rack of its data, goes into one rack if it
/// fits there. Otherwise it is spread over several racks, a rack-bound unit only if `may_cross_racks`.
/// Within these limits, the backend servers with the least free capacity are used first, so that whole
/// workers stay free for large tasks.
pub(crate) fn find_places(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    capacity_of: &dyn Fn(&BackendCapacity<'_>) -> TaskShape,
    may_cross_racks: bool,
) -> Option<PlacePlan> {
    let suitable = capacities
        .iter()
        .enumerate()
        .filter(|(_, capacity)| capacity.can_host(unit));
    let offers: Vec<_> = suitable
        .filter_map(|(index, capacity)| {
            let free = capacity_of(capacity);
            let max_count = unit.tasks.len().min(capacity.remaining_spread(unit));
            let count = fit_count(&free, &unit.spec.shape, max_count);
            (count > 0).then_some(PlaceOffer {
                index,
                count,
                free,
                penalty: capacity.penalty(unit),
                speed_class: capacity.speed.class,
            })
        })
        .collect();
    match place_in_best_rack(unit, capacities, &offers) {
        Some(plan) => Some(plan),
        None if unit.is_rack_bound() && !may_cross_racks => None,
        None => fill_places(unit, offers),
    }
}

/// Returns whether a rack-bound unit would fit into no rack even if all backend servers were empty.
pub(crate) fn exceeds_racks(unit: &PlacementUnit<'_>, capacities: &[BackendCapacity<'_>]) -> bool {
    let whole = |capacity: &BackendCapacity<'_>| capacity.record.profile.shape;
    unit.is_rack_bound() && find_places(unit, capacities, &whole, false).is_none()
}

/// Groups the indexes of the backend servers that can host a unit: by rack if the unit must stay within
/// one, else all together.
pub(crate) fn placement_groups(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    may_cross_racks: bool,
) -> Vec<Vec<usize>> {
    let mut groups = BTreeMap::<Option<&RackName>, Vec<usize>>::new();
    let suitable = capacities
        .iter()
        .enumerate()
        .filter(|(_, capacity)| capacity.can_host(unit));
    for (index, capacity) in suitable {
        let rack = capacity.record.profile.rack.as_ref();
        let rack = rack.filter(|_| unit.is_rack_bound() && !may_cross_racks);
        groups.entry(rack).or_default().push(index);
    }
    groups.into_values().collect()
}

/// The number of tasks of a unit that one backend server can take.
#[derive(Debug, Clone)]
struct PlaceOffer {
    /// The index of the backend server in the list of capacities.
    index: usize,
    count: usize,
    free: TaskShape,
    penalty: u8,
    speed_class: i8,
}

/// Returns a plan within one rack, or `None` if no rack has the capacity or the unit prefers none.
///
/// The rack of the data comes first, then the racks with the lowest penalty, and among these the one with
/// the fewest free accelerators.
fn place_in_best_rack(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    offers: &[PlaceOffer],
) -> Option<PlacePlan> {
    let preferred = unit.spec.data_rack.as_ref();
    if preferred.is_none() && !unit.is_rack_bound() {
        return None;
    }
    let mut racks = BTreeMap::<&RackName, Vec<PlaceOffer>>::new();
    for offer in offers {
        if let Some(rack) = &capacities[offer.index].record.profile.rack {
            racks.entry(rack).or_default().push(offer.clone());
        }
    }
    let plans = racks.into_iter().filter_map(|(rack, offers)| {
        let free: u32 = offers.iter().map(|o| o.free.accelerators).sum();
        let plan = fill_places(unit, offers)?;
        let penalty = plan
            .iter()
            .map(|(index, _)| capacities[*index].penalty(unit))
            .max();
        let speed = plan_speed_class(unit, capacities, &plan);
        Some(((preferred != Some(rack), penalty, speed, free, rack), plan))
    });
    let best = plans.min_by(|a, b| a.0.cmp(&b.0));
    best.map(|(_, plan)| plan)
}

/// Returns the place of a plan in the order of a unit's preference for speeds, the most preferred first.
///
/// A gang is as fast as its slowest member. Urgent units prefer fast places. Other units prefer slow
/// ones, so that fast ones stay free.
fn plan_speed_class(
    unit: &PlacementUnit<'_>,
    capacities: &[BackendCapacity<'_>],
    plan: &PlacePlan,
) -> i8 {
    let classes = plan.iter().map(|(index, _)| capacities[*index].speed.class);
    let slowest = classes.min().unwrap_or(0);
    if unit.is_urgent() { -slowest } else { slowest }
}

/// Fills the places with the lowest penalty first, and among them those with the preferred speed and then
/// those with the least free capacity.
fn fill_places(unit: &PlacementUnit<'_>, mut offers: Vec<PlaceOffer>) -> Option<PlacePlan> {
    let prefers_fast = unit.is_urgent();
    let speed_key = |o: &PlaceOffer| match prefers_fast {
        true => -o.speed_class,
        false => o.speed_class,
    };
    offers.sort_by_key(|o| {
        let free = (o.free.accelerators, o.free.memory_mib);
        (o.penalty, speed_key(o), free, o.index)
    });
    let is_uneven = offers
        .windows(2)
        .any(|o| o[0].speed_class != o[1].speed_class);
    if unit.spec.gang && is_uneven && !prefers_fast {
        // A gang of mixed speeds would hold fast places for the time of its slowest member.
        let classes: BTreeSet<_> = offers.iter().map(|o| o.speed_class).collect();
        let even = classes.into_iter().find_map(|class| {
            let even = offers.iter().filter(|o| o.speed_class == class);
            fill_in_order(even, unit.tasks.len())
        });
        if even.is_some() {
            return even;
        }
    }
    fill_in_order(offers.iter(), unit.tasks.len())
}

fn fill_in_order<'a>(
    offers: impl Iterator<Item = &'a PlaceOffer>,
    wanted: usize,
) -> Option<PlacePlan> {
    let mut remaining = wanted;
    let mut plan = Vec::new();
    for offer in offers {
        let count = offer.count.min(remaining);
        remaining -= count;
        plan.push((offer.index, count));
        if remaining == 0 {
            return Some(plan);
        }
    }
    None
}
