//! What was learnt of run times.

use std::collections::BTreeMap;

use roseridge_model::{
    DurationMs,
    QueueKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The most run times that are kept of one queue.
const MAX_SAMPLES: usize = 64;

/// One run time, with what its caller had estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeSample {
    /// What the caller estimated.
    pub estimate: DurationMs,
    /// What it took.
    pub took: DurationMs,
}

/// The newest run times of each queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunTimeHistory {
    samples: BTreeMap<QueueKey, Vec<RunTimeSample>>,
}

impl RunTimeHistory {
    /// Notes how long a run of a queue took.
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

    /// Forgets the queues that a configuration no longer has.
    pub(crate) fn retain(&mut self, keep: impl Fn(&QueueKey) -> bool) {
        self.samples.retain(|queue, _| keep(queue));
    }
}
