//! The log entries in memory.

use std::collections::VecDeque;

use crate::{
    LogEntry,
    LogIndex,
    TermNumber, //
};

/// The end of the log, held in memory.
#[derive(Debug, Clone, Default)]
pub struct LogTail {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    /// The sum of the sizes of the entries.
    bytes: usize,
}

impl LogTail {
    /// Creates an empty tail that follows a snapshot, or an empty log if both arguments are zero.
    pub fn after(base_index: LogIndex, base_term: TermNumber) -> Self {
        Self {
            base_index,
            base_term,
            ..Self::default()
        }
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the index of the entry before the first one in the tail.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the term of an entry, if it is in the tail or is the entry before it.
    pub fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index => self.entry(index).map(|e| e.term),
        }
    }

    /// Returns an entry, if it is in the tail.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry, which must follow the last one.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not follow the last one, which only a bug in this crate can cause.
    pub fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and every later entry.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept_count = index.0.saturating_sub(self.base_index.0 + 1);
        let kept_count = usize::try_from(kept_count).unwrap_or(usize::MAX);
        let removed = self.entries.drain(kept_count.min(self.entries.len())..);
        self.bytes -= removed.map(|entry| entry.size()).sum::<usize>();
    }

    /// Returns the index of the first entry with the same term as the entry at `index`, or the base
    /// index if the term begins before the tail.
    pub(crate) fn term_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index && self.term_at(LogIndex(first.0 - 1)) == term {
            first = LogIndex(first.0 - 1);
        }
        first
    }

    /// Returns the approximate size of the entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the entries in order of their index.
    pub fn iter(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    /// Drops the entries up to and including `index`, which a snapshot now covers.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the entries from `index` on, within both limits but at least one if there is any.
    pub fn slice(&self, index: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = index;
        while let Some(entry) = self.entry(index) {
            bytes += entry.size();
            let full = entries.len() >= max_entries || bytes > max_bytes;
            if full && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }
}
