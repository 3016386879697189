//! Which runs make room for a more urgent unit, and whether that pays.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    FlowId,
    RunKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    flow_outlook::{
        FlowOutlook,
        LATE_PART,
        WorkerUnit, //
    },
    guarantee::UrgentNeeds,
    placement::{
        PlacePlan,
        place_groups, //
    },
    room_map::{
        BackendRoom,
        fitting, //
    },
    work_unit::WorkUnit, //
};

/// The weight of work that is thrown away: it is done again, and delays whatever waits meanwhile.
const LOST_WORK_WEIGHT: f64 = 0.9;
/// The work between two checkpoints that a stop throws away on average, in milliseconds.
const BETWEEN_CHECKPOINTS_MS: u64 = 250;
/// How long a displaced flow waits for another place, in milliseconds.
const WAIT_AGAIN_MS: u64 = 1_500;

/// Whom a unit may displace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DisplaceReach {
    /// Runs of lower ranks.
    LowerRanks,
    /// Runs of lower ranks, and urgent ones of customers beyond their guarantee.
    Borrowed,
    /// Every run of another flow.
    Anybody,
}

/// Runs that stop together: one run, or a whole gang.
#[derive(Debug, Clone)]
struct RunGroup {
    flow: FlowId,
    rank: u32,
    /// Whether the flow is urgent and within what belongs to its customer.
    is_covered: bool,
    is_stopping: bool,
    members: Vec<(usize, RunKey, TaskShape)>,
    cost: f64,
}

/// All runs that could make room, as they are when it is first needed in a round of decisions.
#[derive(Debug, Clone)]
pub(crate) struct RunBook {
    groups: Vec<RunGroup>,
    /// The groups with runs on each backend server, with what they take there.
    places: Vec<Vec<(usize, TaskShape)>>,
}

impl RunBook {
    /// Notes that runs were told to stop.
    pub(crate) fn stop(&mut self, runs: &[(usize, RunKey)]) {
        for (at, run) in runs {
            for (group, _) in &self.places[*at] {
                let group = &mut self.groups[*group];
                group.is_stopping |= group.members.iter().any(|(_, held, _)| held == run);
            }
        }
    }
}

/// What making room comes to.
#[derive(Debug, Clone)]
pub(crate) struct RoomPlan {
    pub(crate) places: PlacePlan,
    pub(crate) stops: Vec<(usize, RunKey)>,
    pub(crate) cost: f64,
}

/// What displacement is judged from.
pub(crate) struct DisplaceView<'a, 'v> {
    pub(crate) view: &'a DispatchView<'v>,
    pub(crate) outlooks: &'a BTreeMap<FlowId, FlowOutlook>,
    pub(crate) needs: &'a UrgentNeeds<'v>,
    pub(crate) unit_of_work: WorkerUnit,
}

