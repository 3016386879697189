//! Where the tasks of a unit go.

use std::collections::BTreeMap;

use roseridge_model::{
    RackName,
    TaskShape, //
};

use crate::{
    room_map::{
        BackendRoom,
        fitting, //
    },
    work_unit::WorkUnit, //
};

/// The number of tasks for each backend server, by its place in the room map.
pub(crate) type PlacePlan = Vec<(usize, usize)>;

/// Finds places for all tasks of a unit, in the room that `room_of` tells of each backend server.
///
/// A unit that is slower across racks goes into one rack; `may_cross` tells whether it may lie in
/// several when no rack has the room. Within these bounds the fullest places are taken first, so that
/// whole workers stay free for large tasks.
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
            let count = fitting(&free, &unit.spec.shape, most);
            (count > 0).then_some(PlaceOffer {
                at,
                count,
                free,
                reluctance: room.reluctance(unit),
            })
        })
        .collect();
    match best_rack(unit, rooms, &offers) {
        Some(plan) => Some(plan),
        None if unit.is_tight() && !may_cross => None,
        None => fill(offers, unit.tasks.len()),
    }
}

/// Returns whether no rack could take a tight unit even if nothing else were there.
pub(crate) fn outgrows_racks(unit: &WorkUnit<'_>, rooms: &[BackendRoom<'_>]) -> bool {
    let whole = |room: &BackendRoom<'_>| room.record.profile.shape;
    unit.is_tight() && find_places(unit, rooms, &whole, false).is_none()
}

/// Groups backend servers that suit a unit: by rack if it must stay within one, else all together.
pub(crate) fn place_groups(
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    may_cross: bool,
) -> Vec<Vec<usize>> {
    let mut groups = BTreeMap::<Option<&RackName>, Vec<usize>>::new();
    let suited = rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| room.suits(unit));
    for (at, room) in suited {
        let rack = room.record.profile.rack.as_ref();
        let rack = rack.filter(|_| unit.is_tight() && !may_cross);
        groups.entry(rack).or_default().push(at);
    }
    groups.into_values().collect()
}

/// What one backend server could take.
#[derive(Debug, Clone)]
struct PlaceOffer {
    at: usize,
    count: usize,
    free: TaskShape,
    reluctance: u8,
}

/// Returns the plan within one rack that leaves the least room unused in it.
fn best_rack(
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    offers: &[PlaceOffer],
) -> Option<PlacePlan> {
    let preferred = unit.spec.data_rack.as_ref();
    if preferred.is_none() && !unit.is_tight() {
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
        let plan = fill(offers.clone(), unit.tasks.len())?;
        let doubt = plan.iter().map(|(at, _)| rooms[*at].reluctance(unit)).max();
        Some(((preferred != Some(rack), doubt, left, rack), plan))
    });
    let best = plans.min_by(|a, b| a.0.cmp(&b.0));
    best.map(|(_, plan)| plan)
}

/// Fills the most trusted places first, and among them the fullest.
fn fill(mut offers: Vec<PlaceOffer>, wanted: usize) -> Option<PlacePlan> {
    offers.sort_by_key(|o| (o.reluctance, o.free.accelerators, o.free.memory_mib, o.at));
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
