//! Workers that fail what they start: quarantine and probing.

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

/// Jobs that must fail on a worker, with no success between, before it is quarantined.
pub const QUARANTINE_FAILED_JOBS: usize = 3;
/// The first quarantine.
const FIRST_QUARANTINE: DurationMs = DurationMs(60_000);
/// The longest quarantine.
const MAX_QUARANTINE: DurationMs = DurationMs(3_600_000);

/// Whether a worker may receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It receives work.
    Healthy,
    /// It receives none until the stated time.
    Quarantined {
        /// When it is probed next.
        until: UnixMillis,
    },
    /// It receives one task of work that may be repeated.
    Probing,
}

/// What is remembered of a worker's failures.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerHealth {
    failed_jobs: BTreeSet<JobId>,
    quarantined_until: Option<UnixMillis>,
    quarantines: u32,
}

impl WorkerHealth {
    /// Returns whether the worker may receive work at a time.
    pub fn state(&self, now: UnixMillis) -> HealthState {
        match self.quarantined_until {
            None => HealthState::Healthy,
            Some(until) if until > now => HealthState::Quarantined { until },
            Some(_) => HealthState::Probing,
        }
    }

    /// Returns the end of the newest quarantine, unless the worker has worked well since.
    pub fn quarantined_until(&self) -> Option<UnixMillis> {
        self.quarantined_until
    }

    /// Notes that a task of a job failed on the worker.
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
        let span = FIRST_QUARANTINE.0 << self.quarantines.min(16);
        self.quarantined_until = Some(now.plus(DurationMs(span.min(MAX_QUARANTINE.0))));
        self.quarantines += 1;
        self.failed_jobs.clear();
    }

    /// Notes that a task ran to its end on the worker; nothing is held against it any more, unless
    /// it is in quarantine.
    pub fn record_success(&mut self, now: UnixMillis) {
        if !matches!(self.state(now), HealthState::Quarantined { .. }) {
            *self = Self::default();
        }
    }

    /// Drops the failure of a job that turned out to be at fault itself.
    pub fn acquit(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }

    /// Returns whether nothing is held against the worker.
    pub fn is_clear(&self) -> bool {
        *self == Self::default()
    }
}
