//! The pauses between attempts to reach a backend server that is down.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_model::InstanceName;

/// The pause after the first attempt without an answer, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// The maximum pause, in milliseconds. Connections are a cost for backend servers, and one that is up
/// again reports itself, which ends the pause.
const MAX_PAUSE_MS: u64 = 1_000;
/// The number of consecutive renewals without an answer after which the backend server counts as down.
///
/// A single lost call is no reason to hold back starts and stops.
const DOWN_FAILURES: u32 = 2;

/// The number of attempts without an answer, and the source of the jitter.
#[derive(Debug)]
pub(crate) struct ContactBackoff {
    failures: u32,
    random: SmallRng,
}

impl ContactBackoff {
    /// Creates the state of an agent; agents of different instances draw different pauses.
    pub(crate) fn new(instance: &InstanceName) -> Self {
        let mut hasher = DefaultHasher::new();
        instance.as_str().hash(&mut hasher);
        Self {
            failures: 0,
            random: SmallRng::seed_from_u64(hasher.finish()),
        }
    }

    /// Records an attempt without an answer and returns the pause before the next, in milliseconds.
    ///
    /// The pause doubles with every attempt up to [`MAX_PAUSE_MS`]. From the second one on, the pause
    /// is drawn from the upper half of that range.
    pub(crate) fn record_failure(&mut self) -> u64 {
        let doublings = self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let longest_ms = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        match doublings {
            0 => longest_ms,
            _ => self.random.random_range(longest_ms / 2..=longest_ms),
        }
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the last attempt had no answer.
    pub(crate) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the backend server counts as down; one attempt at a time is made then.
    pub(crate) fn is_down(&self) -> bool {
        self.failures >= DOWN_FAILURES
    }
}
