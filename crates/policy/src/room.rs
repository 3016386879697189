//! Resources and slots as one vector that may go below zero.

use roseridge_model::{
    ResourceShape,
    WorkerShape, //
};

/// The number of dimensions: cores, memory, accelerators, slots.
const DIMENSIONS: usize = 4;
const ACCELERATORS: usize = 2;
const SLOTS: usize = 3;

/// Cores, memory, accelerators and slots together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Room([i64; DIMENSIONS]);

impl Room {
    pub(crate) fn new(shape: &ResourceShape, slots: u16) -> Self {
        let memory = i64::try_from(shape.memory_mib).unwrap_or(i64::MAX / 4);
        Self([
            shape.cores.into(),
            memory,
            shape.accelerators.into(),
            slots.into(),
        ])
    }

    /// Returns what one task of this shape takes.
    pub(crate) fn of_task(shape: &ResourceShape) -> Self {
        Self::new(shape, 1)
    }

    /// Returns what is set aside for one guaranteed member: its share of the worker's slots comes with
    /// its accelerators, so that smaller tasks can use them one by one.
    pub(crate) fn of_guarantee(shape: &ResourceShape, worker: &WorkerShape) -> Self {
        let whole = worker.total.accelerators.max(1);
        let share = u64::from(shape.accelerators) * u64::from(worker.slots) / u64::from(whole);
        let slots = share.clamp(1, u64::from(worker.slots.max(1)));
        Self::new(shape, u16::try_from(slots).unwrap_or(u16::MAX))
    }

    pub(crate) fn accelerators(&self) -> i64 {
        self.0[ACCELERATORS]
    }

    pub(crate) fn slots(&self) -> i64 {
        self.0[SLOTS]
    }

    fn zip(&self, other: &Self, join: impl Fn(i64, i64) -> i64) -> Self {
        let mut joined = *self;
        for (value, other) in joined.0.iter_mut().zip(other.0) {
            *value = join(*value, other);
        }
        joined
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.zip(other, |a, b| a + b)
    }

    pub(crate) fn minus(&self, other: &Self) -> Self {
        self.zip(other, |a, b| a - b)
    }

    pub(crate) fn max(&self, other: &Self) -> Self {
        self.zip(other, i64::max)
    }

    pub(crate) fn min(&self, other: &Self) -> Self {
        self.zip(other, i64::min)
    }

    pub(crate) fn times(&self, count: u16) -> Self {
        Self(self.0.map(|value| value * i64::from(count)))
    }

    /// Returns whether `other` fits into this room.
    pub(crate) fn can_hold(&self, other: &Self) -> bool {
        self.0.iter().zip(other.0).all(|(a, b)| *a >= b)
    }

    /// Returns how often `member` fits into this room.
    pub(crate) fn count(&self, member: &Self) -> u16 {
        let times = self.0.iter().zip(member.0).filter(|(_, need)| *need > 0);
        let least = times.map(|(have, need)| (*have).max(0) / need).min();
        u16::try_from(least.unwrap_or(0)).unwrap_or(u16::MAX)
    }
}
