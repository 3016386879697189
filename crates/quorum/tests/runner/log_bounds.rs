//! Bounds in bytes that hold for a log of large entries.

use roseridge_quorum::{
    DiskId,
    MemberId,
    ReplicaCore,
    ReplicaId,
    ReplicaSetup,
    ReplicaTiming,
    StoredReplica, //
};

const ENTRY_BYTES: usize = 250_000;
const ENTRIES: usize = 200;
/// Limits as of the default timing, in bytes.
const COMPACTION_BYTES: usize = 8 * 1_048_576;
const RETAINED_BYTES: usize = 4 * 1_048_576;

/// Returns a group of a single replica, which leads.
fn single_replica() -> ReplicaCore {
    let setup = ReplicaSetup {
        id: MemberId {
            replica: ReplicaId(1),
            disk: DiskId(77),
        },
        address: "192.0.2.1:7000".to_owned(),
        seeds: [ReplicaId(1)].into(),
        can_bootstrap: true,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    let mut core = ReplicaCore::new(setup, StoredReplica::default(), 0);
    for now_ms in (0..2_000).step_by(20) {
        core.tick(now_ms);
        complete_writes(&mut core);
    }
    assert!(core.can_serve());
    core
}

fn complete_writes(core: &mut ReplicaCore) {
    while let Some(write) = core.take_write() {
        core.complete_write(write.number);
    }
    while !core.take_committed().is_empty() {}
}

/// Guards against a log whose size is bounded by the number of its entries only: large entries must
/// be compacted early, and few of them stay in memory.
#[test]
fn log_of_large_entries_stays_small() {
    let mut core = single_replica();
    let mut largest = 0;
    for _ in 0..ENTRIES {
        core.propose(vec![0; ENTRY_BYTES]).expect("it is accepted");
        complete_writes(&mut core);
        largest = largest.max(core.bytes_in_memory());
        if core.should_compact() {
            core.compact(vec![0; 1_000]);
            assert!(core.bytes_in_memory() <= RETAINED_BYTES);
        }
    }
    let limit = RETAINED_BYTES + COMPACTION_BYTES + 2 * ENTRY_BYTES;
    assert!(largest <= limit, "{largest} bytes");
}

/// Guards against a snapshot after every few entries where the state itself is large.
#[test]
fn snapshots_write_no_more_than_the_log() {
    let mut core = single_replica();
    let mut snapshots = 0;
    for _ in 0..ENTRIES {
        core.propose(vec![0; ENTRY_BYTES]).expect("it is accepted");
        complete_writes(&mut core);
        if core.should_compact() {
            core.compact(vec![0; 2 * COMPACTION_BYTES]);
            snapshots += 1;
        }
    }
    let snapshot_bytes = snapshots * 2 * COMPACTION_BYTES;
    assert!(snapshots > 0);
    assert!(snapshot_bytes <= ENTRIES * ENTRY_BYTES + 2 * COMPACTION_BYTES);
}
