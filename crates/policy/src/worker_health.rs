//! Quarantine and probing of workers on which tasks fail.

use std::collections::BTreeSet;

use roseridge_model::{
    DurationMs,
    JobId,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The number of distinct jobs that must fail on a worker, without a success in between, before it
/// is quarantined.
pub const QUARANTINE_FAILED_JOBS: usize = 3;
/// The duration of a worker's first quarantine; it doubles with each further one.
const INITIAL_QUARANTINE: DurationMs = DurationMs(60_000);
/// The time after a quarantine in which the worker waits for a probe. It ends also without one, since a job
/// that may probe the worker may never come.
const PROBING_TIME: DurationMs = DurationMs(60_000);
/// The upper bound of a quarantine's duration.
const MAX_QUARANTINE: DurationMs = DurationMs(3_600_000);

/// Whether a worker may receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// The worker receives work.
    Healthy,
    /// The worker receives no work until the given time.
    Quarantined {
        /// The time at which probing starts.
        until: UnixMillis,
    },
    /// The worker receives a single task, of an idempotent job that isn't urgent.
    Probing,
}

/// The failures and quarantines of a worker since its last success.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerHealth {
    failed_jobs: BTreeSet<JobId>,
    quarantined_until: Option<UnixMillis>,
    quarantines: u32,
}

impl WorkerHealth {
    /// Returns the state at a given time.
    pub fn state(&self, now: UnixMillis) -> HealthState {
        match self.quarantined_until {
            None => HealthState::Healthy,
            Some(until) if until > now => HealthState::Quarantined { until },
            Some(until) if until.plus(PROBING_TIME) > now => HealthState::Probing,
            Some(_) => HealthState::Healthy,
        }
    }

    /// Returns the end of the latest quarantine, or `None` if the worker is healthy at a given time.
    pub fn quarantined_until(&self, now: UnixMillis) -> Option<UnixMillis> {
        let until = self.quarantined_until;
        until.filter(|_| self.state(now) != HealthState::Healthy)
    }

    /// Records that a task of a job failed on the worker.
    pub fn record_failure(&mut self, job: JobId, now: UnixMillis) {
        match self.state(now) {
            HealthState::Healthy => {
                self.failed_jobs.insert(job);
                if self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS {
                    self.quarantine(now);
                }
            }
            HealthState::Quarantined { .. } => {}
            HealthState::Probing => self.quarantine(now),
        }
    }

    fn quarantine(&mut self, now: UnixMillis) {
        let duration = INITIAL_QUARANTINE.0 << self.quarantines.min(16);
        self.quarantined_until = Some(now.plus(DurationMs(duration.min(MAX_QUARANTINE.0))));
        self.quarantines += 1;
        self.failed_jobs.clear();
    }

    /// Records that a task completed on the worker, which clears its failures and quarantines
    /// unless it is in quarantine at `now`.
    pub fn record_success(&mut self, now: UnixMillis) {
        if !matches!(self.state(now), HealthState::Quarantined { .. }) {
            *self = Self::default();
        }
    }

    /// Removes the failure of a job that proved to be faulty itself.
    pub fn remove_failure(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }

    /// Returns whether no failure or quarantine is recorded for the worker.
    pub fn has_no_failures(&self) -> bool {
        *self == Self::default()
    }
}
