//! Truncated, damaged and missing files.

use std::{
    fs,
    path::Path, //
};

use roseridge_quorum::ReplicaId;
use roseridge_store::{
    ReplicaStore,
    StoreError,
    StoreOptions, //
};

use crate::fixtures::{
    DISK,
    ReplicaContent,
    append_batch,
    copy_folder,
    files,
    open,
    replica_content,
    snapshot_batch, //
};

/// Writes several segments and a snapshot; returns the content after each write.
fn write_history(folder: &Path) -> Vec<ReplicaContent> {
    let mut states = Vec::new();
    let mut batches: Vec<_> = (0..12)
        .map(|n| append_batch(1 + n * 2, 2, 1 + n / 4))
        .collect();
    batches.insert(9, snapshot_batch(14, 2));
    for batch in batches {
        let (mut store, _) = open(folder).expect("the folder opens");
        store.write(&batch).expect("the batch is written");
        drop(store);
        let (_, stored) = open(folder).expect("the folder opens");
        states.push(replica_content(&stored));
    }
    states
}

/// Guards against the loss of synced entries: a crash can leave any prefix of the last write. Every
/// earlier write must still be there, and the log must accept further writes.
#[test]
fn truncation_at_any_byte_of_the_last_segment_keeps_synced_entries() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let states = write_history(folder.path());
    let newest = files(folder.path(), ".wal")
        .pop()
        .expect("a segment is there");
    let bytes = fs::read(&newest).expect("the segment is read");
    let (mut last, header) = (None, segment_header(&bytes));
    for length in header..=bytes.len() {
        let copy = copy_folder(folder.path());
        let path = copy.path().join(newest.file_name().expect("it has a name"));
        fs::write(&path, &bytes[..length]).expect("the segment is truncated");
        let (mut store, stored) = open(copy.path()).expect("a torn tail is truncated");
        let state = states.iter().position(|s| *s == replica_content(&stored));
        let state = state.expect("the state is one that was synced");
        assert!(
            last.is_none_or(|l| state >= l),
            "a longer file holds no less"
        );
        last = Some(state);
        // The log accepts further entries after the truncation.
        let next = stored.log.last_index().0 + 1;
        store
            .write(&append_batch(next, 1, 9))
            .expect("the batch is written");
        drop(store);
        let (_, stored) = open(copy.path()).expect("the folder opens");
        assert_eq!(stored.log.last_index().0, next);
    }
    assert_eq!(last, Some(states.len() - 1));
}

/// Returns the size of a segment's first record, in bytes; it is synced before the file gets its
/// name, so a crash cannot truncate it.
fn segment_header(bytes: &[u8]) -> usize {
    13 + u32::from_le_bytes(bytes[..4].try_into().expect("four bytes")) as usize
}

/// Guards against undetected damage: a flipped bit in any byte must be reported, with the file and
/// the offset of the record.
#[test]
fn flip_of_any_byte_is_detected() {
    let folder = tempfile::tempdir().expect("a folder is made");
    write_history(folder.path());
    let mut flips = 0;
    for path in files(folder.path(), "") {
        let bytes = fs::read(&path).expect("the file is read");
        for position in 0..bytes.len() {
            let copy = copy_folder(folder.path());
            let damaged = copy.path().join(path.file_name().expect("it has a name"));
            let mut bytes = bytes.clone();
            bytes[position] ^= 1 << (position % 8);
            fs::write(&damaged, &bytes).expect("the file is damaged");
            match open(copy.path()).err() {
                Some(StoreError::DamagedFile { path, offset }) => {
                    assert_eq!(path, damaged);
                    assert!(
                        offset <= position,
                        "the record at {offset} holds byte {position}"
                    );
                }
                other => panic!("byte {position} of {}: {other:?}", damaged.display()),
            }
            flips += 1;
        }
    }
    println!("{flips} flips");
}

/// Guards against a store that cannot be opened after a power loss, which can leave sectors of the
/// last write unwritten.
#[test]
fn last_record_with_an_unwritten_sector_is_truncated() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let options = StoreOptions::new("cluster", ReplicaId(1), DISK);
    let (mut store, _) = ReplicaStore::open(folder.path(), options).expect("the folder opens");
    store
        .write(&append_batch(1, 1, 1))
        .expect("the batch is written");
    let first_write_bytes = store.log_bytes();
    store
        .write(&append_batch(2, 40, 1))
        .expect("the batch is written");
    drop(store);
    let path = files(folder.path(), ".wal").remove(0);
    let mut bytes = fs::read(&path).expect("the segment is read");
    assert!(
        bytes.len() > 2_048 && first_write_bytes < 1_024,
        "the write spans sectors"
    );
    bytes[1_024..1_536].fill(0);
    fs::write(&path, &bytes).expect("the sector is overwritten");
    let (_, stored) = open(folder.path()).expect("the unfinished write is truncated");
    assert_eq!(stored.log.last_index().0, 1);
}

/// Removes the first file with this suffix and checks that the folder is refused.
fn check_missing_file(suffix: &str) {
    let folder = tempfile::tempdir().expect("a folder is made");
    write_history(folder.path());
    let path = files(folder.path(), suffix).remove(0);
    fs::remove_file(path).expect("the file is removed");
    assert!(
        open(folder.path()).is_err(),
        "a folder without {suffix} is refused"
    );
}

roseridge_testutils::cases! {
    check_missing_file:
    folder_without_its_identity_is_refused = "identity",
    folder_without_its_snapshot_is_refused = ".snap",
    folder_without_its_first_segment_is_refused = ".wal",
}
