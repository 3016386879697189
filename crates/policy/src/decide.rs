//! One round of decisions: who starts where, who yields, what is kept.

use std::{
    cmp::Reverse,
    collections::VecDeque, //
};

use roseridge_model::{
    ClassUrgency,
    DurationMs,
    JobId,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClusterView,
    JobExplanation,
    PolicyPlan,
    WaitReason,
    WaitingJob, //
    cluster_room::ClusterRoom,
    guarantee::{
        GuaranteeRound,
        keep_guarantees, //
    },
    order::WaitingOrder,
    reservation::{
        LARGE_GANG,
        RESERVATION_PATIENCE, //
    },
    round::{
        DecisionRound,
        JobNeed, //
    },
    yielding::YieldRight,
};

/// The jobs for which a round looks for a new reservation.
const NEW_RESERVATIONS: usize = 4;
/// The least time between two moves of running work.
const MOVE_INTERVAL: DurationMs = DurationMs(30_000);

/// One decision, with what it rests on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyDecision {
    /// Give the members of a job their places.
    Place {
        /// The job.
        job: JobId,
        /// A worker for each member, in the members' order.
        workers: Vec<WorkerName>,
    },
    /// Stop a gang so that another job can have its places.
    #[serde(rename = "yield")]
    Preempt {
        /// The job to stop.
        job: JobId,
        /// The job that it makes room for.
        in_favour_of: JobId,
    },
    /// Remember the guarantees' places and the reservations.
    Plan(PolicyPlan),
}

/// Decides what to do now.
pub fn decide(view: &ClusterView<'_>) -> Vec<PolicyDecision> {
    run_round(view, None).decisions
}

/// Explains where a job stands, if it waits or holds places.
pub fn explain(view: &ClusterView<'_>, job: JobId) -> Option<JobExplanation> {
    let waiting = view.waiting.iter().find(|w| w.job == job);
    let placed = view.placed.iter().find(|g| g.job == job);
    let customer = waiting.map(|w| w.customer).or(placed.map(|g| g.customer))?;
    let round = run_round(view, Some(job));
    let found = round.waits.iter().find(|(waits, _)| *waits == job);
    let waits = found.map(|(_, reason)| reason.clone());
    let text = match (&waits, placed) {
        (Some(reason), _) => reason.to_string(),
        (None, Some(gang)) if gang.stopping => "it is being stopped".to_owned(),
        (None, Some(gang)) if gang.released => "it runs".to_owned(),
        (None, Some(_)) => "its members are being prepared".to_owned(),
        (None, None) => "it gets its places now".to_owned(),
    };
    let history = view.memory.jobs.get(&job).cloned().unwrap_or_default();
    Some(JobExplanation {
        job,
        customer: customer.clone(),
        wait_reason: waits,
        text,
        stopped_for: history.stopped_for,
        preemptions: history.preemptions,
        failures: history.reasons,
        avoids: history.failed_on.into_iter().collect(),
    })
}

fn run_round<'v, 'a>(view: &'v ClusterView<'a>, asked: Option<JobId>) -> DecisionRound<'v, 'a> {
    let mut room = ClusterRoom::new(view);
    let guarantees = keep_guarantees(view, &mut room);
    let order = WaitingOrder::new(view, |w| room.customer(w.customer));
    let mut round = DecisionRound::new(view, room);
    round.keep_reservations();
    let mut unplaced = Vec::new();
    let (covered_urgent, urgent) = split_covered(&round, order.urgent);
    for waiting in covered_urgent {
        try_start(&mut round, waiting, &mut unplaced);
    }
    // What is stopped by right of a guarantee must not go to others that are more urgent or wait longer.
    let mut favoured = order.favoured;
    favoured.retain(|waiting| !try_guaranteed(&mut round, waiting));
    for waiting in urgent.into_iter().chain(favoured).chain(order.aged) {
        try_start(&mut round, waiting, &mut unplaced);
    }
    try_fairly(&mut round, order.normal, &mut unplaced);
    try_fairly(&mut round, order.bulk, &mut unplaced);
    for waiting in order.paused {
        let until = view.memory.jobs.get(&waiting.job).map(|h| h.not_before);
        let until = until.unwrap_or_default();
        round
            .waits
            .push((waiting.job, WaitReason::Paused { until }));
    }
    reserve_for_large(&mut round, &unplaced);
    if let Some(waiting) = unplaced.iter().find(|w| Some(w.job) == asked) {
        let need = round.need(waiting);
        round.waits.push((waiting.job, round.wait_reason(&need)));
    }
    finish(round, guarantees)
}

/// Splits jobs into those within their customer's guarantee and the rest.
fn split_covered<'v, 'a>(
    round: &DecisionRound<'v, 'a>,
    jobs: Vec<&'v WaitingJob<'a>>,
) -> (Vec<&'v WaitingJob<'a>>, Vec<&'v WaitingJob<'a>>) {
    jobs.into_iter().partition(|w| round.need(w).covered)
}