impl DisplaceView<'_, '_> {
    /// Lists the runs that could make room, with what stopping them costs.
    pub(crate) fn run_book(&self, rooms: &[BackendRoom<'_>]) -> RunBook {
        let mut groups = BTreeMap::<RunKey, RunGroup>::new();
        for (at, room) in rooms.iter().enumerate() {
            for held in room.held.iter().filter(|held| !held.is_stopping) {
                let Some(flow) = self.view.flows.flows.get(&held.run.task.flow) else {
                    continue;
                };
                let key = self.group_key(held.run);
                let group = groups.entry(key).or_insert_with(|| RunGroup {
                    flow: held.run.task.flow,
                    rank: flow.queue.rank,
                    is_covered: self.needs.is_covered(self.view.flows, flow),
                    is_stopping: false,
                    members: Vec::new(),
                    cost: 0.0,
                });
                group.members.push((at, held.run, held.shape));
            }
        }
        let mut groups: Vec<_> = groups.into_values().collect();
        let mut places = vec![Vec::<(usize, TaskShape)>::new(); rooms.len()];
        for (number, group) in groups.iter_mut().enumerate() {
            group.cost = self.cost(group);
            for (at, _, shape) in &group.members {
                match places[*at].last_mut() {
                    Some((last, sum)) if *last == number => *sum = sum.plus(shape),
                    _ => places[*at].push((number, *shape)),
                }
            }
        }
        RunBook { groups, places }
    }

    /// Returns the cheapest way to make room for a unit by stopping others, within one rack if that
    /// matters to it and `may_cross` does not allow otherwise.
    pub(crate) fn cheapest(
        &self,
        unit: &WorkUnit<'_>,
        (rooms, book): (&[BackendRoom<'_>], &RunBook),
        reach: DisplaceReach,
        may_cross: bool,
    ) -> Option<RoomPlan> {
        let groups = book.groups.iter();
        let allowed: Vec<_> = groups.map(|g| may_displace(unit, g, reach)).collect();
        if !allowed.contains(&true) {
            return None;
        }
        let choice = GroupChoice { book, allowed };
        let places = place_groups(unit, rooms, may_cross);
        let plans = places
            .iter()
            .filter_map(|places| make_room(unit, rooms, places, &choice));
        plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns what names the runs that stop together with this one.
    fn group_key(&self, run: RunKey) -> RunKey {
        let flow = self.view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        match spec {
            Some(spec) if spec.gang => {
                let mut first = run;
                first.task.index = 0;
                first
            }
            _ => run,
        }
    }

    /// Returns what stopping a group costs: the work thrown away, and its flow's being late.
    fn cost(&self, group: &RunGroup) -> f64 {
        let Some((_, run, _)) = group.members.first() else {
            return 0.0;
        };
        let flow = self.view.flows.flows.get(&run.task.flow);
        let spec = flow.and_then(|flow| flow.step_spec(run.task));
        let (Some(flow), Some(spec)) = (flow, spec) else {
            return 0.0;
        };
        let placed =
            group
                .members
                .iter()
                .filter_map(|(_, run, _)| match &flow.task(run.task)?.phase {
                    roseridge_flow::TaskPhase::Placed { at, .. } => {
                        Some(self.view.now.since(*at).0)
                    }
                    _ => None,
                });
        let worked_ms = placed.max().unwrap_or(0);
        let lost_ms = match spec.checkpointing {
            true => worked_ms.min(BETWEEN_CHECKPOINTS_MS) + self.view.limits.restore_time.0,
            false => worked_ms,
        };
        let shares = group.members.iter();
        let share: f64 = shares
            .map(|(_, _, shape)| self.unit_of_work.share(shape))
            .sum();
        let lost_work = share * lost_ms as f64 / 1_000.0;
        let lateness = self.outlooks.get(&run.task.flow).map_or(0.0, |outlook| {
            let now_ms = self.view.now.0;
            let before_ms = now_ms + outlook.chain_left_ms;
            let after_ms = before_ms + lost_ms + WAIT_AGAIN_MS;
            match before_ms <= outlook.due_ms && after_ms > outlook.due_ms {
                true => outlook.worth * (1.0 - LATE_PART),
                false => 0.0,
            }
        });
        LOST_WORK_WEIGHT * lost_work + lateness
    }
}

/// Returns what a unit gains by beginning now rather than after others have ended by themselves.
pub(crate) fn gain_of_now(outlook: &FlowOutlook, now_ms: u64, wait_ms: u64) -> f64 {
    let worth_at = |end_ms: u64| match end_ms {
        end if end <= outlook.due_ms => outlook.worth,
        end if end <= outlook.late_ms => outlook.worth * LATE_PART,
        _ => 0.0,
    };
    let now_end = now_ms + outlook.chain_left_ms;
    worth_at(now_end) - worth_at(now_end + wait_ms)
}

fn may_displace(unit: &WorkUnit<'_>, group: &RunGroup, reach: DisplaceReach) -> bool {
    let is_other = group.flow != unit.tasks[0].flow;
    match reach {
        _ if group.is_stopping => false,
        _ if group.rank > unit.queue().rank => true,
        DisplaceReach::LowerRanks => false,
        DisplaceReach::Borrowed => is_other && !group.is_covered,
        DisplaceReach::Anybody => is_other,
    }
}

/// The groups that a unit may displace.
struct GroupChoice<'a> {
    book: &'a RunBook,
    allowed: Vec<bool>,
}

/// What one more task on a backend server costs, and the groups that stop for it.
#[derive(Debug, Clone)]
struct RoomOffer {
    cost: f64,
    more: Vec<usize>,
}

/// Gives one task after the other the place that costs least, among these backend servers.
fn make_room(
    unit: &WorkUnit<'_>,
    rooms: &[BackendRoom<'_>],
    places: &[usize],
    choice: &GroupChoice<'_>,
) -> Option<RoomPlan> {
    let groups = &choice.book.groups;
    let mut chosen = BTreeSet::<usize>::new();
    let mut counts = BTreeMap::<usize, usize>::new();
    let offer_at = |at: usize, count: usize, chosen: &BTreeSet<usize>| {
        if count > rooms[at].spread_left(unit) {
            return None;
        }
        let more = choice.groups_for(unit, &rooms[at], (at, count), chosen)?;
        let cost = more.iter().map(|group| groups[*group].cost).sum();
        Some(RoomOffer { cost, more })
    };
    let mut offers: BTreeMap<usize, RoomOffer> = places
        .iter()
        .filter_map(|at| Some((*at, offer_at(*at, 1, &chosen)?)))
        .collect();
    for _ in 0..unit.tasks.len() {
        let keyed = offers.iter().map(|(at, offer)| {
            let free = rooms[*at].free.accelerators;
            (offer.cost, free, *at)
        });
        let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let (_, _, at) = best?;
        let more = offers.get(&at).map(|o| o.more.clone()).unwrap_or_default();
        *counts.entry(at).or_default() += 1;
        // Only places that lose runs, or get the task, cost something else now.
        let mut touched: BTreeSet<_> = more
            .iter()
            .flat_map(|group| groups[*group].members.iter().map(|(at, _, _)| *at))
            .collect();
        touched.insert(at);
        chosen.extend(more);
        for at in touched.into_iter().filter(|at| places.contains(at)) {
            let count = counts.get(&at).copied().unwrap_or(0) + 1;
            match offer_at(at, count, &chosen) {
                Some(offer) => offers.insert(at, offer),
                None => offers.remove(&at),
            };
        }
    }
    let stops = chosen.iter().flat_map(|group| &groups[*group].members);
    Some(RoomPlan {
        places: counts.into_iter().collect(),
        stops: stops.map(|(at, run, _)| (*at, *run)).collect(),
        cost: chosen.iter().map(|group| groups[*group].cost).sum(),
    })
}

impl GroupChoice<'_> {
    /// Returns the groups that must stop besides the chosen ones so that a backend server takes a number
    /// of tasks: the cheapest for the room that they give back here first.
    fn groups_for(
        &self,
        unit: &WorkUnit<'_>,
        room: &BackendRoom<'_>,
        (at, count): (usize, usize),
        chosen: &BTreeSet<usize>,
    ) -> Option<Vec<usize>> {
        let groups = &self.book.groups;
        let here = &self.book.places[at];
        let given = here.iter().filter(|(group, _)| chosen.contains(group));
        let mut free = given.fold(room.unclaimed_soon(), |sum, (_, shape)| sum.plus(shape));
        let holds = |free: &TaskShape| fitting(free, &unit.spec.shape, count) >= count;
        let mut more = Vec::new();
        let mut left: Vec<_> = here
            .iter()
            .filter(|(group, _)| self.allowed[*group] && !chosen.contains(group))
            .collect();
        let price = |(group, shape): &(usize, TaskShape)| {
            groups[*group].cost / f64::from(shape.accelerators.max(1))
        };
        left.sort_by(|a, b| price(a).total_cmp(&price(b)).then(a.0.cmp(&b.0)));
        for (group, shape) in left {
            if holds(&free) {
                break;
            }
            free = free.plus(shape);
            more.push(*group);
        }
        holds(&free).then_some(more)
    }
}
