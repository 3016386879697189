//! Placement of the guaranteed shapes, and the check that they can be reclaimed.

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
    GuaranteePlacement,
    cluster_capacity::ClusterCapacity,
    placement::{
        find_placement,
        is_adjacent, //
    },
    resource_vector::ResourceVector, //
};

/// The minimum time between two replans of all guarantees, unless the number of schedulable workers
/// or the degraded shapes change.
const REPLAN_INTERVAL: DurationMs = DurationMs(60_000);

/// One guaranteed shape of a template.
#[derive(Debug, Clone, Copy)]
struct GuaranteedShape<'a> {
    template: &'a CustomerTemplate,
    shape: u16,
    gang: &'a GangShape,
}

impl GuaranteedShape<'_> {
    /// Returns the sort key by which shapes are placed when not all of them fit.
    fn priority_order(&self) -> (u32, Reverse<u64>) {
        (self.template.degrade_rank, self.size_order())
    }

    /// Returns the sort key that puts the largest shapes first.
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

/// The placements of guaranteed shapes in one pass.
#[derive(Debug, Default)]
pub(crate) struct GuaranteePlan {
    pub(crate) placements: Vec<GuaranteePlacement>,
    pub(crate) degraded: Vec<DegradedGuarantee>,
    /// Whether all guarantees were planned from scratch.
    pub(crate) replanned: bool,
}

fn guaranteed_shapes<'a>(view: &ClusterView<'a>) -> Vec<GuaranteedShape<'a>> {
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

/// Keeps the placements that are still valid, places the other shapes, and sets the resources aside
/// in `cluster`.
///
/// Replans all guarantees if some shapes have no placement, and either one of them was not degraded
/// before or the last replan is outdated.
pub(crate) fn place_guarantees(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
) -> GuaranteePlan {
    let previous = &view.memory.plan;
    let mut plan = GuaranteePlan::default();
    let mut missing = Vec::new();
    let mut shapes = guaranteed_shapes(view);
    shapes.sort_by_key(GuaranteedShape::priority_order);
    for shape in &shapes {
        let known = previous
            .guarantees
            .iter()
            .find(|known| known.shape == shape.shape && known.customer == shape.template.customer);
        match known.and_then(|known| resolve_workers(view, known)) {
            Some(placement) if add_guarantee_if_valid(view, cluster, shape, &placement) => {
                plan.placements
                    .push(to_guarantee_placement(view, shape, &placement));
            }
            _ => missing.push(*shape),
        }
    }
    missing.sort_by_key(GuaranteedShape::size_order);
    missing.retain(
        |shape| match find_guarantee_placement(view, cluster, shape) {
            Some(placement) => {
                add_guarantee(view, cluster, shape, &placement);
                plan.placements
                    .push(to_guarantee_placement(view, shape, &placement));
                false
            }
            None => true,
        },
    );
    let schedulable_workers = cluster.schedulable_workers();
    let is_stale = view.now.since(previous.last_replan) >= REPLAN_INTERVAL
        || schedulable_workers != previous.schedulable_workers;
    let is_newly_degraded = missing
        .iter()
        .any(|m| !previous.degraded.contains(&m.degraded()));
    if !missing.is_empty() && (is_newly_degraded || is_stale) {
        return replan(view, cluster, shapes);
    }
    missing.sort_by_key(GuaranteedShape::priority_order);
    plan.degraded = missing.iter().map(GuaranteedShape::degraded).collect();
    plan
}

/// Plans all guarantees from scratch on the given capacity.
pub(crate) fn replan_all(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
) -> GuaranteePlan {
    replan(view, cluster, guaranteed_shapes(view))
}

/// Plans all guarantees from scratch: the largest shapes first if all of them fit this way,
/// otherwise in the order of their degrade ranks.
fn replan(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
    mut shapes: Vec<GuaranteedShape<'_>>,
) -> GuaranteePlan {
    shapes.sort_by_key(GuaranteedShape::size_order);
    let mut plan = plan_in_order(view, cluster, &shapes);
    if !plan.degraded.is_empty() {
        shapes.sort_by_key(GuaranteedShape::priority_order);
        plan = plan_in_order(view, cluster, &shapes);
    }
    plan.replanned = true;
    plan
}

