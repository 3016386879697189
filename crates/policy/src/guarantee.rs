//! The places that stand ready for the guaranteed shapes.

use std::cmp::Reverse;

use roseridge_model::{
    CustomerName,
    CustomerTemplate,
    DurationMs,
    GangShape, //
};
use snafu::Snafu;

use crate::{
    ClusterView,
    DegradedGuarantee,
    GuaranteePlacement, //
    cluster_room::ClusterRoom,
    placement::{
        choose_places,
        is_adjacent, //
    },
    room::Room,
};

/// The least time between two plans of all guarantees anew.
const REPLAN_INTERVAL: DurationMs = DurationMs(60_000);

/// One guaranteed shape of a template.
#[derive(Debug, Clone, Copy)]
struct GuaranteedShape<'a> {
    template: &'a CustomerTemplate,
    shape: u16,
    gang: &'a GangShape,
}

impl GuaranteedShape<'_> {
    /// The order in which shapes are kept when not all can be.
    fn keep_order(&self) -> (u32, Reverse<u64>) {
        (self.template.degrade_rank, self.size_order())
    }

    fn size_order(&self) -> Reverse<u64> {
        Reverse(self.gang.accelerators())
    }

    fn degraded(&self) -> DegradedGuarantee {
        DegradedGuarantee {
            customer: self.template.customer.clone(),
            shape: self.shape,
            accelerators: self.gang.accelerators(),
        }
    }
}

/// What became of the guarantees in a round.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeRound {
    pub(crate) places: Vec<GuaranteePlacement>,
    pub(crate) degraded: Vec<DegradedGuarantee>,
    pub(crate) replanned: bool,
}

fn shapes_of<'a>(view: &ClusterView<'a>) -> Vec<GuaranteedShape<'a>> {
    let templates = view.templates.values();
    let shapes = templates.flat_map(|template| {
        let gangs = (0u16..).zip(&template.guaranteed);
        gangs.map(move |(shape, gang)| GuaranteedShape {
            template,
            shape,
            gang,
        })
    });
    shapes.collect()
}

/// Keeps the places that still hold, finds places for the rest, and sets them aside in the room.
pub(crate) fn keep_guarantees(
    view: &ClusterView<'_>,
    room: &mut ClusterRoom<'_>,
) -> GuaranteeRound {
    let plan = &view.memory.plan;
    let mut round = GuaranteeRound::default();
    let mut missing = Vec::new();
    let mut shapes = shapes_of(view);
    shapes.sort_by_key(GuaranteedShape::keep_order);
    for shape in &shapes {
        let known = plan
            .guarantees
            .iter()
            .find(|place| place.shape == shape.shape && place.customer == shape.template.customer);
        match known.and_then(|place| known_places(view, place)) {
            Some(places) if set_aside_if_held(view, room, shape, &places) => {
                round.places.push(named(view, shape, &places));
            }
            _ => missing.push(*shape),
        }
    }
    missing.sort_by_key(GuaranteedShape::size_order);
    missing.retain(|shape| match find_guarantee(view, room, shape) {
        Some(places) => {
            set_aside(view, room, shape, &places);
            round.places.push(named(view, shape, &places));
            false
        }
        None => true,
    });
    let schedulable_workers = room.open_workers();
    let stale = view.now.since(plan.replanned) >= REPLAN_INTERVAL
        || schedulable_workers != plan.open_workers;
    let news = missing
        .iter()
        .any(|m| !plan.degraded.contains(&m.degraded()));
    if !missing.is_empty() && (news || stale) {
        return replan(view, room, shapes);
    }
    missing.sort_by_key(GuaranteedShape::keep_order);
    round.degraded = missing.iter().map(GuaranteedShape::degraded).collect();
    round
}

/// Plans all guarantees anew on what a room holds.
pub(crate) fn replan_all(view: &ClusterView<'_>, room: &mut ClusterRoom<'_>) -> GuaranteeRound {
    replan(view, room, shapes_of(view))
}

/// Plans all guarantees anew: together if they fit, else in the order in which they are kept.
fn replan(
    view: &ClusterView<'_>,
    room: &mut ClusterRoom<'_>,
    mut shapes: Vec<GuaranteedShape<'_>>,
) -> GuaranteeRound {
    shapes.sort_by_key(GuaranteedShape::size_order);
    let mut round = plan_in_order(view, room, &shapes);
    if !round.degraded.is_empty() {
        shapes.sort_by_key(GuaranteedShape::keep_order);
        round = plan_in_order(view, room, &shapes);
    }
    round.replanned = true;
    round
}

