//! A disk that keeps synced writes and, after a crash, any prefix of the unsynced ones.

use std::collections::VecDeque;

use roseridge_quorum::{
    HardState,
    LogEntry,
    LogIndex,
    LogSnapshot,
    StoredReplica,
    TermNumber,
    WriteBatch,
    WriteNumber, //
};

/// A part of a batch that is written completely or not at all.
enum DiskOperation {
    Snapshot(std::sync::Arc<LogSnapshot>),
    HardState(HardState),
    Reset(LogIndex, TermNumber),
    Truncate(LogIndex),
    Entry(LogEntry),
}

/// A disk with its synced state and the unsynced writes.
#[derive(Default)]
pub(crate) struct FakeDisk {
    pub(crate) stored: StoredReplica,
    queue: VecDeque<WriteBatch>,
}

impl FakeDisk {
    pub(crate) fn queue(&mut self, batch: WriteBatch) {
        self.queue.push_back(batch);
    }

    pub(crate) fn has_unsynced(&self) -> bool {
        !self.queue.is_empty()
    }

    pub(crate) fn sync_next(&mut self) -> Option<WriteNumber> {
        let batch = self.queue.pop_front()?;
        let number = batch.number;
        for operation in split_batch(batch) {
            self.apply(operation);
        }
        Some(number)
    }

    /// Discards the unsynced operations, except for the first `kept` ones.
    pub(crate) fn crash(&mut self, kept: usize) {
        let unsynced = std::mem::take(&mut self.queue);
        for operation in unsynced.into_iter().flat_map(split_batch).take(kept) {
            self.apply(operation);
        }
    }

    pub(crate) fn load(&self) -> StoredReplica {
        self.stored.clone().finish().expect("the disk has no gaps")
    }

    fn apply(&mut self, operation: DiskOperation) {
        match operation {
            DiskOperation::Snapshot(snapshot) => self.stored.snapshot = Some(snapshot),
            DiskOperation::HardState(hard_state) => self.stored.hard_state = hard_state,
            DiskOperation::Reset(index, term) => self.stored.reset(index, term),
            DiskOperation::Truncate(index) => self.stored.truncate_from(index),
            DiskOperation::Entry(entry) => self.stored.push(entry).expect("the log has no gaps"),
        }
    }
}

/// Splits a batch into operations, in the order in which they are written.
fn split_batch(batch: WriteBatch) -> Vec<DiskOperation> {
    let mut operations = Vec::new();
    operations.extend(batch.snapshot.map(DiskOperation::Snapshot));
    operations.extend(batch.hard_state.map(DiskOperation::HardState));
    operations.extend(
        batch
            .reset
            .map(|(index, term)| DiskOperation::Reset(index, term)),
    );
    operations.extend(batch.truncate_from.map(DiskOperation::Truncate));
    operations.extend(batch.entries.into_iter().map(DiskOperation::Entry));
    operations
}
