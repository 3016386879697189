//! Errors of the store.

use std::{
    io,
    path::PathBuf, //
};

use roseridge_quorum::LogGap;
use snafu::Snafu;

/// Why a data folder can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A file operation failed; the store must not be used any further.
    #[snafu(display("{}: {source}", path.display()))]
    FileAccess {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record is damaged in a way that a crash cannot cause.
    #[snafu(display("{} is damaged at offset {offset}", path.display()))]
    DamagedFile {
        /// The file.
        path: PathBuf,
        /// The offset of the record, in bytes.
        offset: usize,
    },
    /// A required file is missing.
    #[snafu(display("{} is missing", path.display()))]
    MissingFile {
        /// The file.
        path: PathBuf,
    },
    /// Log entries are missing.
    #[snafu(display("{}: {source}", path.display()))]
    MissingEntries {
        /// The folder or file in which they are missing.
        path: PathBuf,
        /// The gap in the log.
        source: LogGap,
    },
    /// The folder belongs to another replica or another cluster.
    #[snafu(display("{} belongs to {found}, not to {expected}", path.display()))]
    WrongOwner {
        /// The folder.
        path: PathBuf,
        /// The cluster and replica that the folder belongs to.
        found: String,
        /// The cluster and replica for which it was opened.
        expected: String,
    },
    /// Another process has locked the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    FolderInUse {
        /// The folder.
        path: PathBuf,
    },
    /// A record can't be encoded.
    #[snafu(display("a record can't be encoded: {source}"))]
    EncodeRecord {
        /// The cause.
        source: postcard::Error,
    },
    /// An earlier write failed, so the content of the disk is unknown.
    #[snafu(display("an earlier write failed; restart the replica"))]
    Poisoned,
}

impl StoreError {
    /// Returns whether there was no space left on the disk.
    pub fn is_storage_full(&self) -> bool {
        match self {
            Self::FileAccess { source, .. } => matches!(
                source.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            ),
            _ => false,
        }
    }
}
