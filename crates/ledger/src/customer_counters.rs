//! Counters over the jobs of each customer, which are updated with every change of a job.

use std::collections::BTreeSet;

use roseridge_model::{
    CustomerName,
    JobId,
    JobOutcome,
    JobSpec,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    JobState,
    LedgerState,
    RefusalReason, //
};

/// The maximum number of jobs per customer that are kept, including ended ones.
pub const MAX_KEPT_JOBS: usize = 16_384;
/// The maximum size of the payloads of all open jobs, in bytes; each customer has an equal share.
pub const MAX_OPEN_PAYLOAD_BYTES: usize = 16_777_216;
/// The maximum size of all kept answers, in bytes. Each customer has an equal share; its oldest
/// answers are dropped when it exceeds this share.
pub const MAX_KEPT_ANSWER_BYTES: usize = 16_777_216;

/// Counters over the jobs of one customer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerCounters {
    /// The number of jobs that are kept, including ended ones.
    pub kept: usize,
    /// The number of jobs that wait for a placement.
    pub waiting: usize,
    /// The size of the payloads of open jobs, in bytes.
    pub payload_bytes: usize,
    /// The size of the kept answers, in bytes.
    pub answer_bytes: usize,
    /// The jobs whose answers are kept, ordered by the time at which they ended.
    pub answered: BTreeSet<(UnixMillis, JobId)>,
}

impl LedgerState {
    /// Returns the counters of a customer, or `None` if it never had a job.
    pub fn counters(&self, customer: &CustomerName) -> Option<&CustomerCounters> {
        self.customer_counters.get(customer)
    }

    /// Checks that a new job stays within its customer's job count and payload memory limits.
    pub(crate) fn check_memory(
        &self,
        customer: &CustomerName,
        spec: &JobSpec,
    ) -> Result<(), RefusalReason> {
        let Some(counters) = self.customer_counters.get(customer) else {
            return Ok(());
        };
        let payload_bytes = counters.payload_bytes + spec.payload.len();
        let limit = self.customer_share(MAX_OPEN_PAYLOAD_BYTES);
        match counters.kept >= MAX_KEPT_JOBS || payload_bytes > limit {
            true => Err(RefusalReason::StoreFull),
            false => Ok(()),
        }
    }

    /// Returns each customer's equal share of a number of bytes.
    fn customer_share(&self, bytes: usize) -> usize {
        bytes / self.templates.len().max(1)
    }

    /// Counts a waiting job that was just accepted.
    pub(crate) fn count_accepted(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let counters = self
            .customer_counters
            .entry(record.customer.clone())
            .or_default();
        counters.kept += 1;
        counters.waiting += 1;
        counters.payload_bytes += record.spec.payload.len();
        self.open_jobs.insert(job);
    }

    /// Changes the state of a job and updates all counters.
    ///
    /// Every state change must use this function.
    pub(crate) fn set_state(&mut self, job: JobId, state: JobState) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        self.policy.record_transition(job, record, &state);
        let counters = self
            .customer_counters
            .entry(record.customer.clone())
            .or_default();
        counters.waiting -= usize::from(record.state == JobState::Waiting);
        match &state {
            JobState::Waiting => counters.waiting += 1,
            JobState::Placed(_) => {}
            JobState::Ended { outcome, at, .. } => {
                counters.payload_bytes -= record.spec.payload.len();
                record.spec.payload = String::new();
                self.open_jobs.remove(&job);
                if let JobOutcome::Done(answers) = outcome {
                    counters.answer_bytes += answers.iter().map(|a| a.text.len()).sum::<usize>();
                    counters.answered.insert((*at, job));
                }
            }
        }
        record.state = state;
        let customer = record.customer.clone();
        self.drop_oldest_answers(&customer, self.customer_share(MAX_KEPT_ANSWER_BYTES));
    }

    /// Removes an ended job and its idempotency key.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.drop_job_answers(job);
        let Some(record) = self.jobs.remove(&job) else {
            return;
        };
        if let Some(counters) = self.customer_counters.get_mut(&record.customer) {
            counters.kept -= 1;
        }
        self.keys.remove(&(record.customer, record.key));
    }

    /// Drops a customer's oldest answers until the rest take at most `limit` bytes.
    ///
    /// The answers of the newest job are kept whatever their size.
    fn drop_oldest_answers(&mut self, customer: &CustomerName, limit: usize) {
        while let Some(counters) = self.customer_counters.get(customer) {
            match counters.answered.first() {
                Some((_, oldest))
                    if counters.answer_bytes > limit && counters.answered.len() > 1 =>
                {
                    self.drop_job_answers(*oldest);
                }
                _ => return,
            }
        }
    }

    /// Drops the answers of a job that is done.
    fn drop_job_answers(&mut self, job: JobId) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Ended { outcome, at, .. } = &mut record.state else {
            return;
        };
        let JobOutcome::Done(answers) = outcome else {
            return;
        };
        let bytes: usize = answers.iter().map(|a| a.text.len()).sum();
        *outcome = JobOutcome::AnswersDropped;
        if let Some(counters) = self.customer_counters.get_mut(&record.customer) {
            counters.answer_bytes -= bytes;
            counters.answered.remove(&(*at, job));
        }
    }
}
