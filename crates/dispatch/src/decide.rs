//! One round of decisions.

use std::{
    cell::OnceCell,
    collections::BTreeMap, //
};

use roseridge_flow::{
    PlacementOrder,
    StopCause,
    StopOrder, //
};
use roseridge_model::{
    FlowId,
    RunKey,
    TaskShape, //
};

use crate::{
    DispatchView, OrderedFlow,
    displacement::{
        DisplaceReach,
        DisplaceView,
        RoomPlan,
        RunBook,
        gain_of_now, //
    },
    evacuation::evacuations,
    flow_outlook::{
        FlowOutlook,
        WorkerUnit,
        outlooks, //
    },
    guarantee::UrgentNeeds,
    order_flows,
    placement::{
        PlacePlan,
        find_places,
        outgrows_racks,
        place_groups, //
    },
    room_map::{
        BackendRoom,
        fitting,
        most_free,
        open_rooms, //
    },
    run_times::{
        RunTimes,
        TimedRun, //
    },
    work_unit::{
        WorkUnit,
        waiting_units, //
    },
};

/// The most units that wait for kept room at the same time.
const MAX_KEPT_UNITS: usize = 6;
/// The part of a worker from which on a task is large: room is kept for it.
const LARGE_SHARE: f64 = 0.3;

/// What one round of decisions came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DispatchDecision {
    /// What to stop.
    pub stops: Vec<StopOrder>,
    /// What to place.
    pub places: Vec<PlacementOrder>,
}

impl DispatchDecision {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.places.is_empty()
    }
}

/// Decides what to stop and what to place now.
pub fn decide(view: &DispatchView<'_>) -> DispatchDecision {
    let times = RunTimes::of(view);
    let unit_of_work = WorkerUnit::of(view);
    let outlooks = outlooks(view, &times, unit_of_work);
    let rooms = open_rooms(view, &times);
    let mut table = DecisionTable {
        most_free: most_free(&rooms),
        rooms,
        needs: UrgentNeeds::of(view.flows),
        round: DispatchDecision::default(),
        book: OnceCell::new(),
        kept_units: 0,
        view,
        times,
        unit_of_work,
        outlooks,
    };
    table.evacuate();
    for flow in table.order() {
        let Some(record) = view.flows.flows.get(&flow) else {
            continue;
        };
        for unit in waiting_units(view, flow, record) {
            table.serve(&unit);
        }
    }
    table.round
}

/// Everything that one round of decisions works on.
struct DecisionTable<'a, 'v> {
    view: &'a DispatchView<'v>,
    times: RunTimes<'v>,
    unit_of_work: WorkerUnit,
    outlooks: BTreeMap<FlowId, FlowOutlook>,
    needs: UrgentNeeds<'v>,
    rooms: Vec<BackendRoom<'v>>,
    /// What no room exceeds; room only gets less in a round.
    most_free: TaskShape,
    round: DispatchDecision,
    /// What could be displaced, once it was needed.
    book: OnceCell<RunBook>,
    kept_units: usize,
}

impl DecisionTable<'_, '_> {
    fn order(&self) -> Vec<FlowId> {
        let flows: Vec<_> = self
            .outlooks
            .values()
            .map(|outlook| OrderedFlow {
                flow: outlook.flow,
                rank: outlook.rank,
                is_owed: self.is_owed(outlook.flow),
                worth: outlook.worth,
                work_left: outlook.work_left,
                chain_left_ms: outlook.chain_left_ms,
                due_ms: outlook.due_ms,
                late_ms: outlook.late_ms,
            })
            .collect();
        let shapes = self.rooms.iter().map(|room| &room.record.profile.shape);
        let workers = shapes.map(|shape| self.unit_of_work.share(shape)).sum();
        order_flows(&flows, workers, self.view.now.0)
    }

    /// Returns whether a flow is within what belongs to its customer and has tasks that never had a place.
    ///
    /// What was displaced after it had begun waits its turn, or two such flows would displace each other
    /// for ever.
    fn is_owed(&self, flow: FlowId) -> bool {
        let record = self.view.flows.flows.get(&flow);
        record.is_some_and(|record| {
            !record.has_fully_started() && self.needs.is_covered(self.view.flows, record)
        })
    }

