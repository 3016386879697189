//! A follower on a full disk, and what a leader may send it before anything can be committed.

use std::path::Path;

use roseridge_quorum::{
    DiskId,
    EntryBody,
    LogEntry,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaSetup,
    ReplicaTiming,
    TermNumber, //
};
use roseridge_store::{
    FileFaults,
    ReplicaStore,
    StoreError,
    StoreOptions, //
};
use roseridge_testutils::{
    LimitedDisk,
    folder_bytes, //
};

use crate::fixtures::DISK;

const TERM: TermNumber = TermNumber(1);
const LEADER: MemberId = MemberId {
    replica: ReplicaId(2),
    disk: DiskId(78),
};
const ENTRY_BYTES: usize = 250_000;
/// The number of entries that a leader accepts before one of them is applied.
const UNAPPLIED_ENTRIES: u64 = 8 * 1_048_576 / ENTRY_BYTES as u64;
const MAX_FAILURES: usize = 3;

fn open(folder: &Path, disk: &LimitedDisk) -> (ReplicaCore, ReplicaStore) {
    let disk = disk.clone();
    let options = StoreOptions {
        faults: FileFaults::limited_space(move |folder| disk.free_bytes(folder)),
        ..StoreOptions::new("cluster", ReplicaId(1), DISK)
    };
    let (store, opened) = ReplicaStore::open(folder, options).expect("the folder opens");
    let setup = ReplicaSetup {
        id: opened.id,
        address: String::new(),
        seeds: [ReplicaId(1), LEADER.replica].into(),
        can_bootstrap: false,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    (ReplicaCore::new(setup, opened.stored, 0), store)
}

/// Receives the entry after the last one and writes it.
fn receive_next(core: &mut ReplicaCore, store: &mut ReplicaStore) -> Result<(), StoreError> {
    let last = core.last_index();
    let append = PeerMessage::AppendEntries {
        term: TERM,
        previous_index: last,
        previous_term: match last {
            LogIndex(0) => TermNumber(0),
            _ => TERM,
        },
        entries: vec![LogEntry {
            index: LogIndex(last.0 + 1),
            term: TERM,
            body: EntryBody::Command(vec![0; ENTRY_BYTES]),
        }],
        commit: LogIndex(0),
        probe: 0,
    };
    core.receive(LEADER, append);
    while let Some(batch) = core.take_write() {
        store.write(&batch)?;
        core.complete_write(batch.number);
    }
    Ok(())
}

/// Guards against a reserve that is used up by the entries that a leader must replicate before its
/// first commit: nothing is applied until then, so no snapshot can free space.
#[test]
fn follower_on_a_full_disk_has_room_for_the_backlog_of_a_leader() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let disk = LimitedDisk::new(usize::MAX);
    let (mut core, mut store) = open(folder.path(), &disk);
    receive_next(&mut core, &mut store).expect("it is written");
    disk.set_capacity(folder_bytes(folder.path()));
    let mut failures = 0;
    while core.last_index().0 < 1 + UNAPPLIED_ENTRIES {
        if let Err(error) = receive_next(&mut core, &mut store) {
            let usage = store.usage();
            failures += 1;
            assert!(failures <= MAX_FAILURES, "{error}: {usage:?}");
            drop(store);
            (core, store) = open(folder.path(), &disk);
        }
    }
}
