//! Counts unusable inputs of the backend server's side and limits the log lines about them.

use std::collections::BTreeMap;

/// The interval between two log lines about one kind of fault, in milliseconds.
///
/// Other writers may send unusable reports at any rate.
const LINE_INTERVAL_MS: u64 = 10_000;

/// The faults since the last log line of each kind.
#[derive(Debug, Default)]
pub(crate) struct InputFaults {
    kinds: BTreeMap<&'static str, FaultCount>,
}

/// The faults of one kind.
#[derive(Debug, Default)]
struct FaultCount {
    unlogged: u64,
    logged_ms: Option<u64>,
}

impl InputFaults {
    /// Records faults and returns the number to log, if a line is due.
    pub(crate) fn record(&mut self, kind: &'static str, count: u64, now_ms: u64) -> Option<u64> {
        let fault = self.kinds.entry(kind).or_default();
        fault.unlogged += count;
        let is_due = fault
            .logged_ms
            .is_none_or(|logged_ms| now_ms >= logged_ms + LINE_INTERVAL_MS);
        if !is_due || fault.unlogged == 0 {
            return None;
        }
        fault.logged_ms = Some(now_ms);
        Some(std::mem::take(&mut fault.unlogged))
    }
}