    /// Stops what would be lost with a backend server that leaves.
    fn evacuate(&mut self) {
        for run in evacuations(self.view, &self.times) {
            let now_ms = self.view.now.0;
            self.rooms
                .iter_mut()
                .for_each(|room| room.stop(run, now_ms));
            self.round.stops.push(StopOrder {
                run,
                cause: StopCause::Moved,
            });
        }
    }

    /// Places a unit, makes room for it, or keeps room for it.
    fn serve(&mut self, unit: &WorkUnit<'_>) {
        let is_urgent = unit.is_urgent();
        let may_fit = self.most_free.can_hold(&unit.spec.shape);
        if !may_fit && !is_urgent && self.kept_units >= MAX_KEPT_UNITS {
            return;
        }
        let outgrows = outgrows_racks(unit, &self.rooms);
        let end_ms = self.end_ms(unit);
        let usable = |room: &BackendRoom<'_>| room.usable(end_ms);
        let plan = match is_urgent {
            _ if !may_fit => None,
            true => find_places(unit, &self.rooms, &|room| room.unclaimed(), outgrows),
            false => find_places(unit, &self.rooms, &usable, outgrows),
        };
        match plan {
            Some(plan) => self.place(unit, &plan),
            None if is_urgent => self.reclaim(unit, outgrows),
            None => self.keep_room(unit, outgrows),
        }
    }

    /// Returns when a unit that is placed now is done, if it is a long one.
    fn end_ms(&self, unit: &WorkUnit<'_>) -> u64 {
        let timed = TimedRun {
            queue: &unit.queue().key,
            estimate: unit.spec.estimate,
            elapsed_ms: unit.saved_ms,
            run: None,
        };
        self.view.now.0 + self.times.long_left_ms(timed)
    }

    fn place(&mut self, unit: &WorkUnit<'_>, plan: &PlacePlan) {
        let mut tasks = unit.tasks.iter();
        let mut order = PlacementOrder { tasks: Vec::new() };
        for (at, count) in plan {
            let room = &mut self.rooms[*at];
            for task in tasks.by_ref().take(*count) {
                room.free = room.free.minus(&unit.spec.shape);
                room.placed.push(*task);
                order.tasks.push((*task, room.id.clone()));
            }
        }
        self.round.places.push(order);
    }

    /// Gives an urgent unit room that is being given back, or stops others for it if that pays or is
    /// owed, and keeps room for it otherwise.
    fn reclaim(&mut self, unit: &WorkUnit<'_>, outgrows: bool) {
        let plan = find_places(unit, &self.rooms, &|room| room.unclaimed_soon(), outgrows);
        if let Some(plan) = plan {
            self.claim(unit, &plan);
            return;
        }
        if let Some(plan) = self.room_plan(unit, outgrows) {
            self.stop(&plan.stops);
            self.claim(unit, &plan.places);
            return;
        }
        self.keep_room(unit, outgrows);
    }

    /// Returns whom to stop for an urgent unit, if that pays or the unit is owed its places.
    fn room_plan(&self, unit: &WorkUnit<'_>, outgrows: bool) -> Option<RoomPlan> {
        let displace = DisplaceView {
            view: self.view,
            outlooks: &self.outlooks,
            needs: &self.needs,
            unit_of_work: self.unit_of_work,
        };
        let book = self.book.get_or_init(|| displace.run_book(&self.rooms));
        let rooms = (&self.rooms[..], book);
        let now_ms = self.view.now.0;
        let outlook = self.outlooks.get(&unit.tasks[0].flow)?;
        // Without room at any time, other units wait before this one for about as long as it takes.
        let usual_ms = self.times.usual_ms(&unit.queue().key, unit.spec.estimate);
        let wait_ms = self
            .earliest_room(unit, outgrows)
            .map_or(usual_ms, |(at_ms, _)| at_ms.saturating_sub(now_ms));
        let gain = gain_of_now(outlook, now_ms, wait_ms) * unit.part_of_step();
        let lower = displace.cheapest(unit, rooms, DisplaceReach::LowerRanks, outgrows);
        let paying = lower.clone().filter(|plan| plan.cost <= gain);
        let waited = self.view.now.since(unit.record.accepted);
        let is_owed = waited >= self.view.limits.reclaim_wait && self.is_owed(unit.tasks[0].flow);
        match paying {
            Some(plan) => Some(plan),
            None if !is_owed => None,
            None => lower
                .or_else(|| displace.cheapest(unit, rooms, DisplaceReach::LowerRanks, true))
                .or_else(|| displace.cheapest(unit, rooms, DisplaceReach::Borrowed, true))
                .or_else(|| displace.cheapest(unit, rooms, DisplaceReach::Anybody, true)),
        }
    }

