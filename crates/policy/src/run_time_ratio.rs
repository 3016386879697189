//! Run-time estimates: declared run times, corrected by the run times observed for a customer and
//! class.

use roseridge_model::DurationMs;
use serde::{
    Deserialize,
    Serialize, //
};

/// A ratio of one, in permille.
const PERMILLE: u64 = 1_000;
/// The largest factor by which actual and declared run time are assumed to differ, in either
/// direction.
const MAX_RATIO: u64 = 10;
/// The weight of a new ratio in the moving average is one divided by this.
const MEAN_WEIGHT: u64 = 8;
/// The weight of a new error in the moving deviation is one divided by this.
const DEVIATION_WEIGHT: u64 = 4;
/// The number of deviations that a conservative estimate adds to the mean.
const ESTIMATE_DEVIATIONS: u64 = 2;

/// The moving averages of the ratio of actual to declared run time and of its deviation, in
/// permille.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeRatio {
    mean: u64,
    deviation: u64,
}

impl Default for RunTimeRatio {
    fn default() -> Self {
        Self {
            mean: PERMILLE,
            deviation: PERMILLE / 2,
        }
    }
}

impl RunTimeRatio {
    /// Updates the averages with a completed run.
    pub fn record(&mut self, declared: DurationMs, actual: DurationMs) {
        let ratio = actual.0.saturating_mul(PERMILLE) / declared.0.max(1);
        let ratio = ratio.clamp(PERMILLE / MAX_RATIO, PERMILLE * MAX_RATIO);
        let error = ratio.abs_diff(self.mean);
        self.mean = (self.mean * (MEAN_WEIGHT - 1) + ratio) / MEAN_WEIGHT;
        self.deviation = (self.deviation * (DEVIATION_WEIGHT - 1) + error) / DEVIATION_WEIGHT;
    }

    /// Returns a conservative run time for a job that has not started.
    pub fn estimate(&self, declared: DurationMs) -> DurationMs {
        let ratio = self.mean + ESTIMATE_DEVIATIONS * self.deviation;
        let ratio = ratio.min(PERMILLE * MAX_RATIO);
        DurationMs(declared.0.saturating_mul(ratio) / PERMILLE)
    }

    /// Returns a conservative remaining run time.
    ///
    /// A run that has exceeded its estimate is assumed to last for [`MAX_RATIO`] times its declared
    /// run time. A run that has exceeded that as well is assumed to be half complete.
    pub fn remaining(&self, declared: DurationMs, elapsed: DurationMs) -> DurationMs {
        let worst = declared.0.saturating_mul(MAX_RATIO);
        let estimate = self.estimate(declared).0;
        DurationMs(match elapsed.0 {
            elapsed if elapsed < estimate => estimate - elapsed,
            elapsed if elapsed < worst => worst - elapsed,
            elapsed => elapsed,
        })
    }
}
