//! The identity and the lock of a data folder.

use std::fs;

use roseridge_quorum::{
    DiskId,
    ReplicaId, //
};
use roseridge_store::{
    ReplicaStore,
    StoreError,
    StoreOptions, //
};

use crate::fixtures::{
    append_batch,
    files,
    open,
    options, //
};

/// Guards against a wiped disk that votes as its old member, and against an existing identity that
/// is replaced.
#[test]
fn wiped_folder_has_a_new_identity() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let (store, opened) = ReplicaStore::open(folder.path(), options()).expect("it opens");
    assert_eq!(opened.id.disk, options().new_disk_id);
    drop(store);
    let new_disk_id = DiskId(78);
    let second_options = StoreOptions {
        new_disk_id,
        ..options()
    };
    let (store, opened) =
        ReplicaStore::open(folder.path(), second_options.clone()).expect("it opens");
    assert_eq!(opened.id.disk, options().new_disk_id);
    drop(store);
    for path in files(folder.path(), "") {
        fs::remove_file(path).expect("the file is removed");
    }
    let (_, opened) = ReplicaStore::open(folder.path(), second_options).expect("it opens");
    assert_eq!(opened.id.disk, new_disk_id);
}

/// Guards against a replica that runs with the log of another replica or cluster.
#[test]
fn folder_of_another_replica_is_refused() {
    let folder = tempfile::tempdir().expect("a folder is made");
    drop(open(folder.path()).expect("the folder opens"));
    let others = [
        StoreOptions {
            replica: ReplicaId(2),
            ..options()
        },
        StoreOptions {
            cluster: "other".to_owned(),
            ..options()
        },
    ];
    for other in others {
        let refused = ReplicaStore::open(folder.path(), other).expect_err("it is refused");
        assert!(
            matches!(refused, StoreError::WrongOwner { .. }),
            "{refused}"
        );
    }
}

/// Guards against two processes that write to the same log.
#[test]
fn folder_is_locked_by_one_replica_at_a_time() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let _first = open(folder.path()).expect("the folder opens");
    let refused = open(folder.path()).expect_err("it is refused");
    assert!(
        matches!(refused, StoreError::FolderInUse { .. }),
        "{refused}"
    );
}

/// Guards against a replica that runs with an empty log under its old identity.
#[test]
fn folder_whose_log_was_removed_is_refused() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let (mut store, _) = open(folder.path()).expect("the folder opens");
    store
        .write(&append_batch(1, 2, 1))
        .expect("the batch is written");
    drop(store);
    for path in files(folder.path(), ".wal") {
        fs::remove_file(path).expect("the file is removed");
    }
    let refused = open(folder.path()).expect_err("it is refused");
    assert!(
        matches!(refused, StoreError::MissingFile { .. }),
        "{refused}"
    );
}
