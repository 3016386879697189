//! Where the tasks of a unit go.

use std::collections::BTreeMap;

use roseridge_model::{
    RackName,
    TaskShape, //
};

use crate::{
    room_map::BackendRoom,
    work_unit::WorkUnit, //
};

/// The number of tasks for each backend server, by its place in the room map.
pub(crate) type PlacePlan = Vec<(usize, usize)>;

/// Finds places for all tasks of a unit, in room that `room_of` tells of each backend server.
///
/// A unit that is slower across racks goes into one rack if one has the room; `may_cross` tells
/// whether it may lie in several otherwise. Within these bounds the fullest places are taken first, so
/// that whole workers stay free for large tasks.
pub(crate) fn find_places(
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    room_of: &dyn Fn(&BackendRoom<'_>) -> TaskShape,
    may_cross: bool,
) -> Option<PlacePlan> {
    let suited = rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| room.suits(unit));
    let offers: Vec<_> = suited
        .filter_map(|(at, room)| {
            let free = room_of(room);
            let most = unit.tasks.len().min(room.spread_left(unit));
            let count = BackendRoom::fitting(&free, &unit.spec.shape, most);
            (count > 0).then_some(PlaceOffer { at, count, free })
        })
        .collect();
    let is_tight = unit.spec.one_rack && unit.tasks.len() > 1;
    let preferred = unit.spec.data_rack.as_ref();
    let in_rack = best_rack(unit, rooms, &offers, preferred);
    match in_rack {
        Some(plan) => Some(plan),
        None if is_tight && !may_cross => None,
        None => fill(offers, unit.tasks.len()),
    }
}

/// What one backend server could take.
#[derive(Debug, Clone)]
struct PlaceOffer {
    at: usize,
    count: usize,
    free: TaskShape,
}

/// Returns the plan within one rack that leaves the least room unused in it.
fn best_rack(
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    offers: &[PlaceOffer],
    preferred: Option<&RackName>,
) -> Option<PlacePlan> {
    let needs_rack = preferred.is_some() || (unit.spec.one_rack && unit.tasks.len() > 1);
    if !needs_rack {
        return None;
    }
    let mut racks = BTreeMap::<&RackName, Vec<PlaceOffer>>::new();
    for offer in offers {
        if let Some(rack) = &rooms[offer.at].record.profile.rack {
            racks.entry(rack).or_default().push(offer.clone());
        }
    }
    let plans = racks.into_iter().filter_map(|(rack, offers)| {
        let left: u32 = offers.iter().map(|o| o.free.accelerators).sum();
        let plan = fill(offers, unit.tasks.len())?;
        Some((preferred != Some(rack), left, rack, plan))
    });
    let best = plans.min_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
    best.map(|(_, _, _, plan)| plan)
}

/// Fills the fullest places first.
fn fill(mut offers: Vec<PlaceOffer>, wanted: usize) -> Option<PlacePlan> {
    offers.sort_by_key(|o| (o.free.accelerators, o.free.memory_mib, o.at));
    let mut left = wanted;
    let mut plan = Vec::new();
    for offer in offers {
        let count = offer.count.min(left);
        left -= count;
        plan.push((offer.at, count));
        if left == 0 {
            return Some(plan);
        }
    }
    None
}
