//! Rates that allow bursts.

use roseridge_model::{
    DurationMs,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One token, in the unit of the level.
const TOKEN: u64 = 1_000;

/// A token bucket; a new one is full.
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
            level: u64::from(burst) * TOKEN,
            filled: now,
        }
    }

    fn fill(&mut self, per_second: u32, burst: u32, now: UnixMillis) {
        let gained = now.since(self.filled).0.saturating_mul(per_second.into());
        self.level = (self.level + gained).min(u64::from(burst) * TOKEN);
        self.filled = self.filled.max(now);
    }

    /// Returns how long it takes until a token is there.
    pub fn time_until_token(&self, per_second: u32, burst: u32, now: UnixMillis) -> DurationMs {
        let mut bucket = *self;
        bucket.fill(per_second, burst, now);
        let missing = TOKEN.saturating_sub(bucket.level);
        match per_second {
            0 if missing > 0 => DurationMs(u64::MAX / TOKEN),
            rate => DurationMs(missing.div_ceil(u64::from(rate.max(1)))),
        }
    }

    /// Takes a token if one is there.
    pub fn try_take(&mut self, per_second: u32, burst: u32, now: UnixMillis) -> bool {
        self.fill(per_second, burst, now);
        let is_there = self.level >= TOKEN;
        if is_there {
            self.level -= TOKEN;
        }
        is_there
    }
}