    fn stop(&mut self, runs: &[(usize, RunKey)]) {
        for (at, run) in runs {
            self.rooms[*at].stop(*run, self.view.now.0);
            self.round.stops.push(StopOrder {
                run: *run,
                cause: StopCause::Displaced,
            });
        }
        if let Some(book) = self.book.get_mut() {
            book.stop(runs);
        }
    }

    /// Claims room that is free or about to be, for a unit that waits for it.
    fn claim(&mut self, unit: &WorkUnit<'_>, plan: &PlacePlan) {
        for (at, count) in plan {
            let room = &mut self.rooms[*at];
            (0..*count).for_each(|_| room.claim(unit.spec.shape));
        }
    }

    /// Keeps room for a large unit where it is free earliest, so that smaller ones don't pass it for
    /// ever.
    fn keep_room(&mut self, unit: &WorkUnit<'_>, outgrows: bool) {
        let is_large =
            unit.tasks.len() > 1 || self.unit_of_work.share(&unit.spec.shape) >= LARGE_SHARE;
        if !is_large || self.kept_units >= MAX_KEPT_UNITS {
            return;
        }
        if let Some((at_ms, plan)) = self.earliest_room(unit, outgrows) {
            self.kept_units += 1;
            for (at, count) in plan {
                let mut shape = TaskShape::default();
                (0..count).for_each(|_| shape = shape.plus(&unit.spec.shape));
                self.rooms[at].keep(shape, at_ms);
            }
        }
    }

    /// Returns when and where a unit has room at the earliest, without stopping anything.
    fn earliest_room(&self, unit: &WorkUnit<'_>, may_cross: bool) -> Option<(u64, PlacePlan)> {
        let groups = place_groups(unit, &self.rooms, may_cross);
        let in_groups = groups
            .iter()
            .filter_map(|places| self.earliest_in(unit, places));
        in_groups.min_by_key(|(at_ms, _)| *at_ms)
    }

    fn earliest_in(&self, unit: &WorkUnit<'_>, places: &[usize]) -> Option<(u64, PlacePlan)> {
        let now_ms = self.view.now.0;
        let from_ms = self.earliest_without_kept(unit, places)?;
        let times = places
            .iter()
            .flat_map(|at| self.rooms[*at].give_back_times());
        let times = times.chain([now_ms]).filter(|at_ms| *at_ms >= from_ms);
        let mut times: Vec<_> = times.collect();
        times.sort_unstable();
        times.dedup();
        times.into_iter().find_map(|at_ms| {
            let mut left = unit.tasks.len();
            let mut plan = Vec::new();
            for at in places {
                let room = &self.rooms[*at];
                let most = left.min(room.spread_left(unit));
                let free = room.free_at(at_ms);
                let count = fitting(&free, &unit.spec.shape, most);
                if count > 0 {
                    plan.push((*at, count));
                    left -= count;
                }
            }
            (left == 0).then_some((at_ms, plan))
        })
    }

    /// Returns when a unit would have room at the earliest if no room were kept for others.
    fn earliest_without_kept(&self, unit: &WorkUnit<'_>, places: &[usize]) -> Option<u64> {
        let now_ms = self.view.now.0;
        let wanted = unit.tasks.len();
        let slots = places.iter().flat_map(|at| {
            let room = &self.rooms[*at];
            room.slot_times(&unit.spec.shape, wanted.min(room.spread_left(unit)), now_ms)
        });
        let mut slots: Vec<_> = slots.collect();
        let last = wanted.checked_sub(1)?;
        (last < slots.len()).then(|| *slots.select_nth_unstable(last).1)
    }
}
