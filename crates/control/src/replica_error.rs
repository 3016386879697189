//! Errors that stop a replica.

use log::error;
use roseridge_events as events;
use roseridge_store::{
    StoreError,
    StoreUsage, //
};
use snafu::Snafu;

/// An error that stops a replica.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaError {
    /// The data folder can't be opened.
    #[snafu(display("the data folder can't be used: {source}"))]
    StoreUnusable {
        /// The cause.
        source: StoreError,
    },
    /// A write to the data folder failed.
    #[snafu(display("a write to the data folder failed: {source}"))]
    WriteFailed {
        /// The cause.
        source: StoreError,
        /// What the folder holds.
        usage: StoreUsage,
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
    /// Logs the error, for the process that hosts the replica.
    pub fn log(&self) {
        match self {
            Self::StoreUnusable { .. } => error!("{}", events::STORE_FAILED.line(self)),
            Self::WriteFailed { usage, .. } => error!(
                log_bytes = usage.log_bytes,
                segments = usage.segments,
                snapshot_bytes = usage.snapshot_bytes,
                reserve_bytes = usage.reserve_bytes,
                snapshot_index = usage.snapshot_index.0,
                last_index = usage.last_index.0;
                "{}",
                events::STORE_FAILED.line(self)
            ),
            Self::EntryUnreadable { .. } | Self::SnapshotUnreadable { .. } => {
                error!("{}", events::ENTRY_UNREADABLE.line(self));
            }
        }
    }
}
