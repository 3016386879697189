//! Selection of workers for the members of a gang.

use roseridge_model::{
    AdjacencyRule,
    GangShape, //
};

use crate::cluster_capacity::ClusterCapacity;

/// Returns a worker for each member, as positions in the view, or `None` if the gang doesn't fit.
///
/// `capacity` returns the number of members that a worker can hold, and `cost` the cost of using
/// the worker. Of the worker groups that the adjacency rule allows and that can hold the whole
/// gang, the one with the lowest total cost is chosen. Within it, the cheapest workers are used
/// first. With costs that grow with free resources this is best fit: large free blocks stay
/// unfragmented.
pub(crate) fn find_placement(
    cluster: &ClusterCapacity<'_>,
    gang: &GangShape,
    capacity: impl Fn(usize) -> u16,
    cost: impl Fn(usize) -> i64,
) -> Option<Vec<usize>> {
    let members = gang.members;
    let offers = (0..cluster.workers.len()).filter_map(|worker| {
        let count = capacity(worker).min(members);
        (count > 0).then_some((worker, count))
    });
    let group_of = |worker: usize| match gang.adjacency {
        AdjacencyRule::Worker => worker,
        AdjacencyRule::Rack => cluster.workers[worker].rack,
        AdjacencyRule::Domain => cluster.workers[worker].domain,
        AdjacencyRule::Any => 0,
    };
    match gang.adjacency {
        AdjacencyRule::Worker => offers
            .filter(|(_, count)| *count >= members)
            .min_by_key(|(worker, _)| cost(*worker))
            .map(|(worker, _)| vec![worker; usize::from(members)]),
        rule => {
            let groups = match rule {
                AdjacencyRule::Rack => cluster.racks,
                AdjacencyRule::Domain => cluster.domains,
                _ => 1,
            };
            let offers = offers.map(|(worker, count)| WorkerOffer {
                cost: cost(worker),
                worker,
                count,
            });
            place_in_best_group(offers.collect(), groups, group_of, members)
        }
    }
}

/// The number of members that a worker can hold, and the cost of using it.
///
/// The derived order puts cheaper offers first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerOffer {
    cost: i64,
    worker: usize,
    count: u16,
}

fn place_in_best_group(
    mut offers: Vec<WorkerOffer>,
    groups: usize,
    group_of: impl Fn(usize) -> usize,
    members: u16,
) -> Option<Vec<usize>> {
    let mut totals = vec![(0u32, 0i64); groups];
    for offer in &offers {
        let total = &mut totals[group_of(offer.worker)];
        total.0 += u32::from(offer.count);
        total.1 += offer.cost;
    }
    let best = (0..groups)
        .filter(|group| totals[*group].0 >= u32::from(members))
        .min_by_key(|group| (totals[*group].1, *group))?;
    offers.retain(|offer| group_of(offer.worker) == best);
    offers.sort_unstable();
    let placement = offers
        .iter()
        .flat_map(|offer| std::iter::repeat_n(offer.worker, usize::from(offer.count)))
        .take(usize::from(members));
    Some(placement.collect())
}

/// Returns whether workers satisfy an adjacency rule.
pub(crate) fn is_adjacent(
    cluster: &ClusterCapacity<'_>,
    rule: AdjacencyRule,
    placement: &[usize],
) -> bool {
    let share_group = |key: &dyn Fn(usize) -> usize| {
        placement
            .windows(2)
            .all(|pair| key(pair[0]) == key(pair[1]))
    };
    match rule {
        AdjacencyRule::Worker => share_group(&|w| w),
        AdjacencyRule::Rack => share_group(&|w| cluster.workers[w].rack),
        AdjacencyRule::Domain => share_group(&|w| cluster.workers[w].domain),
        AdjacencyRule::Any => true,
    }
}
