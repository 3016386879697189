//! The state that scheduling passes carry over; the replicated state machine stores it.

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
    RunTimeRatio,
    TokenBucket,
    WorkerHealth, //
};

/// The number of distinct workers on which a job must fail before the job, not the workers, is
/// considered faulty.
pub const FAULTY_JOB_WORKERS: usize = 2;
/// The number of retries that a customer may start at once.
const RETRY_BURST: u32 = 8;
/// The number of retries by which a customer's budget refills each second.
const RETRIES_PER_SECOND: u32 = 1;
/// The backoff before the first retry of a job; it doubles with each further retry.
pub const INITIAL_RETRY_BACKOFF: DurationMs = DurationMs(500);
/// The upper bound of the backoff before a retry.
const MAX_RETRY_BACKOFF: DurationMs = DurationMs(60_000);
/// The number of failure reasons that are kept for a job.
const MAX_FAILURE_REASONS: usize = 3;
/// The length to which a failure reason is truncated, in characters.
const MAX_REASON_CHARS: usize = 160;

/// The preemptions, failures and retries of a job that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobHistory {
    /// The number of times the job was preempted.
    #[serde(rename = "yields")]
    pub preemptions: u32,
    /// The job in whose favour it was last preempted.
    pub stopped_for: Option<JobId>,
    /// The workers on which the job failed.
    pub failed_on: BTreeSet<WorkerName>,
    /// The reasons of its most recent failures, oldest first.
    pub reasons: Vec<String>,
    /// The number of times the job was queued again after a failure or the loss of a worker.
    pub retries: u32,
    /// The earliest time at which the job may start again.
    pub not_before: UnixMillis,
}

/// The state that scheduling passes carry over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyMemory {
    /// The placements of guarantees, the reservations and the latest migration.
    pub plan: PolicyPlan,
    /// The ratios of actual to declared run time, by customer and class.
    #[serde(rename = "ratios")]
    pub run_time_ratios: BTreeMap<CustomerName, BTreeMap<ClassName, RunTimeRatio>>,
    /// The health of workers; a worker without recorded failures is absent.
    pub health: BTreeMap<WorkerName, WorkerHealth>,
    /// The histories of jobs; a job without a history is absent.
    pub jobs: BTreeMap<JobId, JobHistory>,
    /// The waiting jobs in whose favour other jobs were preempted.
    #[serde(rename = "owed")]
    pub preemptors: BTreeSet<JobId>,
    /// The retry budget of each customer, with the latest start time granted from it.
    retry_budgets: BTreeMap<CustomerName, (TokenBucket, UnixMillis)>,
}

impl PolicyMemory {
    /// Returns the ratio of actual to declared run time for a customer's class.
    pub fn run_time_ratio(&self, customer: &CustomerName, class: &ClassName) -> RunTimeRatio {
        let run_time_ratio = self
            .run_time_ratios
            .get(customer)
            .and_then(|r| r.get(class));
        run_time_ratio.copied().unwrap_or_default()
    }

    /// Updates the run-time ratio from a run that completed without interruption.
    pub fn record_run(
        &mut self,
        customer: &CustomerName,
        class: &ClassName,
        declared: DurationMs,
        actual: DurationMs,
    ) {
        let run_time_ratios = self.run_time_ratios.entry(customer.clone()).or_default();
        let run_time_ratio = run_time_ratios.entry(class.clone()).or_default();
        run_time_ratio.record(declared, actual);
    }

    /// Records that a task completed on a worker.
    pub fn record_success(&mut self, worker: &WorkerName, now: UnixMillis) {
        if let Some(health) = self.health.get_mut(worker) {
            health.record_success(now);
            if health.has_no_failures() {
                self.health.remove(worker);
            }
        }
    }

    /// Records that a task of a job failed on a worker.
    ///
    /// Once a job has failed on [`FAULTY_JOB_WORKERS`] workers, its failures no longer count
    /// against them.
    pub fn record_failure(
        &mut self,
        worker: &WorkerName,
        job: JobId,
        reason: &str,
        now: UnixMillis,
    ) {
        let history = self.jobs.entry(job).or_default();
        history.failed_on.insert(worker.clone());
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        history.reasons.push(format!("{worker}: {reason}"));
        if history.reasons.len() > MAX_FAILURE_REASONS {
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
                        health.remove_failure(job);
                    }
                }
                // A worker in probing has failed its probe, regardless of the cause.
                if let Some(health) = self.health.get_mut(worker)
                    && health.state(now) == crate::HealthState::Probing
                {
                    health.record_failure(job, now);
                }
            }
        }
    }

    /// Records that a job was preempted in favour of another.
    pub fn record_preemption(&mut self, job: JobId, in_favour_of: JobId) {
        let history = self.jobs.entry(job).or_default();
        history.preemptions += 1;
        history.stopped_for = Some(in_favour_of);
        self.preemptors.insert(in_favour_of);
    }

    /// Records that a job was placed.
    pub fn record_placement(&mut self, job: JobId) {
        self.preemptors.remove(&job);
    }

    /// Schedules a retry at the later of the time that the customer's retry budget grants and the
    /// end of the job's own exponential backoff.
    pub fn schedule_retry(&mut self, customer: &CustomerName, job: JobId, now: UnixMillis) {
        let full = (TokenBucket::full(RETRY_BURST, now), now);
        let (bucket, last_granted) = self.retry_budgets.entry(customer.clone()).or_insert(full);
        let granted = match bucket.try_take(RETRIES_PER_SECOND, RETRY_BURST, now) {
            true => now,
            false => {
                let interval = DurationMs(1_000 / u64::from(RETRIES_PER_SECOND));
                (*last_granted).max(now).plus(interval)
            }
        };
        *last_granted = granted;
        let history = self.jobs.entry(job).or_default();
        let backoff = INITIAL_RETRY_BACKOFF.0 << history.retries.min(16);
        history.retries += 1;
        let backoff_end = now.plus(DurationMs(backoff.min(MAX_RETRY_BACKOFF.0)));
        history.not_before = granted.max(backoff_end);
    }

    /// Removes the state of a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.preemptors.remove(&job);
    }
}
