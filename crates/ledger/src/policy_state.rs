//! What the scheduling decisions rest on besides jobs and workers, and the indexes that keep the cost
//! of a command independent of history.

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

/// Seconds of the rate that a customer may use at once.
const BURST_SECONDS: u32 = 4;
/// When to try again after a refusal for a full queue.
const QUEUE_RETRY: DurationMs = DurationMs(2_000);

/// The time without a new worker after which the cluster counts as complete.
const GROWTH_QUIET: DurationMs = DurationMs(30_000);

/// A customer, or one of its classes.
type RateKey = (CustomerName, Option<ClassName>);

/// What the decisions rest on besides jobs and workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyState {
    /// What the decisions remember.
    pub memory: PolicyMemory,
    queued: BTreeMap<(CustomerName, ClassName), u32>,
    rates: BTreeMap<RateKey, TokenBucket>,
    /// When a worker was last announced that was not known before.
    pub(crate) grown: UnixMillis,
}

impl PolicyState {
    /// Counts a job of a class in or out of its queue, and forgets it when it has ended.
    pub(crate) fn note_state(&mut self, job: JobId, record: &JobRecord, next: &JobState) {
        let key = (record.customer.clone(), record.spec.class.clone());
        let count = self.queued.entry(key).or_default();
        *count -= u32::from(record.state == JobState::Waiting);
        match next {
            JobState::Waiting => *count += 1,
            JobState::Placed(_) => {}
            JobState::Ended { .. } => self.memory.forget_job(job),
        }
    }

    fn rate_wait(&self, key: &RateKey, rate: u32, now: UnixMillis) -> DurationMs {
        let burst = rate.saturating_mul(BURST_SECONDS);
        let bucket = self.rates.get(key);
        let bucket = bucket.copied().unwrap_or(TokenBucket::full(burst, now));
        bucket.time_until_token(rate, burst, now)
    }

    fn take_rate(&mut self, key: RateKey, rate: u32, now: UnixMillis) {
        let burst = rate.saturating_mul(BURST_SECONDS);
        let bucket = self.rates.entry(key);
        let bucket = bucket.or_insert(TokenBucket::full(burst, now));
        // Admission has checked that a token is there.
        let _ = bucket.try_take(rate, burst, now);
    }
}

