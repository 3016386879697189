//! The stored state of a replica, and its reconstruction from the writes on disk.

use std::sync::Arc;

use snafu::Snafu;

use crate::{
    HardState,
    LogEntry,
    LogIndex,
    LogSnapshot,
    LogTail,
    TermNumber, //
};

/// The stored log is not contiguous: entries are missing between two writes, or between the
/// snapshot and the log.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("the log is not contiguous: entry {last} is followed by entry {next}"))]
pub struct LogGap {
    /// The last index before the gap.
    pub last: LogIndex,
    /// The index found after the gap.
    pub next: LogIndex,
}

/// The state of a replica on its disk.
#[derive(Debug, Clone, Default)]
pub struct StoredReplica {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Arc<LogSnapshot>>,
    /// The entries that are not compacted.
    pub log: LogTail,
    /// Whether the entries on disk must be discarded because they don't match the snapshot.
    ///
    /// The first write of the replica then resets the log.
    pub needs_log_reset: bool,
}

impl StoredReplica {
    /// Replays a truncation of the log, which discards every entry from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
    }

    /// Replays a reset, which replaces the whole log by a snapshot.
    pub fn reset(&mut self, index: LogIndex, term: TermNumber) {
        self.log = LogTail::after(index, term);
    }

    /// Replays an append; an entry that exists at the same index is replaced, and every later entry
    /// is discarded.
    ///
    /// # Errors
    ///
    /// Returns a [`LogGap`] if entries are missing before this one, or if it precedes the log.
    pub fn push(&mut self, entry: LogEntry) -> Result<(), LogGap> {
        let last = self.log.last_index();
        if entry.index > last.next() || entry.index <= self.log.base_index() {
            let next = entry.index;
            return Err(LogGap { last, next });
        }
        self.log.truncate_from(entry.index);
        self.log.push(entry);
        Ok(())
    }

    /// Matches the log against the snapshot, after every write was replayed.
    ///
    /// # Errors
    ///
    /// Returns a [`LogGap`] if entries are missing between the snapshot and the log.
    pub fn finish(mut self) -> Result<Self, LogGap> {
        let (index, term) = match &self.snapshot {
            Some(snapshot) => (snapshot.meta.index, snapshot.meta.term),
            None => (LogIndex(0), TermNumber(0)),
        };
        let next = self.log.base_index();
        if next > index {
            return Err(LogGap { last: index, next });
        }
        match self.log.term_at(index) {
            Some(log_term) if log_term == term => self.log.compact_to(index),
            // The replica crashed between writing the snapshot and resetting the log.
            _ => {
                self.log = LogTail::after(index, term);
                self.needs_log_reset = true;
            }
        }
        let last_term = self.log.last_term();
        if self.hard_state.term < last_term {
            let vote = None;
            self.hard_state = HardState {
                term: last_term,
                vote,
            };
        }
        Ok(self)
    }
}
