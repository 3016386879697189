//! One round of decisions.

use std::collections::BTreeMap;

use roseridge_flow::{
    PlaceOrder,
    StopCause,
    StopOrder, //
};
use roseridge_model::{
    RackName,
    RunKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    displacement::{
        RunOffer,
        displaceable,
        make_room, //
    },
    placement::{
        PlacePlan,
        find_places, //
    },
    room_map::{
        BackendRoom,
        open_rooms, //
    },
    work_unit::{
        WorkUnit,
        waiting_units, //
    },
};

/// What one round of decisions came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DispatchRound {
    /// What to stop.
    pub stops: Vec<StopOrder>,
    /// What to place.
    pub places: Vec<PlaceOrder>,
}

impl DispatchRound {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.places.is_empty()
    }
}

/// Decides what to stop and what to place now.
pub fn decide(view: &DispatchView<'_>) -> DispatchRound {
    let mut rooms = open_rooms(view);
    let mut units = waiting_units(view);
    units.sort_by_key(|unit| (unit.queue().rank, unit.record.accepted, unit.tasks[0]));
    let mut round = DispatchRound::default();
    for unit in &units {
        match find_places(unit, &rooms, &|room| room.free, !unit.is_urgent()) {
            Some(plan) => place(unit, &plan, &mut rooms, &mut round),
            None if unit.is_urgent() => reclaim(view, unit, &mut rooms, &mut round),
            None => {}
        }
    }
    round
}

fn place(
    unit: &WorkUnit<'_>,
    plan: &PlacePlan,
    rooms: &mut [BackendRoom<'_>],
    round: &mut DispatchRound,
) {
    let mut tasks = unit.tasks.iter();
    let mut order = PlaceOrder { tasks: Vec::new() };
    for (at, count) in plan {
        let room = &mut rooms[*at];
        for task in tasks.by_ref().take(*count) {
            room.free = room.free.minus(&unit.spec.shape);
            room.placed.push(*task);
            order.tasks.push((*task, room.id.clone()));
        }
    }
    round.places.push(order);
}

/// Makes room for an urgent unit: first by waiting for what is being given back, then by stopping runs.
fn reclaim(
    view: &DispatchView<'_>,
    unit: &WorkUnit<'_>,
    rooms: &mut [BackendRoom<'_>],
    round: &mut DispatchRound,
) {
    let soon = |room: &BackendRoom<'_>| room.free.plus(&room.returning);
    let waiting = find_places(unit, rooms, &soon, false);
    if let Some(plan) = waiting {
        reserve(unit, &plan, rooms);
        return;
    }
    if let Some((plan, victims)) = cheapest_displacement(view, unit, rooms) {
        for victim in victims {
            stop_for(view, victim.run, rooms, round);
        }
        reserve(unit, &plan, rooms);
        return;
    }
    if let Some(plan) = find_places(unit, rooms, &|room| room.free, true) {
        place(unit, &plan, rooms, round);
    }
}

/// Takes room out of the map for a unit that waits for it.
fn reserve(unit: &WorkUnit<'_>, plan: &PlacePlan, rooms: &mut [BackendRoom<'_>]) {
    for (at, count) in plan {
        let room = &mut rooms[*at];
        for _ in 0..*count {
            let from_free = least(&room.free, &unit.spec.shape);
            room.free = room.free.minus(&from_free);
            room.returning = room.returning.minus(&unit.spec.shape.minus(&from_free));
        }
    }
}

fn least(a: &TaskShape, b: &TaskShape) -> TaskShape {
    TaskShape {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Orders a run to stop, with the other members of its gang.
fn stop_for(
    view: &DispatchView<'_>,
    run: RunKey,
    rooms: &mut [BackendRoom<'_>],
    round: &mut DispatchRound,
) {
    let spec = view
        .flows
        .flows
        .get(&run.task.flow)
        .and_then(|flow| flow.step_spec(run.task));
    let is_gang = spec.is_some_and(|spec| spec.gang);
    let goes_too = |other: &RunKey| match is_gang {
        true => {
            let (a, b) = (&other.task, &run.task);
            other.run == run.run && (a.flow, a.round, a.step) == (b.flow, b.round, b.step)
        }
        false => *other == run,
    };
    for room in rooms {
        let held = room.record.runs.iter();
        for (run, held) in held.filter(|(run, held)| held.stop.is_none() && goes_too(run)) {
            if round.stops.iter().any(|stop| stop.run == *run) {
                continue;
            }
            room.returning = room.returning.plus(&held.shape);
            round.stops.push(StopOrder {
                run: *run,
                cause: StopCause::Displaced,
            });
        }
    }
}

/// Returns the places of a unit with the runs that must stop for it, the cheapest of all racks.
fn cheapest_displacement(
    view: &DispatchView<'_>,
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
) -> Option<(PlacePlan, Vec<RunOffer>)> {
    let mut racks = BTreeMap::<Option<&RackName>, Vec<usize>>::new();
    let is_tight = unit.spec.one_rack && unit.tasks.len() > 1;
    for (at, room) in rooms.iter().enumerate().filter(|(_, r)| r.suits(unit)) {
        let rack = room.record.profile.rack.as_ref().filter(|_| is_tight);
        racks.entry(rack).or_default().push(at);
    }
    let all: Vec<_> = racks.values().flatten().copied().collect();
    let in_rack = racks
        .values()
        .filter_map(|places| displace_within(view, unit, rooms, places));
    let best = in_rack.min_by_key(|(cost, _, _)| *cost);
    let best = best.or_else(|| displace_within(view, unit, rooms, &all));
    best.map(|(_, plan, victims)| (plan, victims))
}

/// Returns the cost, the places and the runs to stop, using only these backend servers.
fn displace_within(
    view: &DispatchView<'_>,
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    places: &[usize],
) -> Option<(u64, PlacePlan, Vec<RunOffer>)> {
    // One more task at a time goes where it costs least.
    let rank = unit.queue().rank;
    let offers: BTreeMap<_, _> = places
        .iter()
        .map(|at| (*at, displaceable(view.flows, &rooms[*at], rank, view.now)))
        .collect();
    let cost_of = |at: &usize, count: usize| {
        let room = &rooms[*at];
        if count > room.spread_left(unit) {
            return None;
        }
        let victims = make_room(room, &offers[at], &unit.spec.shape, count)?;
        Some((victims.iter().map(|v| v.lost).sum::<u64>(), victims))
    };
    let mut counts = BTreeMap::<usize, usize>::new();
    for _ in 0..unit.tasks.len() {
        let step = places.iter().filter_map(|at| {
            let now = counts.get(at).copied().unwrap_or(0);
            let (next, _) = cost_of(at, now + 1)?;
            let (before, _) = cost_of(at, now)?;
            Some((next - before.min(next), *at))
        });
        let (_, at) = step.min()?;
        *counts.entry(at).or_default() += 1;
    }
    let mut victims = Vec::new();
    let mut cost = 0;
    for (at, count) in &counts {
        let (lost, chosen) = cost_of(at, *count)?;
        cost += lost;
        victims.extend(chosen);
    }
    Some((cost, counts.into_iter().collect(), victims))
}