impl LedgerState {
    /// Explains where a job stands at a time, if the customer may see it and it has not ended.
    pub fn explain(
        &self,
        customer: Option<&CustomerName>,
        job: JobId,
        now: UnixMillis,
    ) -> Option<JobExplanation> {
        let record = self.jobs.get(&job)?;
        let visible = customer.is_none_or(|c| *c == record.customer);
        match &record.state {
            _ if !visible => None,
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

    /// Returns the workers in quarantine, each with the time when it is probed.
    pub fn quarantined(&self) -> Vec<(WorkerName, UnixMillis)> {
        let health = self.policy.memory.health.iter();
        let until = health.filter_map(|(name, h)| Some((name.clone(), h.quarantined_until()?)));
        until.collect()
    }

    /// Checks the queues, the rates and that the gang could fit the workers at all.
    pub(crate) fn check_limits(
        &self,
        template: &CustomerTemplate,
        spec: &JobSpec,
    ) -> Result<(), RefusalReason> {
        let customer = &template.customer;
        let rule = template.classes.get(&spec.class);
        let class_limit = rule.and_then(|r| r.queue_limit).unwrap_or(u32::MAX);
        let queued = (customer.clone(), spec.class.clone());
        let queued = self.policy.queued.get(&queued).copied().unwrap_or_default();
        let is_full =
            self.waiting_jobs(customer) >= template.queue_limit as usize || queued >= class_limit;
        let mut wait = self.policy.rate_wait(
            &(customer.clone(), None),
            template.rate_per_second,
            self.now,
        );
        if let Some(rate) = rule.and_then(|r| r.rate_per_second) {
            let key = (customer.clone(), Some(spec.class.clone()));
            wait = wait.max(self.policy.rate_wait(&key, rate, self.now));
        }
        // Lost workers come back; while new ones come in, nobody can tell what the largest place is.
        let known: Vec<_> = self.workers.iter().map(|(n, w)| (n, &w.shape)).collect();
        let is_growing = self.now.since(self.policy.grown) < GROWTH_QUIET;
        match wait {
            _ if !is_growing
                && !can_ever_start(&self.templates, &known, customer, &spec.class, &spec.gang) =>
            {
                Err(RefusalReason::NeverFits)
            }
            _ if is_full => Err(RefusalReason::QueueFull {
                retry_after: QUEUE_RETRY,
            }),
            DurationMs(0) => Ok(()),
            retry_after => Err(RefusalReason::RateExceeded { retry_after }),
        }
    }

    /// Checks that what all templates guarantee fits the live workers together, with their reserves.
    ///
    /// A template that guarantees no more than before is always accepted, and so is every one before
    /// the first worker is known.
    pub(crate) fn check_guaranteed(
        &self,
        template: &CustomerTemplate,
    ) -> Result<(), RefusalReason> {
        let live = self.workers.iter().filter(|(_, w)| w.live);
        let live: Vec<_> = live.map(|(name, w)| (name, &w.shape)).collect();
        let known = self.templates.get(&template.customer);
        let mut before = known.map(|t| t.guaranteed.clone()).unwrap_or_default();
        let grows = template.guaranteed.iter().any(|shape| {
            let position = before.iter().position(|known| known == shape);
            position.map(|p| before.swap_remove(p)).is_none()
        });
        let reserve = known.map_or(template.reserve, |t| t.reserve);
        if self.workers.is_empty() || (!grows && template.reserve <= reserve) {
            return Ok(());
        }
        let mut templates = self.templates.clone();
        templates.insert(template.customer.clone(), template.clone());
        check_guarantees(&templates, &live)
            .map_err(|guarantee| RefusalReason::UnsatisfiableGuarantee { guarantee })
    }

    /// Counts a job that was just accepted.
    pub(crate) fn enter_queue(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let customer = record.customer.clone();
        let class = record.spec.class.clone();
        let queued = (customer.clone(), class.clone());
        *self.policy.queued.entry(queued).or_default() += 1;
        let template = self.templates.get(&customer);
        let rate = template.map(|t| t.rate_per_second);
        let class_rate = template.and_then(|t| t.classes.get(&class)?.rate_per_second);
        if let Some(rate) = rate {
            let key = (customer.clone(), None);
            self.policy.take_rate(key, rate, self.now);
        }
        if let Some(rate) = class_rate {
            let key = (customer, Some(class));
            self.policy.take_rate(key, rate, self.now);
        }
    }

    /// Queues a job again, with a pause and out of its customer's budget if it failed.
    pub(crate) fn queue_again(&mut self, job: JobId, failed: bool) {
        self.set_state(job, JobState::Waiting);
        if let Some(record) = self.jobs.get(&job).filter(|_| failed) {
            let customer = &record.customer;
            self.policy.memory.schedule_retry(customer, job, self.now);
        }
    }

    /// Learns from the ends of a gang: run times, and which workers fail what they start.
    pub(crate) fn learn_from(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let JobState::Placed(gang) = &record.state else {
            return;
        };
        let memory = &mut self.policy.memory;
        for member in &gang.members {
            match &member.end {
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
            .all(|m| matches!(m.end, Some(TaskOutcome::Done(_))));
        let declared = record.spec.declared_run_ms;
        // After a yield only a part of the run was seen.
        let is_whole = memory.jobs.get(&job).is_none_or(|h| h.preemptions == 0);
        if let (Some(released), Some(declared), true) =
            (gang.released, declared, is_done && is_whole)
        {
            let real = self.now.since(released);
            memory.record_run(&record.customer, &record.spec.class, declared, real);
        }
    }

    /// Adds the reasons of earlier failures, each with its worker, to a failed job's outcome.
    pub(crate) fn with_reasons(&self, job: JobId, outcome: JobOutcome) -> JobOutcome {
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
