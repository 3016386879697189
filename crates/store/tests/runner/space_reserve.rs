//! The space that is reserved for the time when the disk is full.

use std::path::Path;

use roseridge_store::{
    FileFaults,
    ReplicaStore,
    StoreOptions, //
};
use roseridge_testutils::{
    LimitedDisk,
    folder_bytes, //
};

use crate::fixtures::{
    append_batch,
    options,
    snapshot_batch, //
};

const RESERVE_BYTES: usize = 8_000;
/// The size of a disk that is not full yet, in bytes.
const DISK_BYTES: usize = 100_000;

fn open(folder: &Path, disk: &LimitedDisk) -> ReplicaStore {
    let disk = disk.clone();
    let options = StoreOptions {
        reserve_bytes: RESERVE_BYTES,
        faults: FileFaults::limited_space(move |folder| disk.free_bytes(folder)),
        ..options()
    };
    let (store, _) = ReplicaStore::open(folder, options).expect("the folder opens");
    store
}

/// Guards against a full disk on which no snapshot can be written that would free the log.
#[test]
fn reserve_makes_room_for_a_snapshot_on_a_full_disk() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let disk = LimitedDisk::new(DISK_BYTES);
    let mut store = open(folder.path(), &disk);
    assert_eq!(store.usage().reserve_bytes, RESERVE_BYTES);
    for number in 0..20 {
        store
            .write(&append_batch(1 + number * 4, 4, 1))
            .expect("the batch is written");
    }
    disk.set_capacity(folder_bytes(folder.path()));
    let failed = store.write(&snapshot_batch(80, 1));
    assert!(failed.is_err_and(|error| error.is_storage_full()));
    assert_eq!(store.usage().reserve_bytes, 0);
    drop(store);

    let mut store = open(folder.path(), &disk);
    let log_bytes = store.log_bytes();
    store
        .write(&snapshot_batch(80, 1))
        .expect("the snapshot is written");
    assert!(store.log_bytes() < log_bytes / 10);
    disk.set_capacity(DISK_BYTES);
    store
        .write(&append_batch(81, 4, 1))
        .expect("the batch is written");
    store
        .write(&snapshot_batch(84, 1))
        .expect("the snapshot is written");
    assert_eq!(store.usage().reserve_bytes, RESERVE_BYTES);
}

/// Guards against a reserve that itself takes the last space of a disk.
#[test]
fn reserve_is_not_filled_without_room_beside_it() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let disk = LimitedDisk::new(RESERVE_BYTES);
    let mut store = open(folder.path(), &disk);
    assert_eq!(store.usage().reserve_bytes, 0);
    store
        .write(&append_batch(1, 40, 1))
        .expect("the batch is written");
}
