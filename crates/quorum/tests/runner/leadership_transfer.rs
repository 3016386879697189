//! Leadership transfers, idle and with entries or requests in flight.

use roseridge_quorum::ReplicaTiming;

use crate::fake_cluster::FakeCluster;

/// Transfers the leadership and returns the time until another replica serves, in milliseconds.
fn time_to_transfer(cluster: &mut FakeCluster) -> u64 {
    let leader = cluster.serving_node().expect("a leader serves");
    assert!(
        cluster.core_mut(leader).transfer_leadership(),
        "there is another voter"
    );
    let start_ms = cluster.now_ms;
    let is_transferred = |c: &FakeCluster| c.serving_node().is_some_and(|node| node != leader);
    assert!(cluster.run_until(is_transferred), "another replica leads");
    cluster.now_ms - start_ms
}

/// Guards against a transfer that waits for an election timeout although a follower has the whole
/// log.
#[test]
fn idle_leader_transfers_leadership_without_an_election_timeout() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let took_ms = time_to_transfer(&mut cluster);
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
}

/// Guards against a failed transfer: with entries in flight no follower has the whole log yet.
#[test]
fn leader_transfers_leadership_after_entries_in_flight_arrive() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    assert!(cluster.propose());
    let revision = cluster.nodes[0].state.revision;
    let took_ms = time_to_transfer(&mut cluster);
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
    let leader = cluster.serving_node().expect("a leader serves");
    assert!(cluster.nodes[leader].state.revision > revision);
}

/// Guards against a transfer that stalls because the request to start an election was lost.
#[test]
fn lost_transfer_request_is_sent_again() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving_node().expect("a leader serves");
    cluster.core_mut(leader).transfer_leadership();
    cluster.process_outputs();
    cluster.packets.clear();
    let start_ms = cluster.now_ms;
    let is_transferred = |c: &FakeCluster| c.serving_node().is_some_and(|node| node != leader);
    assert!(cluster.run_until(is_transferred), "another replica leads");
    let took_ms = cluster.now_ms - start_ms;
    assert!(took_ms < ReplicaTiming::default().election_min_ms);
}
