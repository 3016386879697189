//! The size of the replicated state, which bounds what a leader accepts.
//!
//! Every replica holds the state in memory and, while it replaces one by the next, two snapshots of it on
//! its disk. A follower accepts only a limited snapshot.

use postcard::ser_flavors;
use roseridge_ledger::LedgerState;
use serde::Serialize;

/// The minimum time between two measurements, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 1_000;

/// The size of the encoded state, measured from time to time, with the bytes proposed since.
#[derive(Debug, Default)]
pub struct StateSize {
    measured_bytes: usize,
    /// The time of the last measurement, or `None` before the first one.
    measured_ms: Option<u64>,
    /// The bytes proposed since the last measurement, and those between it and the one before. Some of the
    /// latter may not have been applied when it was made.
    proposed_bytes: [usize; 2],
}

impl StateSize {
    /// Returns whether the state has room for a number of bytes below a maximum size.
    ///
    /// Measures the state if the last measurement is older than a second.
    pub fn has_room(
        &mut self,
        ledger: &LedgerState,
        (bytes, max_bytes): (usize, usize),
        now_ms: u64,
    ) -> bool {
        let due_ms = self.measured_ms.map(|at_ms| at_ms + MEASURE_INTERVAL_MS);
        if due_ms.is_none_or(|due_ms| due_ms <= now_ms) {
            self.measured_ms = Some(now_ms);
            self.measured_bytes = encoded_bytes(ledger);
            self.proposed_bytes = [0, self.proposed_bytes[0]];
        }
        let proposed_bytes: usize = self.proposed_bytes.iter().sum();
        let total_bytes = self.measured_bytes.saturating_add(proposed_bytes);
        total_bytes.saturating_add(bytes) <= max_bytes
    }

    /// Records that a change is proposed that adds a number of bytes.
    pub fn record_proposal(&mut self, bytes: usize) {
        self.proposed_bytes[0] = self.proposed_bytes[0].saturating_add(bytes);
    }
}

/// Returns the number of bytes that a value has when it is encoded.
///
/// A value that can't be encoded has the maximum number, so that no change adds to it.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let size = postcard::serialize_with_flavor(value, ser_flavors::Size::default());
    size.unwrap_or(usize::MAX)
}
