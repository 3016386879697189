//! Rate limits that allow bursts.

use roseridge_model::{
    DurationMs,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One token, in the units of [`TokenBucket`]'s level (thousandths of a token).
const UNITS_PER_TOKEN: u64 = 1_000;

/// A token bucket whose rate and capacity are passed with each call.
///
/// The rate is in tokens per second, `burst` is the capacity in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenBucket {
    level: u64,
    filled: UnixMillis,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn full(burst: u32, now: UnixMillis) -> Self {
        Self {
            level: u64::from(burst) * UNITS_PER_TOKEN,
            filled: now,
        }
    }

    fn fill(&mut self, per_second: u32, burst: u32, now: UnixMillis) {
        let added = now.since(self.filled).0.saturating_mul(per_second.into());
        self.level = (self.level + added).min(u64::from(burst) * UNITS_PER_TOKEN);
        self.filled = self.filled.max(now);
    }

    /// Returns the time until a token is available, or a practically infinite time if the rate is
    /// zero and the bucket has none.
    pub fn time_until_token(&self, per_second: u32, burst: u32, now: UnixMillis) -> DurationMs {
        let mut bucket = *self;
        bucket.fill(per_second, burst, now);
        let missing = UNITS_PER_TOKEN.saturating_sub(bucket.level);
        match per_second {
            0 if missing > 0 => DurationMs(u64::MAX / UNITS_PER_TOKEN),
            rate => DurationMs(missing.div_ceil(u64::from(rate.max(1)))),
        }
    }

    /// Takes a token if one is available, and returns whether it did.
    pub fn try_take(&mut self, per_second: u32, burst: u32, now: UnixMillis) -> bool {
        self.fill(per_second, burst, now);
        let is_available = self.level >= UNITS_PER_TOKEN;
        if is_available {
            self.level -= UNITS_PER_TOKEN;
        }
        is_available
    }
}
