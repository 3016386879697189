//! A limit on the size of the calls that wait to be handled.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    },
};

/// A number of bytes that calls share.
#[derive(Debug, Clone)]
pub(crate) struct CallBudget {
    max_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

/// A call's share of a budget, which is returned when it is dropped.
#[derive(Debug)]
pub struct BudgetShare {
    bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl CallBudget {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Takes a share, unless it exceeds what is left. A single call may exceed the whole budget.
    pub(crate) fn take(&self, bytes: usize) -> Option<BudgetShare> {
        let add = |used_bytes: usize| match used_bytes.saturating_add(bytes) {
            total if total > self.max_bytes && used_bytes > 0 => None,
            total => Some(total),
        };
        let taken = self
            .used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.ok().map(|_| BudgetShare {
            bytes,
            used_bytes: Arc::clone(&self.used_bytes),
        })
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
