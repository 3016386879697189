//! Options, batches and folders shared by the tests.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use roseridge_quorum::{
    DiskId,
    EntryBody,
    HardState,
    LogEntry,
    LogIndex,
    LogSnapshot,
    Membership,
    ReplicaId,
    SnapshotMeta,
    StoredReplica,
    TermNumber,
    WriteBatch, //
};
use roseridge_store::{
    ReplicaStore,
    StoreError,
    StoreOptions, //
};

pub(crate) const DISK: DiskId = DiskId(77);

pub(crate) fn options() -> StoreOptions {
    StoreOptions {
        segment_bytes: 600,
        reserve_bytes: 0,
        ..StoreOptions::new("cluster", ReplicaId(1), DISK)
    }
}

pub(crate) fn open(folder: &Path) -> Result<(ReplicaStore, StoredReplica), StoreError> {
    let (store, opened) = ReplicaStore::open(folder, options())?;
    Ok((store, opened.stored))
}

pub(crate) fn entry(index: u64, term: u64) -> LogEntry {
    let text = format!("entry {index} of term {term}, as long as a small command is");
    LogEntry {
        index: LogIndex(index),
        term: TermNumber(term),
        body: EntryBody::Command(text.into_bytes()),
    }
}

pub(crate) fn append_batch(first: u64, count: u64, term: u64) -> WriteBatch {
    WriteBatch {
        hard_state: Some(HardState {
            term: TermNumber(term),
            vote: None,
        }),
        entries: (first..first + count)
            .map(|index| entry(index, term))
            .collect(),
        ..WriteBatch::default()
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> Arc<LogSnapshot> {
    let meta = SnapshotMeta {
        index: LogIndex(index),
        term: TermNumber(term),
        members: Membership::default(),
    };
    let state = format!("state after {index}").into_bytes();
    Arc::new(LogSnapshot { meta, state })
}

pub(crate) fn snapshot_batch(index: u64, term: u64) -> WriteBatch {
    WriteBatch {
        snapshot: Some(snapshot(index, term)),
        ..WriteBatch::default()
    }
}

/// The stored content of a replica, in a form that can be compared.
pub(crate) type ReplicaContent = (HardState, Option<LogSnapshot>, Vec<LogEntry>);

pub(crate) fn replica_content(stored: &StoredReplica) -> ReplicaContent {
    let snapshot = stored.snapshot.as_deref().cloned();
    (
        stored.hard_state,
        snapshot,
        stored.log.iter().cloned().collect(),
    )
}

/// Returns the sorted paths of the files whose names end with a suffix.
pub(crate) fn files(folder: &Path, suffix: &str) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).expect("the folder exists");
    let paths = files.map(|file| file.expect("the file exists").path());
    let mut paths: Vec<_> = paths
        .filter(|p| p.to_string_lossy().ends_with(suffix))
        .collect();
    paths.sort();
    paths
}

pub(crate) fn copy_folder(from: &Path) -> tempfile::TempDir {
    let copy = tempfile::tempdir().expect("a folder is made");
    for path in files(from, "") {
        let name = path.file_name().expect("the file has a name");
        fs::copy(&path, copy.path().join(name)).expect("the file is copied");
    }
    copy
}
