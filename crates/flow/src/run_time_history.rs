//! The history of run times, from which run times are predicted.

use std::collections::BTreeMap;

use roseridge_model::{
    DurationMs,
    QueueKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The maximum number of run times that are kept for one queue.
const MAX_SAMPLES: usize = 64;

/// One measured run time with the caller's estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeSample {
    /// The run time that the caller estimated.
    pub estimate: DurationMs,
    /// The measured time from the placement to the end.
    pub took: DurationMs,
}

/// The newest run times of each queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunTimeHistory {
    samples: BTreeMap<QueueKey, Vec<RunTimeSample>>,
}

impl RunTimeHistory {
    /// Adds the run time of a queue's run and drops the oldest one beyond `MAX_SAMPLES`.
    pub fn add(&mut self, queue: &QueueKey, sample: RunTimeSample) {
        let samples = self.samples.entry(queue.clone()).or_default();
        if samples.len() >= MAX_SAMPLES {
            samples.remove(0);
        }
        samples.push(sample);
    }

    /// Returns the run times of a queue, oldest first.
    pub fn samples(&self, queue: &QueueKey) -> &[RunTimeSample] {
        self.samples.get(queue).map_or(&[], Vec::as_slice)
    }

    /// Removes the run times of the queues for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&QueueKey) -> bool) {
        self.samples.retain(|queue, _| keep(queue));
    }
}