fn plan_in_order(
    view: &ClusterView<'_>,
    room: &mut ClusterRoom<'_>,
    shapes: &[GuaranteedShape<'_>],
) -> GuaranteeRound {
    for worker in &mut room.workers {
        let customers: Vec<_> = worker.claims.iter().map(|c| c.customer).collect();
        for customer in customers {
            worker.change_claim(customer, |claim| claim.guaranteed = Room::default());
        }
    }
    let mut round = GuaranteeRound::default();
    for shape in shapes {
        match find_guarantee(view, room, shape) {
            Some(places) => {
                set_aside(view, room, shape, &places);
                round.places.push(named(view, shape, &places));
            }
            None => round.degraded.push(shape.degraded()),
        }
    }
    round
}

fn known_places(view: &ClusterView<'_>, place: &GuaranteePlacement) -> Option<Vec<usize>> {
    let find = |name| view.workers.binary_search_by(|w| w.name.cmp(name)).ok();
    place.workers.iter().map(find).collect()
}

fn named(
    view: &ClusterView<'_>,
    shape: &GuaranteedShape<'_>,
    places: &[usize],
) -> GuaranteePlacement {
    GuaranteePlacement {
        customer: shape.template.customer.clone(),
        shape: shape.shape,
        workers: places
            .iter()
            .map(|w| view.workers[*w].name.clone())
            .collect(),
    }
}

fn find_guarantee(
    view: &ClusterView<'_>,
    room: &ClusterRoom<'_>,
    shape: &GuaranteedShape<'_>,
) -> Option<Vec<usize>> {
    let customer = room.customer(&shape.template.customer);
    let capacity = |worker: usize| {
        let member = Room::of_guarantee(&shape.gang.member, view.workers[worker].shape);
        let worker = &room.workers[worker];
        let claim = worker.claim(customer);
        let own = claim.firm.max(&claim.guaranteed).minus(&claim.guaranteed);
        match worker.schedulable && !worker.probing {
            true => worker.slack.plus(&own).count(&member),
            false => 0,
        }
    };
    // The fullest places first; among equals, those that nobody else uses now.
    let cost = |worker: usize| {
        let worker = &room.workers[worker];
        worker.slack.accelerators() * 64 - worker.free.accelerators()
    };
    choose_places(room, shape.gang, capacity, cost)
}

fn set_aside(
    view: &ClusterView<'_>,
    room: &mut ClusterRoom<'_>,
    shape: &GuaranteedShape<'_>,
    places: &[usize],
) {
    let customer = room.customer(&shape.template.customer);
    for place in places {
        let member = Room::of_guarantee(&shape.gang.member, view.workers[*place].shape);
        room.workers[*place].change_claim(customer, |claim| {
            claim.guaranteed = claim.guaranteed.plus(&member);
        });
    }
}

/// Sets places aside if they still do; leaves the room as it was if not.
fn set_aside_if_held(
    view: &ClusterView<'_>,
    room: &mut ClusterRoom<'_>,
    shape: &GuaranteedShape<'_>,
    places: &[usize],
) -> bool {
    let whole = places.len() == usize::from(shape.gang.members)
        && places.iter().all(|w| room.workers[*w].schedulable)
        && is_adjacent(room, shape.gang.adjacency, places);
    if !whole {
        return false;
    }
    set_aside(view, room, shape, places);
    let fits = |w: &usize| room.workers[*w].slack.can_hold(&Room::default());
    if places.iter().all(fits) {
        return true;
    }
    let customer = room.customer(&shape.template.customer);
    for place in places {
        let member = Room::of_guarantee(&shape.gang.member, view.workers[*place].shape);
        room.workers[*place].change_claim(customer, |claim| {
            claim.guaranteed = claim.guaranteed.minus(&member);
        });
    }
    false
}

/// What breaks the promise that every guaranteed shape can be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanViolation {
    /// A guaranteed shape has no places and isn't listed as degraded.
    #[snafu(display("shape {shape} of {customer} has no places"))]
    NoPlaces {
        /// The customer.
        customer: CustomerName,
        /// The position of the shape in its template.
        shape: u16,
    },
    /// The places of a guaranteed shape are held by work that can't be stopped.
    #[snafu(display("shape {shape} of {customer} can't be reclaimed"))]
    NotReclaimable {
        /// The customer.
        customer: CustomerName,
        /// The position of the shape in its template.
        shape: u16,
    },
}

/// Checks that a reclaim plan exists: each guaranteed shape that isn't listed as degraded has disjoint places
/// that are free, or hold work of its customer, or hold work that may be stopped now.
///
/// # Errors
///
/// Returns the first guaranteed shape for which the plan does not hold.
pub fn check_reclaim_plan(view: &ClusterView<'_>) -> Result<(), PlanViolation> {
    let mut room = ClusterRoom::new(view);
    let plan = &view.memory.plan;
    for shape in shapes_of(view) {
        let customer = &shape.template.customer;
        let is_own = |c: &CustomerName, s: u16| s == shape.shape && c == customer;
        let known = plan
            .guarantees
            .iter()
            .find(|p| is_own(&p.customer, p.shape));
        let places = known.and_then(|place| known_places(view, place));
        match places {
            Some(places) if set_aside_if_held(view, &mut room, &shape, &places) => {}
            Some(_) => {
                return NotReclaimableSnafu {
                    customer: customer.clone(),
                    shape: shape.shape,
                }
                .fail();
            }
            None if plan.degraded.iter().any(|d| is_own(&d.customer, d.shape)) => {}
            None => {
                return NoPlacesSnafu {
                    customer: customer.clone(),
                    shape: shape.shape,
                }
                .fail();
            }
        }
    }
    Ok(())
}

/// Plans all guarantees from scratch on what the view shows, and lists those that can't be kept.
pub fn plan_guarantees(view: &ClusterView<'_>) -> crate::PolicyPlan {
    let mut room = ClusterRoom::new(view);
    let round = replan(view, &mut room, shapes_of(view));
    crate::PolicyPlan {
        guarantees: round.places,
        degraded: round.degraded,
        replanned: view.now,
        ..crate::PolicyPlan::default()
    }
}
