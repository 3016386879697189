//! A budget that keeps retries from multiplying the load.

/// What one call puts into the budget.
const CREDIT_PER_CALL: f64 = 0.2;
/// The most retries that can be saved up; enough for the calls of one fail-over.
const MOST_RETRIES: f64 = 2_000.0;

/// Counts the retries that may still be made: a share of the calls, beside a reserve.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(MOST_RETRIES)
    }
}

impl RetryBudget {
    /// Notes a call, which earns a part of a retry.
    pub fn record_call(&mut self) {
        self.0 = (self.0 + CREDIT_PER_CALL).min(MOST_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let is_left = self.0 >= 1.0;
        self.0 -= f64::from(u8::from(is_left));
        is_left
    }
}
