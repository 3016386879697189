//! A leader that stops hands over, also while entries are on their way.

use roseridge_quorum::ReplicaTiming;

use crate::fake_cluster::FakeCluster;

/// Hands over, and returns after how long another replica serves.
fn time_to_successor(cluster: &mut FakeCluster) -> u64 {
    let leader = cluster.serving().expect("a leader serves");
    assert!(
        cluster.core_mut(leader).transfer_leadership(),
        "another one votes"
    );
    let begun_ms = cluster.now_ms;
    let taken = |c: &FakeCluster| c.serving().is_some_and(|node| node != leader);
    assert!(cluster.run_until(taken), "another replica leads");
    cluster.now_ms - begun_ms
}

#[test]
fn idle_leader_hands_over_at_once() {
    let mut cluster = FakeCluster::founded(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let took_ms = time_to_successor(&mut cluster);
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
}

#[test]
fn leader_with_entries_on_their_way_hands_over_when_they_have_arrived() {
    let mut cluster = FakeCluster::founded(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    assert!(cluster.propose());
    let revision = cluster.nodes[0].state.revision;
    let took_ms = time_to_successor(&mut cluster);
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
    let leader = cluster.serving().expect("a leader serves");
    assert!(cluster.nodes[leader].state.revision > revision);
}

#[test]
fn leader_hands_over_again_when_its_word_is_lost() {
    let mut cluster = FakeCluster::founded(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving().expect("a leader serves");
    cluster.core_mut(leader).transfer_leadership();
    cluster.settle();
    cluster.packets.clear();
    let begun_ms = cluster.now_ms;
    let taken = |c: &FakeCluster| c.serving().is_some_and(|node| node != leader);
    assert!(cluster.run_until(taken), "another replica leads");
    let took_ms = cluster.now_ms - begun_ms;
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
}