/// Tries the jobs of the customer next that holds the least beyond its guarantee.
fn try_fairly<'v, 'a>(
    round: &mut DecisionRound<'v, 'a>,
    mut queues: Vec<VecDeque<&'v WaitingJob<'a>>>,
    unplaced: &mut Vec<&'v WaitingJob<'a>>,
) {
    loop {
        let filled = queues.iter().enumerate().filter(|(_, q)| !q.is_empty());
        let next = filled
            .map(|(customer, _)| customer)
            .min_by_key(|c| (round.room.held[*c] - round.room.guaranteed[*c], *c));
        let waiting = next.and_then(|customer| queues[customer].pop_front());
        let Some(waiting) = waiting else {
            return;
        };
        try_start(round, waiting, unplaced);
    }
}

fn try_start<'v, 'a>(
    round: &mut DecisionRound<'v, 'a>,
    waiting: &'v WaitingJob<'a>,
    unplaced: &mut Vec<&'v WaitingJob<'a>>,
) {
    let need = round.need(waiting);
    let started = round.place(&need)
        || round.place_with_other_plan(&need)
        || reclaim(round, &need)
        || stop_for_kept(round, &need);
    if !started {
        unplaced.push(waiting);
    }
}

/// Starts a job on its guarantee's own places, or has work stopped there.
fn try_guaranteed<'v, 'a>(round: &mut DecisionRound<'v, 'a>, waiting: &'v WaitingJob<'a>) -> bool {
    let need = JobNeed {
        guaranteed_only: true,
        ..round.need(waiting)
    };
    need.covered && (round.place(&need) || reclaim(round, &need))
}

/// Has work stopped by right of the guarantee, or of urgency.
fn reclaim(round: &mut DecisionRound<'_, '_>, need: &JobNeed<'_>) -> bool {
    let customer = need.customer;
    let guaranteed: Vec<bool> = match round.room.guaranteed[customer] {
        _ if !need.covered => Vec::new(),
        _ => {
            let workers = round.room.workers.iter();
            workers
                .map(|w| w.claim(customer).guaranteed.slots() > 0)
                .collect()
        }
    };
    let within = |worker: usize| guaranteed[worker];
    // Less urgent work is stopped wherever that costs least; the guarantee's own places come last.
    (need.may_displace() && !need.guaranteed_only && stop_less_urgent(round, need))
        || (!guaranteed.is_empty() && round.stop_others(need, YieldRight::Guarantee, within))
}

/// Has less urgent work stopped; what is kept for a large gang is only taken by urgent work.
fn stop_less_urgent(round: &mut DecisionRound<'_, '_>, need: &JobNeed<'_>) -> bool {
    let job = need.waiting.job;
    let workers = round.room.workers.iter();
    let allowed: Vec<_> = workers
        .map(|w| need.is_urgent() || w.kept.iter().all(|(n, _)| round.kept[*n].job == job))
        .collect();
    round.stop_others(need, YieldRight::Urgency, |worker| allowed[worker])
}

/// Has smaller work stopped on the places that have been kept for a job long enough.
fn stop_for_kept(round: &mut DecisionRound<'_, '_>, need: &JobNeed<'_>) -> bool {
    let Some(kept) = round.reservation_of(need.waiting.job) else {
        return false;
    };
    let waited = round.view.now.since(kept.since);
    let places = kept.places.clone();
    waited >= RESERVATION_PATIENCE
        && round.stop_others(need, YieldRight::Reservation, |w| places.contains(&w))
}

/// Keeps places for the largest gangs, and for aged jobs, that found none.
fn reserve_for_large<'v, 'a>(round: &mut DecisionRound<'v, 'a>, unplaced: &[&'v WaitingJob<'a>]) {
    let now = round.view.now;
    let is_aged = |w: &WaitingJob<'_>| w.latest_start() <= now;
    let mut wanting: Vec<_> = unplaced
        .iter()
        .filter(|w| w.gang.accelerators() >= LARGE_GANG || is_aged(w))
        .filter(|w| w.rule.urgency != ClassUrgency::Urgent)
        .filter(|w| round.reservation_of(w.job).is_none())
        .collect();
    wanting.sort_by_key(|w| {
        let aged = is_aged(w);
        let latest = aged.then(|| w.latest_start());
        let size = Reverse(w.gang.accelerators());
        (!aged, latest, Reverse(w.rule.urgency), size, w.job)
    });
    for waiting in wanting.into_iter().take(NEW_RESERVATIONS) {
        let need = round.need(waiting);
        round.reserve(&need);
    }
}

/// Adds the move of this round and the plan, if it changed.
fn finish<'v, 'a>(
    mut round: DecisionRound<'v, 'a>,
    guarantees: GuaranteeRound,
) -> DecisionRound<'v, 'a> {
    let guarantees = round.replanned.take().unwrap_or(guarantees);
    let known = &round.view.memory.plan;
    let now = round.view.now;
    let may_move = now.since(known.moved) >= MOVE_INTERVAL;
    let moved = may_move && round.move_one();
    let kept = round.kept.iter().filter(|k| !k.places.is_empty());
    let plan = PolicyPlan {
        guarantees: guarantees.places,
        degraded: guarantees.degraded,
        reservations: kept.map(|k| k.named(round.view)).collect(),
        replanned: if guarantees.replanned {
            now
        } else {
            known.replanned
        },
        open_workers: if guarantees.replanned {
            round.room.open_workers()
        } else {
            known.open_workers
        },
        moved: if moved { now } else { known.moved },
    };
    if plan != *known {
        round.decisions.insert(0, PolicyDecision::Plan(plan));
    }
    round
}