/// Drops all placements of guarantees and places the shapes in the given order.
fn plan_in_order(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
    shapes: &[GuaranteedShape<'_>],
) -> GuaranteePlan {
    for worker in &mut cluster.workers {
        let customers: Vec<_> = worker.claims.iter().map(|c| c.customer).collect();
        for customer in customers {
            worker.change_claim(customer, |claim| {
                claim.guaranteed = ResourceVector::default()
            });
        }
    }
    let mut plan = GuaranteePlan::default();
    for shape in shapes {
        match find_guarantee_placement(view, cluster, shape) {
            Some(placement) => {
                add_guarantee(view, cluster, shape, &placement);
                plan.placements
                    .push(to_guarantee_placement(view, shape, &placement));
            }
            None => plan.degraded.push(shape.degraded()),
        }
    }
    plan
}

/// Returns the positions of a placement's workers, or `None` if one is unknown.
fn resolve_workers(view: &ClusterView<'_>, known: &GuaranteePlacement) -> Option<Vec<usize>> {
    let find = |name| view.workers.binary_search_by(|w| w.name.cmp(name)).ok();
    known.workers.iter().map(find).collect()
}

fn to_guarantee_placement(
    view: &ClusterView<'_>,
    shape: &GuaranteedShape<'_>,
    placement: &[usize],
) -> GuaranteePlacement {
    GuaranteePlacement {
        customer: shape.template.customer.clone(),
        shape: shape.shape,
        workers: placement
            .iter()
            .map(|w| view.workers[*w].name.clone())
            .collect(),
    }
}

fn find_guarantee_placement(
    view: &ClusterView<'_>,
    cluster: &ClusterCapacity<'_>,
    shape: &GuaranteedShape<'_>,
) -> Option<Vec<usize>> {
    let customer = cluster.customer(&shape.template.customer);
    let capacity = |worker: usize| {
        let member = ResourceVector::from_guarantee(&shape.gang.member, view.workers[worker].shape);
        let worker = &cluster.workers[worker];
        let claim = worker.claim(customer);
        let own_surplus = claim
            .non_preemptible
            .max(&claim.guaranteed)
            .minus(&claim.guaranteed);
        match worker.schedulable && !worker.probing {
            true => worker.slack.plus(&own_surplus).count_fitting(&member),
            false => 0,
        }
    };
    // Workers with the least slack come first; among equals, those with the most free accelerators.
    let cost = |worker: usize| {
        let worker = &cluster.workers[worker];
        worker.slack.accelerators() * 64 - worker.free.accelerators()
    };
    find_placement(cluster, shape.gang, capacity, cost)
}

/// Sets the resources of a guaranteed shape aside.
fn add_guarantee(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
    shape: &GuaranteedShape<'_>,
    placement: &[usize],
) {
    let customer = cluster.customer(&shape.template.customer);
    for worker in placement {
        let member =
            ResourceVector::from_guarantee(&shape.gang.member, view.workers[*worker].shape);
        cluster.workers[*worker].change_claim(customer, |claim| {
            claim.guaranteed = claim.guaranteed.plus(&member);
        });
    }
}

/// Sets the resources of a guaranteed shape aside if the placement is still valid.
///
/// Returns whether it is; if not, `cluster` is unchanged.
fn add_guarantee_if_valid(
    view: &ClusterView<'_>,
    cluster: &mut ClusterCapacity<'_>,
    shape: &GuaranteedShape<'_>,
    placement: &[usize],
) -> bool {
    let is_placeable = placement.len() == usize::from(shape.gang.members)
        && placement.iter().all(|w| cluster.workers[*w].schedulable)
        && is_adjacent(cluster, shape.gang.adjacency, placement);
    if !is_placeable {
        return false;
    }
    add_guarantee(view, cluster, shape, placement);
    let fits = |w: &usize| {
        cluster.workers[*w]
            .slack
            .can_hold(&ResourceVector::default())
    };
    if placement.iter().all(fits) {
        return true;
    }
    let customer = cluster.customer(&shape.template.customer);
    for worker in placement {
        let member =
            ResourceVector::from_guarantee(&shape.gang.member, view.workers[*worker].shape);
        cluster.workers[*worker].change_claim(customer, |claim| {
            claim.guaranteed = claim.guaranteed.minus(&member);
        });
    }
    false
}

/// A violation of the invariant that every guaranteed shape can be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanViolation {
    /// A guaranteed shape has no placement and isn't listed as degraded.
    #[snafu(display("guaranteed shape {shape} of customer {customer} has no placement"))]
    NoPlacement {
        /// The customer that owns the guarantee.
        customer: CustomerName,
        /// The position of the shape in the customer's template.
        shape: u16,
    },
    /// The placement of a guaranteed shape is invalid or in use by gangs that can't be preempted.
    #[snafu(display("guaranteed shape {shape} of customer {customer} can't be reclaimed"))]
    NotReclaimable {
        /// The customer that owns the guarantee.
        customer: CustomerName,
        /// The position of the shape in the customer's template.
        shape: u16,
    },
}

/// Checks that every guaranteed shape can be reclaimed.
///
/// Each shape that isn't listed as degraded must have a placement, disjoint from those of the other
/// shapes, whose resources are free, used by its customer, or used by gangs that can be preempted.
///
/// # Errors
///
/// Returns the first guaranteed shape that can't be reclaimed.
pub fn check_reclaim_plan(view: &ClusterView<'_>) -> Result<(), PlanViolation> {
    let mut cluster = ClusterCapacity::new(view);
    let plan = &view.memory.plan;
    for shape in guaranteed_shapes(view) {
        let customer = &shape.template.customer;
        let is_own = |c: &CustomerName, s: u16| s == shape.shape && c == customer;
        let known = plan
            .guarantees
            .iter()
            .find(|p| is_own(&p.customer, p.shape));
        let placement = known.and_then(|known| resolve_workers(view, known));
        match placement {
            Some(placement) if add_guarantee_if_valid(view, &mut cluster, &shape, &placement) => {}
            Some(_) => {
                return NotReclaimableSnafu {
                    customer: customer.clone(),
                    shape: shape.shape,
                }
                .fail();
            }
            None if plan.degraded.iter().any(|d| is_own(&d.customer, d.shape)) => {}
            None => {
                return NoPlacementSnafu {
                    customer: customer.clone(),
                    shape: shape.shape,
                }
                .fail();
            }
        }
    }
    Ok(())
}

/// Plans all guarantees from scratch for a view, and lists the shapes that can't be placed.
pub fn plan_guarantees(view: &ClusterView<'_>) -> crate::PolicyPlan {
    let mut cluster = ClusterCapacity::new(view);
    let plan = replan(view, &mut cluster, guaranteed_shapes(view));
    crate::PolicyPlan {
        guarantees: plan.placements,
        degraded: plan.degraded,
        last_replan: view.now,
        ..crate::PolicyPlan::default()
    }
}
