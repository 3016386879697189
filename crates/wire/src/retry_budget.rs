//! A retry budget, which bounds the additional load that retries cause.

/// The number of retries that each call adds to the budget.
const RETRIES_PER_CALL: f64 = 0.2;
/// The maximum number of retries in the budget; enough for the calls of one fail-over.
const MAX_RETRIES: f64 = 2_000.0;

/// The number of retries that may still be made: a share of the calls, plus an initial reserve.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(MAX_RETRIES)
    }
}

impl RetryBudget {
    /// Records a call, which adds a fraction of a retry to the budget.
    pub fn record_call(&mut self) {
        self.0 = (self.0 + RETRIES_PER_CALL).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn take_retry(&mut self) -> bool {
        let is_available = self.0 >= 1.0;
        self.0 -= f64::from(u8::from(is_available));
        is_available
    }
}
