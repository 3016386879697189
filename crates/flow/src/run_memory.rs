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
const MAX_SAMPLES: usize = 32;

/// The newest run times of each queue, each in percent of its caller's estimate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunMemory {
    ratios: BTreeMap<QueueKey, Vec<u32>>,
}

impl RunMemory {
    /// Notes how long a run of a queue took.
    pub fn note(&mut self, queue: &QueueKey, estimate: DurationMs, took: DurationMs) {
        let percent = took.0.saturating_mul(100) / estimate.0.max(1);
        let ratios = self.ratios.entry(queue.clone()).or_default();
        if ratios.len() >= MAX_SAMPLES {
            ratios.remove(0);
        }
        ratios.push(u32::try_from(percent).unwrap_or(u32::MAX));
    }

    /// Returns the run time, in percent of the estimate, that this share of the runs stayed under.
    pub fn ratio_percent(&self, queue: &QueueKey, share_percent: usize) -> Option<u32> {
        let ratios = self.ratios.get(queue).filter(|r| !r.is_empty())?;
        let mut sorted = ratios.clone();
        sorted.sort_unstable();
        let at = (sorted.len() - 1) * share_percent.min(100) / 100;
        sorted.get(at).copied()
    }

    /// Returns how many run times of a queue are known.
    pub fn samples(&self, queue: &QueueKey) -> usize {
        self.ratios.get(queue).map_or(0, Vec::len)
    }

    /// Forgets the queues that a configuration no longer has.
    pub(crate) fn retain(&mut self, keep: impl Fn(&QueueKey) -> bool) {
        self.ratios.retain(|queue, _| keep(queue));
    }
}
