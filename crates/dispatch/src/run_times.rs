//! How long runs take, as far as was learnt.

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

/// The samples from which on a queue's own run times are believed.
const ENOUGH_SAMPLES: usize = 3;
/// The share of runs within the time that is taken for a long one, in percent.
const LONG_SHARE_PERCENT: usize = 85;
/// The least time that a run is taken to need still, in milliseconds.
const LEAST_LEFT_MS: u64 = 200;
/// What a run that outlasted all others is taken to need still, as a part of what it took.
const OVERRUN_PART: u64 = 4;
/// The time that a run may take longer than its pace tells, in percent of what is left.
const PACE_MARGIN_PERCENT: u64 = 15;

/// What is known of the run times of one queue.
#[derive(Debug, Clone)]
enum QueueTimes {
    /// Run times in milliseconds, sorted: they differ less than the callers' estimates are off.
    Absolute(Vec<u64>),
    /// Run times in percent of the estimate, sorted.
    Relative(Vec<u64>),
}

/// A run whose time left is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimedRun<'a> {
    pub(crate) queue: &'a QueueKey,
    pub(crate) estimate: DurationMs,
    /// What it worked already, in this run and in those whose work is kept.
    pub(crate) elapsed_ms: u64,
    /// The run, once it has a place.
    pub(crate) run: Option<RunKey>,
}

/// The run times of all queues, and the pace of what runs now.
#[derive(Debug, Clone)]
pub(crate) struct RunTimes<'a> {
    queues: BTreeMap<&'a QueueKey, QueueTimes>,
    progress_rates: &'a FastMap<RunKey, ProgressRate>,
    now: UnixMillis,
}

impl<'a> RunTimes<'a> {
    /// Learns from the runs of the flows that are open.
    pub(crate) fn of(view: &DispatchView<'a>) -> Self {
        let mut queues = BTreeMap::new();
        for (_, record) in view.flows.open_flows() {
            let queue = &record.queue.key;
            let samples = view.flows.run_times.samples(queue);
            if samples.len() >= ENOUGH_SAMPLES {
                queues.entry(queue).or_insert_with(|| learn(samples));
            }
        }
        Self {
            queues,
            progress_rates: view.progress_rates,
            now: view.now,
        }
    }

    /// Returns the usual run time.
    pub(crate) fn usual_ms(&self, queue: &QueueKey, estimate: DurationMs) -> u64 {
        self.quantile_ms(queue, estimate, 50, 0)
    }

    /// Returns how long a run still needs, if it is a long one.
    pub(crate) fn long_left_ms(&self, timed: TimedRun<'_>) -> u64 {
        match self.left_at_pace(timed) {
            Some(left_ms) => left_ms + left_ms * PACE_MARGIN_PERCENT / 100,
            None => self.quantile_left_ms(timed, LONG_SHARE_PERCENT),
        }
    }

    /// Returns how long a run usually still needs.
    pub(crate) fn usual_left_ms(&self, timed: TimedRun<'_>) -> u64 {
        match self.left_at_pace(timed) {
            Some(left_ms) => left_ms,
            None => self.quantile_left_ms(timed, 50),
        }
    }

    fn left_at_pace(&self, timed: TimedRun<'_>) -> Option<u64> {
        let left = self
            .progress_rates
            .get(&timed.run?)?
            .remaining_time(self.now)?;
        Some(left.0.max(LEAST_LEFT_MS))
    }

    fn quantile_left_ms(&self, timed: TimedRun<'_>, share_percent: usize) -> u64 {
        let elapsed_ms = timed.elapsed_ms;
        let whole_ms = self.quantile_ms(timed.queue, timed.estimate, share_percent, elapsed_ms);
        whole_ms.saturating_sub(elapsed_ms).max(LEAST_LEFT_MS)
    }

    /// Returns the run time that this share of the runs stayed under which took longer than `over_ms`.
    fn quantile_ms(
        &self,
        queue: &QueueKey,
        estimate: DurationMs,
        share_percent: usize,
        over_ms: u64,
    ) -> u64 {
        let pick = |sorted: &[u64], over: u64| {
            let longer = &sorted[sorted.partition_point(|t| *t <= over)..];
            let at = longer.len().saturating_sub(1) * share_percent / 100;
            longer.get(at).copied()
        };
        let estimate_ms = estimate.0.max(1);
        let found = match self.queues.get(queue) {
            Some(QueueTimes::Absolute(times)) => pick(times, over_ms),
            Some(QueueTimes::Relative(percents)) => {
                let over = over_ms.saturating_mul(100) / estimate_ms;
                pick(percents, over).map(|percent| estimate_ms.saturating_mul(percent) / 100)
            }
            None => Some(estimate_ms).filter(|whole| *whole > over_ms),
        };
        found.unwrap_or(over_ms + over_ms / OVERRUN_PART)
    }
}

fn learn(samples: &[RunTimeSample]) -> QueueTimes {
    let took = |s: &RunTimeSample| s.took.0.max(1);
    let percent = |s: &RunTimeSample| took(s).saturating_mul(100) / s.estimate.0.max(1);
    let mut absolute: Vec<_> = samples.iter().map(took).collect();
    let mut relative: Vec<_> = samples.iter().map(|s| percent(s).max(1)).collect();
    absolute.sort_unstable();
    relative.sort_unstable();
    match spread(&absolute) <= spread(&relative) {
        true => QueueTimes::Absolute(absolute),
        false => QueueTimes::Relative(relative),
    }
}

/// Returns how many times the first quartile the third one is.
fn spread(sorted: &[u64]) -> f64 {
    let at = |quarter: usize| sorted[(sorted.len() - 1) * quarter / 4] as f64;
    at(3) / at(1)
}
