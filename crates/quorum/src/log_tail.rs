//! The log entries in memory.

use std::collections::VecDeque;

use crate::{
    LogEntry,
    LogIndex,
    TermNumber, //
};

/// An entry with the position of its end among the bytes of the tail.
#[derive(Debug, Clone)]
struct TailEntry {
    entry: LogEntry,
    /// The size of this entry and of every earlier one since the tail was created, in bytes.
    end_bytes: usize,
}

/// The end of the log, held in memory.
#[derive(Debug, Clone, Default)]
pub struct LogTail {
    base_index: LogIndex,
    base_term: TermNumber,
    /// The size of the entries that were dropped from the start of the tail, in bytes.
    base_bytes: usize,
    entries: VecDeque<TailEntry>,
}

impl LogTail {
    /// Creates an empty tail that follows a snapshot, or an empty log if both arguments are zero.
    pub fn after(base_index: LogIndex, base_term: TermNumber) -> Self {
        Self {
            base_index,
            base_term,
            base_bytes: 0,
            entries: VecDeque::new(),
        }
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |e| e.entry.term)
    }

    /// Returns the approximate size of the entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.end_bytes() - self.base_bytes
    }

    /// Returns the approximate size of the entries after an index, in bytes.
    pub fn bytes_after(&self, index: LogIndex) -> usize {
        self.end_bytes() - self.end_bytes_at(index)
    }

    /// Returns the lowest index for which the entries after it, up to `last`, have at most
    /// `max_bytes`.
    pub(crate) fn first_index_within(&self, last: LogIndex, max_bytes: usize) -> LogIndex {
        let first_bytes = self.end_bytes_at(last).saturating_sub(max_bytes);
        if self.base_bytes >= first_bytes {
            return self.base_index;
        }
        let position = self.entries.partition_point(|e| e.end_bytes < first_bytes);
        LogIndex(self.base_index.0 + position as u64 + 1)
    }

    fn end_bytes(&self) -> usize {
        self.entries.back().map_or(self.base_bytes, |e| e.end_bytes)
    }

    /// Returns the end of an entry among the bytes of the tail; an index beyond the tail counts as
    /// the nearest one within.
    fn end_bytes_at(&self, index: LogIndex) -> usize {
        match self.position(index) {
            None => self.base_bytes,
            Some(position) => self
                .entries
                .get(position)
                .map_or(self.end_bytes(), |e| e.end_bytes),
        }
    }

    /// Returns the position of an entry in the tail, which may be beyond the end, or `None` if it
    /// precedes the tail.
    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        usize::try_from(offset).ok()
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
        let tail_entry = self.entries.get(self.position(index)?)?;
        Some(&tail_entry.entry)
    }

    /// Appends an entry, which must follow the last one.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not follow the last one, which only a bug in this crate can cause.
    pub fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        let end_bytes = self.end_bytes() + entry.size();
        self.entries.push_back(TailEntry { entry, end_bytes });
    }

    /// Removes the entry at `index` and every later entry.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept_count = index.0.saturating_sub(self.base_index.0 + 1);
        self.entries
            .truncate(usize::try_from(kept_count).unwrap_or(usize::MAX));
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

    /// Returns the entries in order of their index.
    pub fn iter(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter().map(|e| &e.entry)
    }

    /// Drops the entries up to and including `index`, which a snapshot now covers.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.base_index < index {
            let Some(dropped) = self.entries.pop_front() else {
                break;
            };
            self.base_index = dropped.entry.index;
            self.base_term = dropped.entry.term;
            self.base_bytes = dropped.end_bytes;
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
