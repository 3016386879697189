//! How fast a run works, from what its backend server tells of it.

use std::collections::VecDeque;

use roseridge_model::{
    DurationMs,
    UnixMillis, //
};

/// The least time between two readings that are kept, in milliseconds.
const READING_SPACING_MS: u64 = 400;
/// The readings that are kept of one run; with the spacing they span one to two seconds.
const MAX_READINGS: usize = 4;
/// The work of a run in the unit of its readings.
const WHOLE_PERCENT: f64 = 100.0;
/// By how much a reading is rounded down on average.
const ROUNDING_PERCENT: f64 = 0.5;

/// How much of its work a run had done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressReading {
    /// The whole percent that are done.
    pub percent: u8,
    /// When that was so.
    pub at: UnixMillis,
}

/// The last readings of one run's progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressRate {
    /// Oldest first; never empty.
    readings: VecDeque<ProgressReading>,
}

impl ProgressRate {
    /// Begins with the first reading of a run.
    pub fn new(reading: ProgressReading) -> Self {
        Self {
            readings: VecDeque::from([reading]),
        }
    }

    /// Takes another reading; one that is out of order, or comes soon after the one before, is left out.
    pub fn record(&mut self, reading: ProgressReading) {
        let newest = self.newest();
        let is_soon = reading.at.since(newest.at).0 < READING_SPACING_MS;
        if is_soon || reading.percent < newest.percent {
            return;
        }
        if self.readings.len() >= MAX_READINGS {
            self.readings.pop_front();
        }
        self.readings.push_back(reading);
    }

    /// Returns how long the run still takes at its pace; nothing for one that was read once, or that
    /// stands.
    pub fn remaining_time(&self, now: UnixMillis) -> Option<DurationMs> {
        let (oldest, newest) = (self.readings.front()?, self.newest());
        if newest.percent == oldest.percent {
            return None;
        }
        let done = f64::from(newest.percent - oldest.percent);
        let span_ms = newest.at.since(oldest.at).0 as f64;
        let percent_left = WHOLE_PERCENT - f64::from(newest.percent) - ROUNDING_PERCENT;
        let left_ms = (percent_left.max(0.0) / done * span_ms) as u64;
        Some(DurationMs(left_ms.saturating_sub(now.since(newest.at).0)))
    }

    fn newest(&self) -> ProgressReading {
        self.readings[self.readings.len() - 1]
    }
}
