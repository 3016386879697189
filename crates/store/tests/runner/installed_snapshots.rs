//! Snapshots from a leader that meet entries that aren't written yet.

use roseridge_quorum::{
    DiskId,
    LogIndex,
    MemberId,
    Membership,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaSetup,
    ReplicaTiming,
    SnapshotMeta,
    TermNumber, //
};
use roseridge_store::ReplicaStore;

use crate::fixtures::{
    entry,
    options, //
};

const TERM: TermNumber = TermNumber(1);
const LEADER: MemberId = MemberId {
    replica: ReplicaId(2),
    disk: DiskId(78),
};

fn append(first: u64, last: u64) -> PeerMessage {
    PeerMessage::AppendEntries {
        term: TERM,
        previous_index: LogIndex(first - 1),
        previous_term: match first {
            1 => TermNumber(0),
            _ => TERM,
        },
        entries: (first..=last).map(|index| entry(index, TERM.0)).collect(),
        commit: LogIndex(0),
        probe: 0,
    }
}

/// Guards against a folder that can't be opened: a snapshot covered entries that waited to be written, and
/// the entries after it were written without them.
#[test]
fn snapshot_that_covers_unwritten_entries_leaves_no_gap_in_the_log() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let (mut store, opened) = ReplicaStore::open(folder.path(), options()).expect("it opens");
    let setup = ReplicaSetup {
        id: opened.id,
        address: String::new(),
        seeds: [ReplicaId(1), LEADER.replica].into(),
        can_bootstrap: false,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    let mut core = ReplicaCore::new(setup, opened.stored, 0);
    core.receive(LEADER, append(1, 4));
    let stalled = core.take_write().expect("the first entries");
    core.receive(LEADER, append(5, 9));
    let chunk = PeerMessage::SnapshotChunk {
        term: TERM,
        meta: SnapshotMeta {
            index: LogIndex(7),
            term: TERM,
            members: Membership::default(),
        },
        total: 5,
        offset: 0,
        data: b"state".to_vec(),
        probe: 0,
    };
    core.receive(LEADER, chunk);
    store.write(&stalled).expect("the batch is written");
    core.complete_write(stalled.number);
    while let Some(batch) = core.take_write() {
        store.write(&batch).expect("the batch is written");
        core.complete_write(batch.number);
    }
    assert_eq!(core.last_index(), LogIndex(9));
    drop(store);
    let opened = ReplicaStore::open(folder.path(), options());
    let (_, opened) = opened.expect("the folder opens");
    assert_eq!(opened.stored.log.last_index(), LogIndex(9));
}
