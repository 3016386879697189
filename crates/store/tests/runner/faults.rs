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

use crate::fixtures::{
    append_batch,
    open,
    options,
    snapshot, //
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
