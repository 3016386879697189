//! Replicas that are isolated from the others, and their behaviour when they reconnect.

use crate::fake_cluster::{
    FakeCluster,
    SEEDS, //
};

/// The number of rounds of a long isolation.
const LONG_ROUNDS: usize = 2_000;

/// Guards against a needless election: an isolated follower must not increase its term, or the
/// leader would step down when the follower reconnects.
#[test]
fn isolated_follower_does_not_disrupt_the_leader_when_it_reconnects() {
    let mut cluster = FakeCluster::bootstrapped(SEEDS);
    let leader = cluster.serving_node().expect("a leader serves");
    let term = cluster.core(leader).term();
    cluster.isolate((leader + 1) % 3);
    (0..LONG_ROUNDS).for_each(|_| cluster.run_round());
    cluster.heal();
    for _ in 0..200 {
        cluster.run_round();
        assert_eq!(cluster.serving_node(), Some(leader));
    }
    assert_eq!(cluster.core(leader).term(), term);
    cluster.commit(&[0, 1, 2]);
}

/// Guards against writes on the minority side: while the leader is isolated, the majority elects
/// another leader and continues, and the old one rejects every proposal.
#[test]
fn isolated_leader_rejects_proposals() {
    let mut cluster = FakeCluster::bootstrapped(SEEDS);
    let leader = cluster.serving_node().expect("a leader serves");
    cluster.commit(&[0, 1, 2]);
    cluster.isolate(leader);
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    assert!(cluster.run_until(|c| c.serving_node().is_some_and(|n| n != leader)));
    let before = cluster.nodes[leader].state;
    for _ in 0..20 {
        cluster.commit(&others);
        assert!(cluster.core_mut(leader).propose(vec![1]).is_err());
    }
    assert_eq!(cluster.nodes[leader].state, before);
    cluster.heal();
    cluster.commit(&[0, 1, 2]);
}

/// Guards against a leader that blocks elections: its heartbeats still arrive, but it receives no
/// replies. It must step down so that the others elect another leader.
#[test]
fn leader_that_receives_no_messages_steps_down() {
    let mut cluster = FakeCluster::bootstrapped(SEEDS);
    let leader = cluster.serving_node().expect("a leader serves");
    for other in (0..3).filter(|n| *n != leader) {
        cluster.cut_link(other, leader);
    }
    assert!(cluster.run_until(|c| c.serving_node().is_some_and(|n| n != leader)));
}

/// Guards against unbounded memory on the leader: an unreachable follower must not keep the log
/// from being compacted.
#[test]
fn unreachable_follower_does_not_grow_the_log_in_memory() {
    let mut cluster = FakeCluster::bootstrapped(SEEDS);
    let leader = cluster.serving_node().expect("a leader serves");
    let unreachable = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    cluster.isolate(unreachable);
    let mut max_entries = 0;
    for _ in 0..300 {
        cluster.commit(&[leader, other]);
        cluster.compact(leader);
        max_entries = max_entries.max(cluster.core(leader).entries_in_memory());
    }
    let limit =
        usize::try_from(crate::fake_cluster::test_timing().retained_entries).expect("it fits");
    assert!(
        max_entries <= limit + 10,
        "the leader holds {max_entries} entries"
    );
    cluster.heal();
    cluster.commit(&[0, 1, 2]);
}
