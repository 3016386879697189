//! A brute-force oracle for the existence of a reclaim plan.

use std::collections::BTreeMap;

use roseridge_model::{
    AdjacencyRule,
    CustomerName,
    GangShape, //
};

use crate::small_cluster::{
    SmallCluster,
    WORKERS_PER_RACK, //
};

/// The number of accelerators that are assigned to each customer on each worker.
type AssignedAccelerators = BTreeMap<(CustomerName, usize), u32>;

/// Returns whether disjoint placements for all guaranteed shapes exist whose resources are free or
/// used by preemptible gangs.
///
/// Tries all combinations. Only accelerators are compared, since no other resource of the small
/// cluster is scarce.
pub(crate) fn plan_exists(cluster: &SmallCluster) -> bool {
    let templates = cluster.templates.values();
    let shapes: Vec<_> = templates
        .flat_map(|t| t.guaranteed.iter().map(|g| (t.customer.clone(), *g)))
        .collect();
    can_assign(cluster, &shapes, &mut BTreeMap::new())
}

/// Returns whether all shapes can be assigned in addition to those in `assigned`, which is
/// unchanged after the call.
fn can_assign(
    cluster: &SmallCluster,
    shapes: &[(CustomerName, GangShape)],
    assigned: &mut AssignedAccelerators,
) -> bool {
    let Some(((customer, gang), remaining)) = shapes.split_first() else {
        return (0..cluster.workers.len()).all(|w| fits(cluster, assigned, w));
    };
    let candidates = candidate_placements(cluster, gang);
    candidates.into_iter().any(|placement| {
        for worker in &placement {
            *assigned.entry((customer.clone(), *worker)).or_default() += gang.member.accelerators;
        }
        let is_assignable = placement.iter().all(|w| fits(cluster, assigned, *w))
            && can_assign(cluster, remaining, assigned);
        for worker in &placement {
            *assigned.entry((customer.clone(), *worker)).or_default() -= gang.member.accelerators;
        }
        is_assignable
    })
}

/// Returns every sorted placement on live workers that the adjacency rule allows.
fn candidate_placements(cluster: &SmallCluster, gang: &GangShape) -> Vec<Vec<usize>> {
    let mut placements: Vec<Vec<usize>> = vec![Vec::new()];
    for _ in 0..gang.members {
        let longer = placements.iter().flat_map(|placement| {
            let first = placement.last().copied().unwrap_or(0);
            (first..cluster.workers.len()).map(move |w| [placement.as_slice(), &[w]].concat())
        });
        placements = longer.collect();
    }
    placements.retain(|placement| {
        let group = |w: usize| match gang.adjacency {
            AdjacencyRule::Worker => w,
            AdjacencyRule::Rack => w / WORKERS_PER_RACK,
            AdjacencyRule::Domain | AdjacencyRule::Any => 0,
        };
        placement
            .iter()
            .all(|w| cluster.live[*w] && group(*w) == group(placement[0]))
    });
    placements
}

/// Returns whether the assigned accelerators and those of non-preemptible gangs fit on a worker.
fn fits(cluster: &SmallCluster, assigned: &AssignedAccelerators, worker: usize) -> bool {
    let needed = cluster.templates.keys().map(|customer| {
        let own = cluster
            .jobs
            .values()
            .filter(|j| j.customer == *customer && !j.stopping);
        let non_preemptible =
            own.filter(|j| !cluster.templates[customer].classes[&j.class].idempotent);
        let on_worker = non_preemptible
            .flat_map(|j| j.placement.iter().map(|p| (*p, j.gang.member.accelerators)));
        let held: u32 = on_worker
            .filter(|(p, _)| *p == worker)
            .map(|(_, a)| a)
            .sum();
        let assigned = assigned
            .get(&(customer.clone(), worker))
            .copied()
            .unwrap_or_default();
        held.max(assigned)
    });
    needed.sum::<u32>() <= cluster.workers[worker].1.total.accelerators
}
