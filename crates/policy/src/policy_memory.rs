//! What the decisions remember between rounds; a replicated state keeps it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    ClassName,
    CustomerName,
    DurationMs,
    JobId,
    UnixMillis,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    PolicyPlan,
    RunRatio,
    TokenBucket,
    WorkerHealth, //
};

/// Distinct workers on which a job may fail before it counts as at fault itself.
pub const FAULTY_JOB_WORKERS: usize = 2;
/// Retries that a customer may start at once.
const RETRY_BURST: u32 = 8;
/// Retries that a customer regains in a second.
const RETRIES_PER_SECOND: u32 = 1;
/// The pause before the first retry of a job; it doubles with each further one.
pub const INITIAL_RETRY_BACKOFF: DurationMs = DurationMs(500);
/// The longest pause before a retry of a job.
const MAX_RETRY_PAUSE: DurationMs = DurationMs(60_000);
/// The reasons that are kept of a job's failures, and the length of each in characters.
const KEPT_REASONS: usize = 3;
const REASON_CHARS: usize = 160;

/// What is remembered of a job that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobHistory {
    /// How often it was stopped for another job.
    #[serde(rename = "yields")]
    pub preemptions: u32,
    /// The job for which it was stopped last.
    pub stopped_for: Option<JobId>,
    /// The workers on which it failed.
    pub failed_on: BTreeSet<WorkerName>,
    /// The last reasons of its failures.
    pub reasons: Vec<String>,
    /// How often it was queued again after a failure or loss.
    pub retries: u32,
    /// The earliest time of its next start.
    pub not_before: UnixMillis,
}

/// Everything that the decisions remember.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyMemory {
    /// Guarantees' places, reservations and moves.
    pub plan: PolicyPlan,
    /// Corrections of run times.
    pub ratios: BTreeMap<CustomerName, BTreeMap<ClassName, RunRatio>>,
    /// Failures of workers; a worker without failures is absent.
    pub health: BTreeMap<WorkerName, WorkerHealth>,
    /// Histories of jobs; a job without history is absent.
    pub jobs: BTreeMap<JobId, JobHistory>,
    /// The waiting jobs that others were stopped for.
    pub owed: BTreeSet<JobId>,
    retry_budgets: BTreeMap<CustomerName, (TokenBucket, UnixMillis)>,
}

impl PolicyMemory {
    /// Returns the run-time correction of a customer's class.
    pub fn ratio(&self, customer: &CustomerName, class: &ClassName) -> RunRatio {
        let ratio = self.ratios.get(customer).and_then(|r| r.get(class));
        ratio.copied().unwrap_or_default()
    }

    /// Learns from a run that was not cut short.
    pub fn record_run(
        &mut self,
        customer: &CustomerName,
        class: &ClassName,
        declared: DurationMs,
        real: DurationMs,
    ) {
        let ratios = self.ratios.entry(customer.clone()).or_default();
        let ratio = ratios.entry(class.clone()).or_default();
        ratio.learn(declared, real);
    }

    /// Notes that a task ran to its end.
    pub fn record_success(&mut self, worker: &WorkerName, now: UnixMillis) {
        if let Some(health) = self.health.get_mut(worker) {
            health.record_success(now);
            if health.is_clear() {
                self.health.remove(worker);
            }
        }
    }

    /// Notes that a task failed; a job that fails on several workers clears them of it.
    pub fn record_failure(
        &mut self,
        worker: &WorkerName,
        job: JobId,
        reason: &str,
        now: UnixMillis,
    ) {
        let history = self.jobs.entry(job).or_default();
        history.failed_on.insert(worker.clone());
        let reason: String = reason.chars().take(REASON_CHARS).collect();
        history.reasons.push(format!("{worker}: {reason}"));
        if history.reasons.len() > KEPT_REASONS {
            history.reasons.remove(0);
        }
        match history.failed_on.len() >= FAULTY_JOB_WORKERS {
            false => {
                let health = self.health.entry(worker.clone()).or_default();
                health.record_failure(job, now);
            }
            true => {
                for worker in &history.failed_on {
                    if let Some(health) = self.health.get_mut(worker) {
                        health.acquit(job);
                    }
                }
                // A worker that is being probed has failed its probe, whoever's fault it was.
                if let Some(health) = self.health.get_mut(worker)
                    && health.state(now) == crate::HealthState::Probing
                {
                    health.record_failure(job, now);
                }
            }
        }
    }

    /// Notes that a job was stopped for another one.
    pub fn record_preemption(&mut self, job: JobId, in_favour_of: JobId) {
        let history = self.jobs.entry(job).or_default();
        history.preemptions += 1;
        history.stopped_for = Some(in_favour_of);
        self.owed.insert(in_favour_of);
    }

    /// Notes that a job got its places.
    pub fn record_placement(&mut self, job: JobId) {
        self.owed.remove(&job);
    }

    /// Queues a retry: the customer's budget and the job's own pause say when it may start.
    pub fn schedule_retry(&mut self, customer: &CustomerName, job: JobId, now: UnixMillis) {
        let fresh = (TokenBucket::full(RETRY_BURST, now), now);
        let (bucket, last) = self.retry_budgets.entry(customer.clone()).or_insert(fresh);
        let granted = match bucket.try_take(RETRIES_PER_SECOND, RETRY_BURST, now) {
            true => now,
            false => {
                let gap = DurationMs(1_000 / u64::from(RETRIES_PER_SECOND));
                (*last).max(now).plus(gap)
            }
        };
        *last = granted;
        let history = self.jobs.entry(job).or_default();
        let pause = INITIAL_RETRY_BACKOFF.0 << history.retries.min(16);
        history.retries += 1;
        let paused = now.plus(DurationMs(pause.min(MAX_RETRY_PAUSE.0)));
        history.not_before = granted.max(paused);
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.owed.remove(&job);
    }
}
