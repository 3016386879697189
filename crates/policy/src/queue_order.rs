//! The order in which a scheduling pass considers waiting jobs.

use std::{
    cmp::Reverse,
    collections::VecDeque, //
};

use roseridge_model::{
    ClassUrgency,
    FastSet,
    JobId, //
};

use crate::{
    ClusterView,
    WaitingJob, //
};

/// The waiting jobs, grouped by the rule that determines their order.
#[derive(Debug, Default)]
pub(crate) struct QueueOrder<'v, 'a> {
    /// Urgent jobs, ordered by latest start.
    pub(crate) urgent: Vec<&'v WaitingJob<'a>>,
    /// Non-urgent jobs in whose favour others were preempted or that hold reservations, the more
    /// urgent ones first.
    pub(crate) prioritized: Vec<&'v WaitingJob<'a>>,
    /// Jobs that have waited longer than their class allows, ordered by latest start.
    pub(crate) overdue: Vec<&'v WaitingJob<'a>>,
    /// Normal jobs of each customer, oldest first.
    pub(crate) normal: Vec<VecDeque<&'v WaitingJob<'a>>>,
    /// Bulk jobs of each customer, oldest first.
    pub(crate) bulk: Vec<VecDeque<&'v WaitingJob<'a>>>,
    /// Jobs in retry backoff after a failure.
    pub(crate) backing_off: Vec<&'v WaitingJob<'a>>,
}

impl<'v, 'a> QueueOrder<'v, 'a> {
    pub(crate) fn new(
        view: &'v ClusterView<'a>,
        customer: impl Fn(&WaitingJob<'a>) -> usize,
    ) -> Self {
        let customers = view.templates.len();
        let mut order = Self {
            normal: vec![VecDeque::new(); customers],
            bulk: vec![VecDeque::new(); customers],
            ..Self::default()
        };
        let prioritized = prioritized_jobs(view);
        for job in &view.waiting {
            let not_before = view.memory.jobs.get(&job.job).map(|h| h.not_before);
            match job.rule.urgency {
                _ if not_before.is_some_and(|at| at > view.now) => order.backing_off.push(job),
                ClassUrgency::Urgent => order.urgent.push(job),
                _ if prioritized.contains(&job.job) => order.prioritized.push(job),
                _ if job.latest_start() <= view.now => order.overdue.push(job),
                ClassUrgency::Normal => order.normal[customer(job)].push_back(job),
                ClassUrgency::Bulk => order.bulk[customer(job)].push_back(job),
            }
        }
        order.urgent.sort_by_key(|j| (j.latest_start(), j.job));
        order
            .prioritized
            .sort_by_key(|j| (Reverse(j.rule.urgency), j.job));
        order.overdue.sort_by_key(|j| (j.latest_start(), j.job));
        order
    }
}

/// Returns the jobs in whose favour others were preempted and the jobs that hold reservations.
fn prioritized_jobs(view: &ClusterView<'_>) -> FastSet<JobId> {
    let reservations = view.memory.plan.reservations.iter().map(|r| r.job);
    let preemptors = view.memory.preemptors.iter().copied();
    preemptors.chain(reservations).collect()
}
