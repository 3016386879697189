//! What a store reports about its data folder.

use std::{
    fs,
    path::Path, //
};

use roseridge_quorum::LogIndex;
use roseridge_store::{
    FileFaults,
    FileOperation,
    ReplicaStore,
    StoreOptions,
    StoreUsage, //
};

use crate::fixtures::{
    append_batch,
    files,
    open,
    options,
    snapshot_batch, //
};

/// Returns the number of files with a suffix and their total size in bytes.
fn measure(folder: &Path, suffix: &str) -> (usize, usize) {
    let paths = files(folder, suffix);
    let sizes = paths.iter().map(|path| {
        let metadata = fs::metadata(path).expect("the file exists");
        usize::try_from(metadata.len()).expect("a small file")
    });
    (paths.len(), sizes.sum())
}

/// Returns what the files in a folder amount to.
fn measured_usage(folder: &Path, snapshot: u64, last: u64) -> StoreUsage {
    let (segments, log_bytes) = measure(folder, ".wal");
    let (_, snapshot_bytes) = measure(folder, ".snap");
    let (_, reserve_bytes) = measure(folder, "reserve");
    StoreUsage {
        log_bytes,
        segments,
        snapshot_bytes,
        reserve_bytes,
        snapshot_index: LogIndex(snapshot),
        last_index: LogIndex(last),
    }
}

/// Guards against reported sizes that differ from those of the files, before and after the folder is
/// opened again.
#[test]
fn usage_is_that_of_the_files() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let path = folder.path();
    let (mut store, _) = open(path).expect("the folder opens");
    for first in (1..40).step_by(4) {
        store
            .write(&append_batch(first, 4, 1))
            .expect("the batch is written");
    }
    assert_eq!(store.usage(), measured_usage(path, 0, 40));
    assert!(store.usage().segments > 1);
    for index in [20, 30] {
        store
            .write(&snapshot_batch(index, 1))
            .expect("the snapshot is written");
        assert_eq!(store.usage(), measured_usage(path, index, 40));
    }
    let before = store.usage();
    assert!(before.snapshot_bytes > 0);
    assert_eq!(before.entries_since_snapshot(), 10);
    drop(store);
    let (store, _) = open(path).expect("the folder opens");
    assert_eq!(store.usage(), before);
}

/// Guards against a failed snapshot that is reported as if the folder held it.
#[test]
fn failed_snapshot_does_not_count() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let faults = FileFaults::new(|operation, path| {
        let is_snapshot = path.extension().is_some_and(|suffix| suffix == "snap");
        match is_snapshot && operation == FileOperation::Sync {
            true => Err(std::io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    });
    let options = StoreOptions {
        faults,
        ..options()
    };
    let (mut store, _) = ReplicaStore::open(folder.path(), options).expect("the folder opens");
    store
        .write(&append_batch(1, 4, 1))
        .expect("the batch is written");
    let before = store.usage();
    store
        .write(&snapshot_batch(4, 1))
        .expect_err("the write fails");
    assert_eq!(store.usage(), before);
}
