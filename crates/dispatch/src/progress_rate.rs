//! The progress rate of a run, estimated from the progress that its backend server reports.

use std::collections::VecDeque;

use roseridge_model::{
    DurationMs,
    UnixMillis, //
};

/// The minimum time between two readings that are kept, in milliseconds.
const READING_SPACING_MS: u64 = 400;
/// The maximum number of readings that are kept of one run. With the spacing they span one to two
/// seconds.
const MAX_READINGS: usize = 4;
/// The progress of a completed run, in percent.
const WHOLE_PERCENT: f64 = 100.0;
/// The mean error of a reading, in percent: readings are rounded down to whole percent.
const ROUNDING_PERCENT: f64 = 0.5;

/// The progress of a run at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressReading {
    /// The completed part of the work, in whole percent.
    pub percent: u8,
    /// The time at which the progress was measured.
    pub at: UnixMillis,
}

/// The last progress readings of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressRate {
    /// Oldest first; never empty.
    readings: VecDeque<ProgressReading>,
}

impl ProgressRate {
    /// Creates a rate from the first reading of a run.
    pub fn new(reading: ProgressReading) -> Self {
        Self {
            readings: VecDeque::from([reading]),
        }
    }

    /// Adds a reading, unless it is out of order or follows the newest one too closely.
    pub fn record(&mut self, reading: ProgressReading) {
        let newest = self.newest();
        let is_too_close = reading.at.since(newest.at).0 < READING_SPACING_MS;
        if is_too_close || reading.percent < newest.percent {
            return;
        }
        if self.readings.len() >= MAX_READINGS {
            self.readings.pop_front();
        }
        self.readings.push_back(reading);
    }

    /// Returns the remaining time of the run at its progress rate, or `None` if there is only one
    /// reading or the readings show no progress.
    pub fn remaining_time(&self, now: UnixMillis) -> Option<DurationMs> {
        let (oldest, newest) = (self.readings.front()?, self.newest());
        if newest.percent == oldest.percent {
            return None;
        }
        let progress = f64::from(newest.percent - oldest.percent);
        let span_ms = newest.at.since(oldest.at).0 as f64;
        let remaining_percent = WHOLE_PERCENT - f64::from(newest.percent) - ROUNDING_PERCENT;
        let remaining_ms = (remaining_percent.max(0.0) / progress * span_ms) as u64;
        Some(DurationMs(
            remaining_ms.saturating_sub(now.since(newest.at).0),
        ))
    }

    /// Returns the newest reading.
    pub(crate) fn newest(&self) -> ProgressReading {
        self.readings[self.readings.len() - 1]
    }
}
