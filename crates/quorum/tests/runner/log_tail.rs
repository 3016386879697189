//! The size of the log in memory.

use roseridge_quorum::{
    EntryBody,
    LogEntry,
    LogIndex,
    LogTail,
    TermNumber, //
};

fn entry(index: u64) -> LogEntry {
    let length = usize::try_from(index).expect("a small index");
    LogEntry {
        index: LogIndex(index),
        term: TermNumber(1),
        body: EntryBody::Command(vec![0; 100 * length]),
    }
}

/// Returns a log that holds the entries after `base` up to and including `last`.
fn log_with(base: u64, last: u64) -> LogTail {
    let mut log = LogTail::after(LogIndex(base), TermNumber(1));
    (base + 1..=last).for_each(|index| log.push(entry(index)));
    log
}

/// Guards against a size that differs from the sizes of the entries that are held.
fn check_size(log: LogTail) {
    let sizes = log.iter().map(LogEntry::size);
    assert_eq!(log.bytes(), sizes.sum::<usize>());
}

/// Returns a changed log.
fn changed(mut log: LogTail, change: impl FnOnce(&mut LogTail)) -> LogTail {
    change(&mut log);
    log
}

roseridge_testutils::cases! {
    check_size:
    appended_entries_count = log_with(3, 9),
    truncated_entries_do_not_count = changed(log_with(3, 9), |log| log.truncate_from(LogIndex(6))),
    truncation_after_the_log_changes_nothing =
        changed(log_with(3, 9), |log| log.truncate_from(LogIndex(99))),
    truncation_before_the_log_empties_it =
        changed(log_with(3, 9), |log| log.truncate_from(LogIndex(1))),
    compacted_entries_do_not_count = changed(log_with(0, 9), |log| log.compact_to(LogIndex(5))),
    replaced_entries_count_once = changed(log_with(0, 9), |log| {
        log.truncate_from(LogIndex(5));
        log.push(entry(5));
    }),
}
