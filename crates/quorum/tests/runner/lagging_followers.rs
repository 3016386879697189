//! Followers that lag, and how much a leader sends them.

use roseridge_quorum::{
    LogIndex,
    PeerMessage, //
};

use crate::fake_cluster::{
    FakeCluster,
    ROUND_MS, //
};

/// The number of rounds for which a disk stalls; several times the time after which a message counts
/// as unanswered.
const STALL_ROUNDS: usize = 300;

/// Runs rounds in which the disk of one replica does not sync; returns the messages for it that hold
/// entries or a part of a snapshot.
fn run_with_stalled_disk(cluster: &mut FakeCluster, stalled: usize) -> Vec<PeerMessage> {
    let id = cluster.nodes[stalled].id.replica;
    let mut received = Vec::new();
    for _ in 0..STALL_ROUNDS {
        cluster.advance(ROUND_MS);
        let packets = cluster.packets.iter().filter(|p| p.to == id);
        let large = packets.filter(|p| match &p.message {
            PeerMessage::AppendEntries { entries, .. } => !entries.is_empty(),
            PeerMessage::SnapshotChunk { .. } => true,
            _ => false,
        });
        received.extend(large.map(|p| p.message.clone()));
        for packet in std::mem::take(&mut cluster.packets) {
            cluster.deliver(packet);
        }
        cluster.process_outputs();
        for node in (0..cluster.nodes.len()).filter(|node| *node != stalled) {
            cluster.sync(node);
        }
    }
    received
}

/// Guards against an append that is sent again and again while the disk of its receiver stalls.
#[test]
fn append_is_sent_once_to_a_follower_with_a_stalled_disk() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let stalled = (leader + 1) % 3;
    assert!(cluster.propose_bytes(1_000));
    let received = run_with_stalled_disk(&mut cluster, stalled);
    assert_eq!(received.len(), 1, "{received:?}");
    let last = cluster.core(leader).last_index();
    assert_eq!(cluster.core(leader).commit_index(), last);
    cluster.commit(&[0, 1, 2]);
}

/// Guards against an append that is lost for ever because its receiver is believed to have it.
#[test]
fn lost_append_is_sent_again() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let follower = (leader + 1) % 3;
    let stalled_id = cluster.nodes[follower].id.replica;
    assert!(cluster.propose_bytes(1_000));
    cluster.packets.retain(|p| p.to != stalled_id);
    let last = cluster.core(leader).last_index();
    assert!(cluster.run_until(|c| c.core(follower).last_index() == last));
}

/// Guards against an append that is lost for ever with the memory of its receiver.
#[test]
fn append_is_sent_again_after_a_crash_before_its_write() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let stalled = (leader + 1) % 3;
    assert!(cluster.propose_bytes(1_000));
    run_with_stalled_disk(&mut cluster, stalled);
    cluster.crash(stalled, 0);
    cluster.restart(stalled);
    let last = cluster.core(leader).last_index();
    assert!(cluster.core(stalled).last_index() < last);
    assert!(cluster.run_until(|c| c.core(stalled).commit_index() == last));
    assert!(last > LogIndex(1));
}

/// Guards against a snapshot whose chunks are sent several times over, because each copy of a chunk
/// had a reply and each reply had a chunk.
#[test]
fn chunks_sent_again_do_not_multiply_the_rest_of_the_transfer() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let follower = (leader + 1) % 3;
    cluster.isolate(follower);
    let others: Vec<_> = (0..3).filter(|node| *node != follower).collect();
    (0..8).for_each(|_| cluster.commit(&others));
    cluster.compact(leader);
    cluster.heal();
    let id = cluster.nodes[follower].id.replica;
    let mut offsets = Vec::new();
    for _ in 0..STALL_ROUNDS {
        cluster.advance(ROUND_MS);
        // Each chunk arrives twice.
        let mut packets = Vec::new();
        for packet in std::mem::take(&mut cluster.packets) {
            if let PeerMessage::SnapshotChunk { offset, .. } = &packet.message {
                offsets.push(*offset);
                packets.push(packet.clone());
            }
            packets.push(packet);
        }
        packets
            .into_iter()
            .for_each(|packet| cluster.deliver(packet));
        cluster.process_outputs();
        (0..3).for_each(|node| cluster.sync(node));
    }
    let chunk_count = offsets.len();
    offsets.dedup();
    assert_eq!(chunk_count, offsets.len(), "{offsets:?} to {id}");
    let last = cluster.core(leader).last_index();
    assert_eq!(cluster.core(follower).commit_index(), last);
}

/// The size of a snapshot of which the transfer takes longer than the leader needs to compact its log
/// several times, in bytes.
const LARGE_STATE_BYTES: usize = 4_000;
/// The number of entries after which the leader compacts its log.
const COMPACTION_ENTRIES: u64 = 10;

/// Proposes a command every other round and compacts the leader's log often, until the condition holds
/// or many transfers of a snapshot could have ended; returns whether it holds.
fn run_with_compactions(
    cluster: &mut FakeCluster,
    condition: impl Fn(&FakeCluster) -> bool,
) -> bool {
    let leader = cluster.serving_node().expect("a leader serves");
    for round in 0..STALL_ROUNDS {
        if round % 2 == 0 {
            assert!(cluster.propose());
        }
        if cluster.core(leader).entries_since_snapshot() >= COMPACTION_ENTRIES {
            cluster.compact(leader);
        }
        cluster.run_round();
        if condition(cluster) {
            return true;
        }
    }
    false
}

/// Guards against a follower that never catches up, because the entries after the snapshot that it
/// received were compacted during the transfer.
#[test]
fn follower_catches_up_with_a_leader_that_compacts_often() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.state_bytes = LARGE_STATE_BYTES;
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let follower = (leader + 1) % 3;
    cluster.isolate(follower);
    assert!(!run_with_compactions(&mut cluster, |_| false));
    cluster.heal();
    let newest = cluster.core(leader).commit_index().0;
    // What was committed in the last two rounds is still on its way.
    let has_caught_up = |c: &FakeCluster| {
        let matched = c.nodes[follower].state.index;
        matched > newest && matched + 2 >= c.core(leader).commit_index().0
    };
    assert!(run_with_compactions(&mut cluster, has_caught_up));
}

/// Guards against a log that grows without bound for a follower that is out of reach.
#[test]
fn log_is_compacted_while_a_follower_is_out_of_reach() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    cluster.isolate((leader + 1) % 3);
    assert!(!run_with_compactions(&mut cluster, |_| false));
    let entries = cluster.core(leader).entries_in_memory() as u64;
    assert!(entries < 3 * COMPACTION_ENTRIES, "{entries} entries");
}

/// Guards against the transfer of a snapshot that was replaced while its receiver was out of reach.
#[test]
fn transfer_begins_with_the_newest_snapshot() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let follower = (leader + 1) % 3;
    cluster.isolate(follower);
    assert!(!run_with_compactions(&mut cluster, |_| false));
    let newest = cluster.core(leader).commit_index().0;
    cluster.heal();
    let has_snapshot = |c: &FakeCluster| c.nodes[follower].state.index > 2;
    assert!(cluster.run_until(has_snapshot));
    let index = cluster.nodes[follower].state.index;
    assert!(index + COMPACTION_ENTRIES > newest, "{index} of {newest}");
}
