//! A replica with a large state on a disk that something else has filled.

use std::path::Path;

use roseridge_quorum::{
    ReplicaCore,
    ReplicaId,
    ReplicaSetup,
    ReplicaTiming, //
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

use crate::fixtures::options;

const RESERVE_BYTES: usize = 8_000;
/// The size from which the log is compacted while no space is reserved, in bytes.
const LOW_SPACE_THRESHOLD_BYTES: usize = RESERVE_BYTES / 4;
const STATE_BYTES: usize = 5 * RESERVE_BYTES;
const ENTRY_BYTES: usize = 500;
/// The entries that are written after the disk is full; several times the size of the reserve.
const ENTRIES: usize = 500;
const MAX_FAILURES: usize = 5;

/// A group of a single replica with its store.
struct SingleReplica {
    core: ReplicaCore,
    store: ReplicaStore,
    now_ms: u64,
}

impl SingleReplica {
    /// Opens the folder and waits until the replica leads.
    fn open(folder: &Path, disk: &LimitedDisk) -> Result<Self, StoreError> {
        let disk = disk.clone();
        let options = StoreOptions {
            segment_bytes: RESERVE_BYTES,
            reserve_bytes: RESERVE_BYTES,
            faults: FileFaults::limited_space(move |folder| disk.free_bytes(folder)),
            ..options()
        };
        let (store, opened) = ReplicaStore::open(folder, options)?;
        let setup = ReplicaSetup {
            id: opened.id,
            address: "192.0.2.1:7000".to_owned(),
            seeds: [ReplicaId(1)].into(),
            can_bootstrap: true,
            timing: ReplicaTiming {
                snapshot_threshold_bytes: 2 * RESERVE_BYTES,
                snapshot_threshold: u64::MAX,
                ..ReplicaTiming::default()
            },
            random_seed: 1,
        };
        let mut replica = Self {
            core: ReplicaCore::new(setup, opened.stored, 0),
            store,
            now_ms: 0,
        };
        while !replica.core.can_serve() {
            replica.now_ms += 20;
            replica.core.tick(replica.now_ms);
            replica.write()?;
        }
        Ok(replica)
    }

    /// Writes and applies everything that is pending, and compacts the log when that is due.
    fn write(&mut self) -> Result<(), StoreError> {
        loop {
            self.core.take_restore();
            while !self.core.take_committed().is_empty() {}
            let is_due = match self.store.usage().reserve_bytes {
                0 => self.core.should_compact_from(LOW_SPACE_THRESHOLD_BYTES),
                _ => self.core.should_compact(),
            };
            if is_due {
                self.core.compact(vec![7; STATE_BYTES]);
            }
            let Some(batch) = self.core.take_write() else {
                return Ok(());
            };
            self.store.write(&batch)?;
            self.core.complete_write(batch.number);
        }
    }
}

/// Guards against a replica that waits until its log has the size of its snapshot, while the space for
/// the next snapshot is what the log takes: the reserve is used up, and no replica can write again.
#[test]
fn log_is_compacted_before_it_takes_the_space_of_the_next_snapshot() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let disk = LimitedDisk::new(usize::MAX);
    let mut replica = SingleReplica::open(folder.path(), &disk).expect("the folder opens");
    while replica.store.usage().snapshot_bytes == 0 || replica.store.log_bytes() < RESERVE_BYTES / 2
    {
        let proposed = replica.core.propose(vec![0; ENTRY_BYTES]);
        proposed.expect("it is accepted");
        replica.write().expect("it is written");
    }
    disk.set_capacity(folder_bytes(folder.path()));
    let (mut written, mut failures) = (0, 0);
    while written < ENTRIES {
        let proposed = replica.core.propose(vec![0; ENTRY_BYTES]);
        proposed.expect("it is accepted");
        match replica.write() {
            Ok(()) => written += 1,
            Err(error) => {
                failures += 1;
                let usage = replica.store.usage();
                assert!(
                    failures <= MAX_FAILURES,
                    "{error} after {written} entries: {usage:?}"
                );
                drop(replica);
                replica = loop {
                    match SingleReplica::open(folder.path(), &disk) {
                        Ok(replica) => break replica,
                        Err(error) => {
                            failures += 1;
                            assert!(
                                failures <= MAX_FAILURES,
                                "{error} after {written} entries: {usage:?}"
                            );
                        }
                    }
                };
            }
        }
    }
}
