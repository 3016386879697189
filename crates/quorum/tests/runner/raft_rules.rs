//! Raft's rules on votes, commits and heartbeats, each in a scenario that fails without the rule.

use roseridge_quorum::{
    EntryBody,
    LogEntry,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaRole,
    TermNumber, //
};

use crate::fake_cluster::FakeCluster;

/// The size of a command that fills an append on its own, in bytes.
const LARGE_BYTES: usize = 200;

/// Drops every message in flight and returns the number of votes among them that a replica granted
/// in a term.
fn count_votes(cluster: &mut FakeCluster, voter: MemberId, vote_term: TermNumber) -> usize {
    let is_vote = |message: &PeerMessage| match message {
        PeerMessage::VoteReply {
            term,
            pre_vote: false,
            granted: true,
        } => *term == vote_term,
        _ => false,
    };
    let packets = std::mem::take(&mut cluster.packets);
    let votes = packets
        .iter()
        .filter(|p| p.from == voter && is_vote(&p.message));
    votes.count()
}

/// Guards against two votes in one term: two candidates request a vote from a replica that crashes
/// in between, before its first vote is synced.
#[test]
fn vote_is_sent_only_after_it_is_durable() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let ids: Vec<_> = cluster.nodes.iter().map(|n| n.id).collect();
    let core = cluster.core(2);
    let term = TermNumber(core.term().0 + 1);
    let request = PeerMessage::RequestVote {
        term,
        pre_vote: false,
        handover: true,
        last_index: LogIndex(core.last_index().0 + 10),
        last_term: core.term(),
    };
    cluster.packets.clear();
    cluster.core_mut(2).receive(ids[0], request.clone());
    cluster.process_outputs();
    let mut votes = count_votes(&mut cluster, ids[2], term);
    cluster.crash(2, 0);
    cluster.restart(2);
    cluster.core_mut(2).receive(ids[1], request);
    cluster.process_outputs();
    votes += count_votes(&mut cluster, ids[2], term);
    assert_eq!(votes, 0, "a vote was sent before it was synced");
    cluster.sync(2);
    votes += count_votes(&mut cluster, ids[2], term);
    assert_eq!(votes, 1, "the vote is sent once it is synced");
}

/// Guards against the loss of a committed entry: an entry of an older term that is on a majority
/// can still be replaced by a leader whose log has a newer term. It must not count as committed
/// before an entry of the leader's own term is committed.
#[test]
fn entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let first = cluster.serving_node().expect("a leader serves");
    // Only the first leader has the entry.
    cluster.isolate(first);
    let proposed = cluster.core_mut(first).propose(vec![1; LARGE_BYTES]);
    let old = proposed.expect("the leader accepts a command");
    cluster.process_outputs();
    cluster.sync(first);
    cluster.crash(first, 0);
    // Only the second leader has the first entry of its term.
    let is_leader = |c: &FakeCluster, n: usize| {
        let core = c.nodes[n].core.as_ref();
        core.is_some_and(|core| core.role() == ReplicaRole::Leader)
    };
    let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
    assert!(cluster.run_until(|c| others.iter().any(|n| is_leader(c, *n))));
    let leads = |n: &usize| is_leader(&cluster, *n);
    let second = others.iter().copied().find(leads).expect("a leader");
    let third = others
        .iter()
        .copied()
        .find(|n| *n != second)
        .expect("a follower");
    cluster.packets.clear();
    cluster.sync(second);
    cluster.sync(second);
    cluster.crash(second, 0);
    assert!(cluster.nodes[second].disk.stored.log.last_index() >= old);
    // The first leader is elected again and replicates the old entry to a majority, but no later
    // entry.
    cluster.heal();
    cluster.restart(first);
    assert!(cluster.run_until(|c| c.core(third).last_index() >= old));
    assert_eq!(cluster.core(third).last_index(), old);
    cluster.sync(third);
    let replica = cluster.nodes[first].id.replica;
    let packets = std::mem::take(&mut cluster.packets);
    for packet in packets.into_iter().filter(|p| p.to == replica) {
        cluster.deliver(packet);
    }
    cluster.process_outputs();
    assert!(
        cluster.core(first).commit_index() < old,
        "the entry was committed by counting replicas"
    );
    // The second leader is elected again and replaces the entry.
    cluster.packets.clear();
    cluster.crash(first, 0);
    cluster.restart(second);
    cluster.commit(&[second, third]);
    cluster.restart(first);
    cluster.commit(&[0, 1, 2]);
}

/// Guards against a leader that considers a follower lost during a slow write: a heartbeat arrives
/// while an entry is being written.
#[test]
fn heartbeat_is_answered_during_a_pending_write() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let follower = (leader + 1) % 3;
    let from = cluster.nodes[leader].id;
    let (term, last) = (
        cluster.core(leader).term(),
        cluster.core(leader).last_index(),
    );
    let append = |previous: LogIndex, entries: Vec<LogEntry>| PeerMessage::AppendEntries {
        term,
        previous_index: previous,
        previous_term: term,
        entries,
        commit: last,
        probe: 1,
    };
    let entry = LogEntry {
        index: last.next(),
        term,
        body: EntryBody::Command(vec![1]),
    };
    let core = cluster.core_mut(follower);
    core.take_messages();
    core.receive(from, append(last, vec![entry]));
    assert!(core.take_write().is_some(), "the entry is being written");
    core.receive(from, append(last.next(), Vec::new()));
    let sent: Vec<_> = core.take_messages();
    let reply = PeerMessage::AppendReply {
        term,
        accepted: true,
        matched: last,
        probe: 1,
    };
    assert_eq!(
        sent,
        [(from, reply)],
        "only durable entries are acknowledged"
    );
}
