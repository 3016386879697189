//! Placement of the tasks of a placement unit on backend servers.

use std::collections::BTreeMap;

use roseridge_model::{
    RackName,
    TaskShape, //
};

use crate::{
    backend_capacity::{
        BackendCapacity,
        PlacePenalty,
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
            })
        })
        .collect();
    match place_in_best_rack(unit, capacities, &offers) {
        Some(plan) => Some(plan),
        None if unit.is_rack_bound() && !may_cross_racks => None,
        None => fill_places(offers, unit.tasks.len()),
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
    penalty: PlacePenalty,
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
        let plan = fill_places(offers.clone(), unit.tasks.len())?;
        let penalty = plan
            .iter()
            .map(|(index, _)| capacities[*index].penalty(unit))
            .max();
        Some(((preferred != Some(rack), penalty, free, rack), plan))
    });
    let best = plans.min_by(|a, b| a.0.cmp(&b.0));
    best.map(|(_, plan)| plan)
}

/// Fills the places with the lowest penalty first, and among them those with the least free capacity.
fn fill_places(mut offers: Vec<PlaceOffer>, wanted: usize) -> Option<PlacePlan> {
    offers.sort_by_key(|o| (o.penalty, o.free.accelerators, o.free.memory_mib, o.index));
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
