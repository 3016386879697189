//! A circuit breaker for the calls to a backend server.

use std::time::{
    Duration,
    Instant, //
};

use rand::RngExt;

/// The number of consecutive calls without an answer that opens the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// The first pause of an open breaker, before jitter.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// The maximum pause of an open breaker.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Passes all calls while the backend server answers.
///
/// After several calls without an answer it passes none for a pause, and then one at a time until one
/// is answered.
#[derive(Debug, Default)]
pub struct CallBreaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl CallBreaker {
    /// Returns the number of concurrent calls allowed now, given the limit of the backend server.
    pub fn allowed_calls(&self, now: Instant, limit: usize) -> usize {
        match self.open_until {
            None => limit,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }

    /// Records that a call was answered; a refusal counts as an answer.
    pub fn record_answered(&mut self) {
        *self = Self::default();
    }

    /// Records that a call had no answer.
    ///
    /// The call that reaches the threshold opens the breaker; each further one doubles the pause, up to
    /// its maximum. Random jitter shortens each pause to between half and all of its length.
    pub fn record_unanswered(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_OPEN).min(8);
        let pause = MIN_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        let jitter = rand::rng().random_range(0.5..1.0);
        self.open_until = Some(now + pause.mul_f64(jitter));
    }
}
