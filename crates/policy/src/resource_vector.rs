//! Resources and slots as one vector whose components may be negative.

use roseridge_model::{
    ResourceShape,
    WorkerShape, //
};

/// The number of components: cores, memory in MiB, accelerators, slots.
const DIMENSIONS: usize = 4;
/// The index of the accelerators.
const ACCELERATORS: usize = 2;
/// The index of the slots.
const SLOTS: usize = 3;

/// A vector of cores, memory in MiB, accelerators and slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ResourceVector([i64; DIMENSIONS]);

impl ResourceVector {
    pub(crate) fn new(shape: &ResourceShape, slots: u16) -> Self {
        let memory = i64::try_from(shape.memory_mib).unwrap_or(i64::MAX / 4);
        Self([
            shape.cores.into(),
            memory,
            shape.accelerators.into(),
            slots.into(),
        ])
    }

    /// Returns the resources and the slot that one task of this shape takes.
    pub(crate) fn from_task(shape: &ResourceShape) -> Self {
        Self::new(shape, 1)
    }

    /// Returns the resources that are set aside for one guaranteed member.
    ///
    /// They include a share of the worker's slots in proportion to the member's accelerators, so
    /// that several smaller tasks can use the guarantee.
    pub(crate) fn from_guarantee(shape: &ResourceShape, worker: &WorkerShape) -> Self {
        let total = worker.total.accelerators.max(1);
        let slot_share = u64::from(shape.accelerators) * u64::from(worker.slots) / u64::from(total);
        let slots = slot_share.clamp(1, u64::from(worker.slots.max(1)));
        Self::new(shape, u16::try_from(slots).unwrap_or(u16::MAX))
    }

    pub(crate) fn accelerators(&self) -> i64 {
        self.0[ACCELERATORS]
    }

    pub(crate) fn slots(&self) -> i64 {
        self.0[SLOTS]
    }

    fn combine(&self, other: &Self, operation: impl Fn(i64, i64) -> i64) -> Self {
        let mut combined = *self;
        for (value, other) in combined.0.iter_mut().zip(other.0) {
            *value = operation(*value, other);
        }
        combined
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.combine(other, |a, b| a + b)
    }

    pub(crate) fn minus(&self, other: &Self) -> Self {
        self.combine(other, |a, b| a - b)
    }

    pub(crate) fn max(&self, other: &Self) -> Self {
        self.combine(other, i64::max)
    }

    pub(crate) fn min(&self, other: &Self) -> Self {
        self.combine(other, i64::min)
    }

    pub(crate) fn times(&self, count: u16) -> Self {
        Self(self.0.map(|value| value * i64::from(count)))
    }

    /// Returns whether every component is at least that of `other`.
    pub(crate) fn can_hold(&self, other: &Self) -> bool {
        self.0.iter().zip(other.0).all(|(a, b)| *a >= b)
    }

    /// Returns the number of times that `member` fits into these resources.
    pub(crate) fn count_fitting(&self, member: &Self) -> u16 {
        let multiples = self.0.iter().zip(member.0).filter(|(_, need)| *need > 0);
        let minimum = multiples
            .map(|(available, need)| (*available).max(0) / need)
            .min();
        u16::try_from(minimum.unwrap_or(0)).unwrap_or(u16::MAX)
    }
}
