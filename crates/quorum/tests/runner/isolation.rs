//! Replicas that are cut off, and what they do when they come back.

use crate::fake_cluster::{
    FakeCluster,
    SEEDS, //
};

/// The rounds of a long cut.
const LONG_ROUNDS: usize = 2_000;

#[test]
fn isolated_follower_disturbs_nobody_when_it_comes_back() {
    let mut cluster = FakeCluster::founded(SEEDS);
    let leader = cluster.serving().expect("a leader serves");
    let term = cluster.core(leader).term();
    cluster.isolate((leader + 1) % 3);
    (0..LONG_ROUNDS).for_each(|_| cluster.round());
    cluster.heal();
    for _ in 0..200 {
        cluster.round();
        assert_eq!(cluster.serving(), Some(leader));
    }
    assert_eq!(cluster.core(leader).term(), term);
    cluster.commit(&[0, 1, 2]);
}

/// The majority may work on, and nothing is accepted on the other side, for as long as it lasts.
#[test]
fn isolated_leader_accepts_nothing() {
    let mut cluster = FakeCluster::founded(SEEDS);
    let leader = cluster.serving().expect("a leader serves");
    cluster.commit(&[0, 1, 2]);
    cluster.isolate(leader);
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    assert!(cluster.run_until(|c| c.serving().is_some_and(|n| n != leader)));
    let before = cluster.nodes[leader].state;
    for _ in 0..20 {
        cluster.commit(&others);
        assert!(cluster.core_mut(leader).propose(vec![1]).is_err());
    }
    assert_eq!(cluster.nodes[leader].state, before);
    cluster.heal();
    cluster.commit(&[0, 1, 2]);
}

/// The leader hears nobody but is heard: it steps down, and the rest elect another.
#[test]
fn leader_that_hears_nobody_gives_way() {
    let mut cluster = FakeCluster::founded(SEEDS);
    let leader = cluster.serving().expect("a leader serves");
    for other in (0..3).filter(|n| *n != leader) {
        cluster.cut(other, leader);
    }
    assert!(cluster.run_until(|c| c.serving().is_some_and(|n| n != leader)));
}

/// A follower that is silent for long costs the leader one append and no queue.
#[test]
fn silent_follower_costs_a_bounded_amount() {
    let mut cluster = FakeCluster::founded(SEEDS);
    let leader = cluster.serving().expect("a leader serves");
    let silent = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    cluster.isolate(silent);
    let mut most = 0;
    for _ in 0..300 {
        cluster.commit(&[leader, other]);
        cluster.compact(leader);
        most = most.max(cluster.core(leader).held_entries());
    }
    let limit =
        usize::try_from(crate::fake_cluster::test_timing().retained_entries).expect("it fits");
    assert!(most <= limit + 10, "the leader holds {most} entries");
    cluster.heal();
    cluster.commit(&[0, 1, 2]);
}
