//! New files whose place in the folder is not durable yet.

use std::{
    io,
    sync::{
        Arc,
        Mutex, //
    },
};

use roseridge_store::{
    FileFaults,
    FileOperation,
    ReplicaStore,
    StoreOptions, //
};

use crate::fixtures::{
    append_batch,
    options,
    snapshot_batch, //
};

/// Guards against acknowledged entries in a segment that a power loss takes away: the process ended
/// between the creation of the segment and the sync of the folder, and another one writes to it.
#[test]
fn folder_is_synced_again_after_a_crash_before_its_sync() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let crashing = FileFaults::new(|operation, path| {
        let is_second = path.ends_with("log-000000000002.wal");
        match operation == FileOperation::SyncFolder && is_second {
            true => Err(io::ErrorKind::Interrupted.into()),
            false => Ok(()),
        }
    });
    let open_with = |faults| {
        let options = StoreOptions {
            faults,
            ..options()
        };
        ReplicaStore::open(folder.path(), options).expect("the folder opens")
    };
    let (mut store, _) = open_with(crashing);
    store
        .write(&append_batch(1, 4, 1))
        .expect("the batch is written");
    let batch = snapshot_batch(4, 1);
    store.write(&batch).expect_err("the folder isn't synced");
    drop(store);

    let operations = Arc::new(Mutex::new(Vec::new()));
    let recorded = operations.clone();
    let recording = FileFaults::new(move |operation, _| {
        recorded.lock().expect("no panic").push(operation);
        Ok(())
    });
    let (mut store, _) = open_with(recording);
    assert_eq!(store.usage().segments, 2, "the new segment is in use");
    store
        .write(&append_batch(5, 1, 1))
        .expect("the batch is written");
    let operations = operations.lock().expect("no panic");
    assert!(
        operations.contains(&FileOperation::SyncFolder),
        "{operations:?}"
    );
}
