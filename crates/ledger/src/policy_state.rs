//! The scheduler's state beyond jobs and workers, admission limits, and counters that keep the cost
//! of a command independent of the number of past jobs.

use std::collections::BTreeMap;

use roseridge_model::{
    ClassName,
    CustomerName,
    CustomerTemplate,
    DurationMs,
    JobId,
    JobOutcome,
    JobSpec,
    TaskOutcome,
    UnixMillis,
    WorkerName, //
};
use roseridge_policy::{
    JobExplanation,
    PolicyMemory,
    TokenBucket,
    can_ever_start,
    check_guarantees,
    explain, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    JobRecord,
    JobState,
    LedgerState,
    RefusalReason, //
};

/// The burst size of a rate limit, in seconds of its rate.
const BURST_SECONDS: u32 = 4;
/// The retry delay that a refusal because of a full queue suggests.
const QUEUE_FULL_RETRY: DurationMs = DurationMs(2_000);

/// The time without a new worker after which the cluster is considered complete.
const CLUSTER_GROWTH_TIMEOUT: DurationMs = DurationMs(30_000);

/// The key of a rate limit: a customer, or one of its classes.
type RateKey = (CustomerName, Option<ClassName>);

/// The state behind scheduling decisions and admission, besides jobs and workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyState {
    /// The state that the scheduler keeps between scheduling passes.
    pub memory: PolicyMemory,
    /// The number of waiting jobs per class.
    #[serde(rename = "queued")]
    queue_lengths: BTreeMap<(CustomerName, ClassName), u32>,
    /// The token buckets of the rate limits.
    #[serde(rename = "rates")]
    rate_buckets: BTreeMap<RateKey, TokenBucket>,
    /// When a previously unknown worker was last announced.
    #[serde(rename = "grown")]
    pub(crate) last_worker_added: UnixMillis,
}

impl PolicyState {
    /// Updates the queue length of a job's class for a state change, and forgets an ended job.
    pub(crate) fn record_transition(&mut self, job: JobId, record: &JobRecord, next: &JobState) {
        let key = (record.customer.clone(), record.spec.class.clone());
        let count = self.queue_lengths.entry(key).or_default();
        *count -= u32::from(record.state == JobState::Waiting);
        match next {
            JobState::Waiting => *count += 1,
            JobState::Placed(_) => {}
            JobState::Ended { .. } => self.memory.forget_job(job),
        }
    }

    /// Returns the time until a rate limit admits another job; zero if it does so now.
    fn rate_delay(&self, key: &RateKey, rate: u32, now: UnixMillis) -> DurationMs {
        let burst = rate.saturating_mul(BURST_SECONDS);
        let bucket = self.rate_buckets.get(key);
        let bucket = bucket.copied().unwrap_or(TokenBucket::full(burst, now));
        bucket.time_until_token(rate, burst, now)
    }

    /// Takes a token from the bucket of a rate limit.
    fn take_rate_token(&mut self, key: RateKey, rate: u32, now: UnixMillis) {
        let burst = rate.saturating_mul(BURST_SECONDS);
        let bucket = self.rate_buckets.entry(key);
        let bucket = bucket.or_insert(TokenBucket::full(burst, now));
        // Admission has checked that a token is available.
        let _ = bucket.try_take(rate, burst, now);
    }
}

impl LedgerState {
    /// Explains the state of a job at the time `now`.
    ///
    /// Returns `None` if the job is unknown or belongs to another customer than `customer`. Without
    /// a customer every job is visible.
    pub fn explain(
        &self,
        customer: Option<&CustomerName>,
        job: JobId,
        now: UnixMillis,
    ) -> Option<JobExplanation> {
        let record = self.jobs.get(&job)?;
        let is_visible = customer.is_none_or(|c| *c == record.customer);
        match &record.state {
            _ if !is_visible => None,
            JobState::Ended { outcome, .. } => Some(JobExplanation {
                job,
                customer: record.customer.clone(),
                wait_reason: None,
                text: match outcome {
                    JobOutcome::Failed(reason)
                    | JobOutcome::NotRun(reason)
                    | JobOutcome::Unknown(reason) => format!("it has ended: {reason}"),
                    JobOutcome::Done(_) => "it is done".to_owned(),
                    JobOutcome::AnswersDropped => {
                        "it is done; its answers are no longer kept".to_owned()
                    }
                    JobOutcome::Cancelled => "it was cancelled".to_owned(),
                },
                stopped_for: None,
                preemptions: 0,
                failures: Vec::new(),
                avoids: Vec::new(),
            }),
            _ => explain(&self.view(now), job),
        }
    }

    /// Returns the workers in quarantine, each with the time at which it will be probed.
    pub fn quarantined(&self) -> Vec<(WorkerName, UnixMillis)> {
        let health = self.policy.memory.health.iter();
        let until =
            health.filter_map(|(name, h)| Some((name.clone(), h.quarantined_until(self.now)?)));
        until.collect()
    }

