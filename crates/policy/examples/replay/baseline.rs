//! Two baseline policies with the interface of `decide`.

use std::cmp::Reverse;

use roseridge_model::{
    AdjacencyRule,
    ClassUrgency,
    GangShape, //
};
use roseridge_policy::{
    ClusterView,
    PolicyDecision,
    WaitingJob,
    WorkerView, //
};

/// First-come, first-served with first fit; jobs that don't fit are skipped.
pub(crate) fn first_come_first_served(view: &ClusterView<'_>) -> Vec<PolicyDecision> {
    let mut order: Vec<_> = view.waiting.iter().collect();
    order.sort_by_key(|w| (w.accepted, w.job));
    schedule(view, &order, false)
}

/// Most urgent first. An urgent job that doesn't fit preempts at most one less urgent gang, whose
/// members are at least as large as its own; that suffices for jobs of one member.
pub(crate) fn priorities(view: &ClusterView<'_>) -> Vec<PolicyDecision> {
    let mut order: Vec<_> = view.waiting.iter().collect();
    order.sort_by_key(|w| (Reverse(w.rule.urgency), w.accepted, w.job));
    schedule(view, &order, true)
}

/// Places jobs in the given order; with `can_preempt`, urgent jobs that don't fit preempt others.
fn schedule(
    view: &ClusterView<'_>,
    order: &[&WaitingJob<'_>],
    can_preempt: bool,
) -> Vec<PolicyDecision> {
    let mut workers = view.workers.clone();
    let mut decisions = Vec::new();
    let mut stopping = view.placed.iter().filter(|g| g.stopping).count();
    for waiting in order {
        match first_fit(&workers, waiting.gang) {
            Some(placement) => {
                for worker in &placement {
                    let worker = &mut workers[*worker];
                    worker.free = worker.free.minus(&waiting.gang.member);
                    worker.free_slots -= 1;
                }
                let names = placement.iter().map(|w| workers[*w].name.clone());
                decisions.push(PolicyDecision::Place {
                    job: waiting.job,
                    workers: names.collect(),
                });
            }
            None if can_preempt && waiting.rule.urgency == ClassUrgency::Urgent => {
                if stopping > 0 {
                    stopping -= 1;
                    continue;
                }
                let is_preempted = |d: &PolicyDecision, job| matches!(d, PolicyDecision::Preempt { job: j, .. } if *j == job);
                let victims = view.placed.iter().filter(|g| {
                    !g.stopping
                        && g.rule.urgency < ClassUrgency::Urgent
                        && (g.rule.checkpointable || g.rule.idempotent)
                        && g.gang.member.can_hold(&waiting.gang.member)
                        && g.workers.iter().any(|w| workers[*w].schedulable)
                        && !decisions.iter().any(|d| is_preempted(d, g.job))
                });
                if let Some(victim) =
                    victims.min_by_key(|g| (g.rule.urgency, g.gang.members, g.job))
                {
                    decisions.push(PolicyDecision::Preempt {
                        job: victim.job,
                        in_favour_of: waiting.job,
                    });
                }
            }
            None => {}
        }
    }
    decisions
}

/// Returns the first placement that satisfies the adjacency rule.
fn first_fit(workers: &[WorkerView<'_>], gang: &GangShape) -> Option<Vec<usize>> {
    let group = |w: usize| match gang.adjacency {
        AdjacencyRule::Worker => workers[w].name.as_str(),
        AdjacencyRule::Rack => workers[w].shape.rack.as_str(),
        AdjacencyRule::Domain => workers[w].shape.domain.as_str(),
        AdjacencyRule::Any => "",
    };
    let mut tried: Vec<&str> = Vec::new();
    for first in 0..workers.len() {
        if tried.contains(&group(first)) {
            continue;
        }
        tried.push(group(first));
        let mut placement = Vec::new();
        for (index, worker) in workers
            .iter()
            .enumerate()
            .filter(|(w, _)| group(*w) == group(first))
        {
            let mut free = worker.free;
            let mut slots = worker.free_slots;
            while worker.schedulable && slots > 0 && free.can_hold(&gang.member) {
                free = free.minus(&gang.member);
                slots -= 1;
                placement.push(index);
                if placement.len() == usize::from(gang.members) {
                    return Some(placement);
                }
            }
        }
    }
    None
}
