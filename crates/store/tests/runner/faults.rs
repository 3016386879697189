//! Failing file operations.

use std::{
    io,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use roseridge_quorum::WriteBatch;
use roseridge_store::{
    FileFaults,
    FileOperation,
    ReplicaStore,
    StoreError,
    StoreOptions, //
};
use roseridge_testutils::{
    LimitedDisk,
    folder_bytes, //
};

use crate::fixtures::{
    append_batch,
    open,
    options,
    snapshot,
    snapshot_batch, //
};

/// Guards against writes after a failed operation: the store must reject every later write, and
/// synced entries must still be there after it is opened again.
fn check_poisoned(operation: FileOperation) {
    let folder = tempfile::tempdir().expect("a folder is made");
    let fails = Arc::new(AtomicBool::new(false));
    let fails_now = fails.clone();
    let faults = FileFaults::new(move |current, _| {
        match current == operation && fails_now.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    });
    let options = StoreOptions {
        faults,
        ..options()
    };
    let (mut store, _) = ReplicaStore::open(folder.path(), options).expect("the folder opens");
    store
        .write(&append_batch(1, 2, 1))
        .expect("the batch is written");
    fails.store(true, Ordering::Relaxed);
    let batch = WriteBatch {
        snapshot: Some(snapshot(2, 1)),
        ..append_batch(3, 1, 1)
    };
    let failed = store.write(&batch).expect_err("the write fails");
    assert!(matches!(failed, StoreError::FileAccess { .. }));
    fails.store(false, Ordering::Relaxed);
    let refused = store
        .write(&append_batch(3, 1, 1))
        .expect_err("the store is poisoned");
    assert!(matches!(refused, StoreError::Poisoned));
    drop(store);
    let (_, stored) = open(folder.path()).expect("the folder opens");
    assert!(stored.log.last_index().0 >= 2, "synced entries are kept");
}

roseridge_testutils::cases! {
    check_poisoned:
    failed_write_poisons_the_store = FileOperation::Write,
    failed_sync_poisons_the_store = FileOperation::Sync,
    failed_rename_poisons_the_store = FileOperation::Rename,
    failed_folder_sync_poisons_the_store = FileOperation::SyncFolder,
}

/// Guards against a data folder that can't be opened again after a write ran out of space: the
/// part of the write that the disk took is cut off, and the files are still complete.
#[test]
fn folder_of_a_full_disk_opens_without_the_unfinished_write() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let disk = LimitedDisk::new(usize::MAX);
    let limited_disk = disk.clone();
    let options = StoreOptions {
        faults: FileFaults::limited_space(move |folder| limited_disk.free_bytes(folder)),
        ..options()
    };
    let (mut store, _) = ReplicaStore::open(folder.path(), options.clone()).expect("it opens");
    store
        .write(&append_batch(1, 2, 1))
        .expect("the batch is written");
    let written_bytes = folder_bytes(folder.path());
    for batch in [append_batch(3, 1, 1), snapshot_batch(2, 1)] {
        disk.set_capacity(written_bytes + 20);
        store.write(&batch).expect_err("the disk is full");
        assert_eq!(folder_bytes(folder.path()), written_bytes + 20);
        drop(store);
        let opened = ReplicaStore::open(folder.path(), options.clone()).expect("it opens");
        let (reopened, content) = opened;
        store = reopened;
        assert_eq!(folder_bytes(folder.path()), written_bytes);
        assert_eq!(content.stored.log.last_index().0, 2);
    }
    disk.set_capacity(usize::MAX);
    store
        .write(&append_batch(3, 1, 1))
        .expect("there is space again");
}
