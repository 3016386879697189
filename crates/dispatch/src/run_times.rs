//! Run time estimates, learned from the completed runs of each queue.

use std::collections::BTreeMap;

use roseridge_flow::RunTimeSample;
use roseridge_model::{
    DurationMs,
    FastMap,
    QueueKey,
    RunKey,
    UnixMillis, //
};

use crate::{
    DispatchView,
    ProgressRate, //
};

/// The minimum number of samples before a queue's own run times replace the callers' estimates.
const MIN_SAMPLES: usize = 3;
/// The percentile of the run times that a conservative estimate uses.
const LONG_RUN_PERCENTILE: usize = 85;
/// The minimum estimate of a remaining run time, in milliseconds.
const MIN_REMAINING_MS: u64 = 200;
/// The expected remaining time of a run that exceeds all known run times is its elapsed time divided by
/// this number.
const OVERRUN_DIVISOR: u64 = 4;
/// The margin that a conservative estimate adds to the remaining time by the progress rate, in percent.
const PROGRESS_MARGIN_PERCENT: u64 = 15;

/// The run times of one queue.
#[derive(Debug, Clone)]
enum QueueTimes {
    /// Run times in milliseconds, sorted. Used if they vary less than their ratio to the callers'
    /// estimates.
    Absolute(Vec<u64>),
    /// Run times in percent of the estimate, sorted.
    Relative(Vec<u64>),
}

/// A run whose remaining time is estimated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimedRun<'a> {
    pub(crate) queue: &'a QueueKey,
    pub(crate) estimate: DurationMs,
    /// The work done in this run and in earlier runs whose work is saved, in milliseconds.
    pub(crate) elapsed_ms: u64,
    /// The key of the run; `None` before it is placed.
    pub(crate) run: Option<RunKey>,
}

/// The run times of all queues and the progress rates of the current runs.
#[derive(Debug, Clone)]
pub(crate) struct RunTimes<'a> {
    queues: BTreeMap<&'a QueueKey, QueueTimes>,
    progress_rates: &'a FastMap<RunKey, ProgressRate>,
    now: UnixMillis,
}

impl<'a> RunTimes<'a> {
    /// Learns the run times of every queue that has open flows and enough samples.
    pub(crate) fn from_view(view: &DispatchView<'a>) -> Self {
        let mut queues = BTreeMap::new();
        for (_, record) in view.flows.open_flows() {
            let queue = &record.queue.key;
            let samples = view.flows.run_times.samples(queue);
            if samples.len() >= MIN_SAMPLES {
                queues.entry(queue).or_insert_with(|| learn_times(samples));
            }
        }
        Self {
            queues,
            progress_rates: view.progress_rates,
            now: view.now,
        }
    }

    /// Returns the median run time of a queue, or the estimate if the queue has too few samples,
    /// in milliseconds.
    pub(crate) fn usual_ms(&self, queue: &QueueKey, estimate: DurationMs) -> u64 {
        self.quantile_ms(queue, estimate, 50, 0)
    }

    /// Returns a remaining run time that most runs don't exceed, in milliseconds.
    pub(crate) fn conservative_remaining_ms(&self, timed: TimedRun<'_>) -> u64 {
        match self.remaining_from_progress(timed) {
            Some(remaining_ms) => remaining_ms + remaining_ms * PROGRESS_MARGIN_PERCENT / 100,
            None => self.quantile_remaining_ms(timed, LONG_RUN_PERCENTILE),
        }
    }

    /// Returns the usual remaining run time, in milliseconds.
    pub(crate) fn usual_remaining_ms(&self, timed: TimedRun<'_>) -> u64 {
        match self.remaining_from_progress(timed) {
            Some(remaining_ms) => remaining_ms,
            None => self.quantile_remaining_ms(timed, 50),
        }
    }

    /// Returns the remaining run time by the run's progress rate, if it is known.
    fn remaining_from_progress(&self, timed: TimedRun<'_>) -> Option<u64> {
        let remaining = self
            .progress_rates
            .get(&timed.run?)?
            .remaining_time(self.now)?;
        Some(remaining.0.max(MIN_REMAINING_MS))
    }

    fn quantile_remaining_ms(&self, timed: TimedRun<'_>, percentile: usize) -> u64 {
        let elapsed_ms = timed.elapsed_ms;
        let total_ms = self.quantile_ms(timed.queue, timed.estimate, percentile, elapsed_ms);
        total_ms.saturating_sub(elapsed_ms).max(MIN_REMAINING_MS)
    }

    /// Returns a percentile of the run times among the runs that took longer than `elapsed_ms`, in
    /// milliseconds.
    fn quantile_ms(
        &self,
        queue: &QueueKey,
        estimate: DurationMs,
        percentile: usize,
        elapsed_ms: u64,
    ) -> u64 {
        let pick = |sorted: &[u64], elapsed: u64| {
            let longer = &sorted[sorted.partition_point(|t| *t <= elapsed)..];
            let index = longer.len().saturating_sub(1) * percentile / 100;
            longer.get(index).copied()
        };
        let estimate_ms = estimate.0.max(1);
        let total_ms = match self.queues.get(queue) {
            Some(QueueTimes::Absolute(times)) => pick(times, elapsed_ms),
            Some(QueueTimes::Relative(percents)) => {
                let elapsed_percent = elapsed_ms.saturating_mul(100) / estimate_ms;
                pick(percents, elapsed_percent)
                    .map(|percent| estimate_ms.saturating_mul(percent) / 100)
            }
            None => Some(estimate_ms).filter(|total| *total > elapsed_ms),
        };
        total_ms.unwrap_or(elapsed_ms + elapsed_ms / OVERRUN_DIVISOR)
    }
}

/// Learns the run times of a queue in the form that varies less.
fn learn_times(samples: &[RunTimeSample]) -> QueueTimes {
    let took = |s: &RunTimeSample| s.took.0.max(1);
    let percent = |s: &RunTimeSample| took(s).saturating_mul(100) / s.estimate.0.max(1);
    let mut absolute: Vec<_> = samples.iter().map(took).collect();
    let mut relative: Vec<_> = samples.iter().map(|s| percent(s).max(1)).collect();
    absolute.sort_unstable();
    relative.sort_unstable();
    match quartile_ratio(&absolute) <= quartile_ratio(&relative) {
        true => QueueTimes::Absolute(absolute),
        false => QueueTimes::Relative(relative),
    }
}

/// Returns the ratio of the third quartile to the first.
fn quartile_ratio(sorted: &[u64]) -> f64 {
    let quartile = |number: usize| sorted[(sorted.len() - 1) * number / 4] as f64;
    quartile(3) / quartile(1)
}
