//! Errors that stop a replica.

use roseridge_events as events;
use roseridge_store::StoreError;
use snafu::Snafu;

/// An error that stops a replica.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaError {
    /// The data folder can't be used.
    #[snafu(display("the data folder can't be used: {source}"))]
    StoreUnusable {
        /// The cause.
        source: StoreError,
    },
    /// A committed entry can't be decoded.
    #[snafu(display("log entry {index} can't be decoded: {source}"))]
    EntryUnreadable {
        /// The index of the entry.
        index: u64,
        /// The cause.
        source: postcard::Error,
    },
    /// A snapshot can't be encoded or decoded.
    #[snafu(display("the snapshot at index {index} can't be encoded or decoded: {source}"))]
    SnapshotUnreadable {
        /// The index of the last entry that it covers.
        index: u64,
        /// The cause.
        source: postcard::Error,
    },
}

impl ReplicaError {
    /// Returns the log line for the process that hosts the replica.
    pub fn log_line(&self) -> String {
        match self {
            Self::StoreUnusable { .. } => events::STORE_FAILED.line(self),
            Self::EntryUnreadable { .. } | Self::SnapshotUnreadable { .. } => {
                events::ENTRY_UNREADABLE.line(self)
            }
        }
    }
}