    /// Checks a new job against the queue and rate limits, and whether its gang can ever be placed.
    pub(crate) fn check_limits(
        &self,
        template: &CustomerTemplate,
        spec: &JobSpec,
    ) -> Result<(), RefusalReason> {
        let customer = &template.customer;
        let rule = template.classes.get(&spec.class);
        let class_limit = rule.and_then(|r| r.queue_limit).unwrap_or(u32::MAX);
        let queued = (customer.clone(), spec.class.clone());
        let queued = self
            .policy
            .queue_lengths
            .get(&queued)
            .copied()
            .unwrap_or_default();
        let is_full = self.waiting_job_count(customer) >= template.queue_limit as usize
            || queued >= class_limit;
        let mut wait = self.policy.rate_delay(
            &(customer.clone(), None),
            template.rate_per_second,
            self.now,
        );
        if let Some(rate) = rule.and_then(|r| r.rate_per_second) {
            let key = (customer.clone(), Some(spec.class.clone()));
            wait = wait.max(self.policy.rate_delay(&key, rate, self.now));
        }
        // Lost workers count too, since they may return. While new workers are still being
        // announced, the largest gang that the cluster can hold is unknown.
        let worker_shapes: Vec<_> = self.workers.iter().map(|(n, w)| (n, &w.shape)).collect();
        let is_growing = self.now.since(self.policy.last_worker_added) < CLUSTER_GROWTH_TIMEOUT;
        match wait {
            _ if !is_growing
                && !can_ever_start(
                    &self.templates,
                    &worker_shapes,
                    customer,
                    &spec.class,
                    &spec.gang,
                ) =>
            {
                Err(RefusalReason::NeverFits)
            }
            _ if is_full => Err(RefusalReason::QueueFull {
                retry_after: QUEUE_FULL_RETRY,
            }),
            DurationMs(0) => Ok(()),
            retry_after => Err(RefusalReason::RateExceeded { retry_after }),
        }
    }

    /// Checks that the live workers can satisfy the guarantees and loss reserves of all templates.
    ///
    /// A template that guarantees no more than its predecessor is always accepted, and so is every
    /// template while no worker is known.
    pub(crate) fn check_template_guarantees(
        &self,
        template: &CustomerTemplate,
    ) -> Result<(), RefusalReason> {
        let live = self.workers.iter().filter(|(_, w)| w.live);
        let live: Vec<_> = live.map(|(name, w)| (name, &w.shape)).collect();
        let current = self.templates.get(&template.customer);
        let mut unmatched = current.map(|t| t.guaranteed.clone()).unwrap_or_default();
        let grows = template.guaranteed.iter().any(|shape| {
            let position = unmatched.iter().position(|guaranteed| guaranteed == shape);
            position.map(|p| unmatched.swap_remove(p)).is_none()
        });
        let reserve = current.map_or(template.reserve, |t| t.reserve);
        if self.workers.is_empty() || (!grows && template.reserve <= reserve) {
            return Ok(());
        }
        let mut templates = self.templates.clone();
        templates.insert(template.customer.clone(), template.clone());
        check_guarantees(&templates, &live)
            .map_err(|misfit| RefusalReason::UnsatisfiableGuarantee { misfit })
    }

    /// Counts a job that was just accepted against the queue and rate limits.
    pub(crate) fn count_against_limits(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let customer = record.customer.clone();
        let class = record.spec.class.clone();
        let queued = (customer.clone(), class.clone());
        *self.policy.queue_lengths.entry(queued).or_default() += 1;
        let template = self.templates.get(&customer);
        let rate = template.map(|t| t.rate_per_second);
        let class_rate = template.and_then(|t| t.classes.get(&class)?.rate_per_second);
        if let Some(rate) = rate {
            let key = (customer.clone(), None);
            self.policy.take_rate_token(key, rate, self.now);
        }
        if let Some(rate) = class_rate {
            let key = (customer, Some(class));
            self.policy.take_rate_token(key, rate, self.now);
        }
    }

    /// Requeues a job.
    ///
    /// A job that failed also waits for its retry backoff and uses up some of its customer's retry
    /// budget.
    pub(crate) fn requeue(&mut self, job: JobId, failed: bool) {
        self.set_state(job, JobState::Waiting);
        if let Some(record) = self.jobs.get(&job).filter(|_| failed) {
            let customer = &record.customer;
            self.policy.memory.schedule_retry(customer, job, self.now);
        }
    }

    /// Updates the worker health and the run time statistics with the results of a gang.
    pub(crate) fn record_gang_results(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let JobState::Placed(gang) = &record.state else {
            return;
        };
        let memory = &mut self.policy.memory;
        for member in &gang.members {
            match &member.outcome {
                Some(TaskOutcome::Done(_)) => memory.record_success(&member.worker, self.now),
                Some(TaskOutcome::Failed(reason)) => {
                    memory.record_failure(&member.worker, job, reason, self.now);
                }
                _ => {}
            }
        }
        let is_done = gang
            .members
            .iter()
            .all(|m| matches!(m.outcome, Some(TaskOutcome::Done(_))));
        let declared = record.spec.declared_run_ms;
        // After a preemption, the last attempt covers only a part of the run.
        let is_complete_run = memory.jobs.get(&job).is_none_or(|h| h.preemptions == 0);
        if let (Some(released), Some(declared), true) =
            (gang.released, declared, is_done && is_complete_run)
        {
            let actual = self.now.since(released);
            memory.record_run(&record.customer, &record.spec.class, declared, actual);
        }
    }

    /// Adds the reasons of earlier failures, each with its worker, to the outcome of a failed job.
    pub(crate) fn add_failure_reasons(&self, job: JobId, outcome: JobOutcome) -> JobOutcome {
        let history = self.policy.memory.jobs.get(&job);
        let reasons = history.map(|h| &h.reasons).filter(|r| r.len() > 1);
        match (outcome, reasons) {
            (JobOutcome::Failed(_), Some(reasons)) => {
                let reasons = reasons.join("; ");
                JobOutcome::Failed(format!("failed on several workers: {reasons}"))
            }
            (outcome, _) => outcome,
        }
    }
}
