//! Regression tests for past failures.

use roseridge_quorum::{
    MemberChange,
    ReplicaRole, //
};

use crate::fake_cluster::FakeCluster;

/// Guards against endless split votes: the numbers of replica and disk cancelled each other out in
/// the random seeds, so two candidates always drew the same election timeouts.
#[test]
fn split_votes_end_when_replica_and_disk_numbers_are_equal() {
    let mut cluster = FakeCluster::new(5);
    (0..5).for_each(|_| cluster.run_round());
    cluster.replace_disk(0);
    cluster.recover();
}

/// Guards against a cluster without a leader: a leader that lost contact during its own removal was
/// the only replica with an entry that the last voter lacked, and no longer started elections.
#[test]
fn isolated_leader_completes_its_own_removal() {
    let mut cluster = FakeCluster::bootstrapped(3);
    let leader = cluster.serving_node().expect("a leader serves");
    let other = (leader + 1) % 3;
    let id = cluster.nodes[other].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    assert!(cluster.run_until(|c| c.core(leader).members_are_committed()));
    cluster.advance(1);
    cluster.isolate(leader);
    let id = cluster.nodes[leader].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    assert!(cluster.run_until(|c| c.core(leader).role() == ReplicaRole::Follower));
    cluster.recover();
    assert_ne!(cluster.serving_node(), Some(leader));
}

/// Guards against a cluster without a leader, as in the test before, if the leader also restarts
/// and therefore does not know the commit index.
#[test]
fn restarted_leader_completes_its_own_removal() {
    let mut cluster = FakeCluster::bootstrapped(3);
    let leader = cluster.serving_node().expect("a leader serves");
    let other = (leader + 1) % 3;
    let id = cluster.nodes[other].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    assert!(cluster.run_until(|c| c.core(leader).members_are_committed()));
    cluster.isolate(leader);
    let id = cluster.nodes[leader].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    cluster.sync(leader);
    cluster.crash(leader, 0);
    cluster.recover();
    assert_ne!(cluster.serving_node(), Some(leader));
}

/// Guards against stale join requests: the join request of a bootstrap member was kept after the
/// bootstrap. An operator who replaced that member's disk right away then added the lost disk again
/// as a learner.
#[test]
fn lost_disk_has_no_join_request() {
    let mut cluster = FakeCluster::bootstrapped(3);
    let leader = cluster.serving_node().expect("a leader serves");
    let other = (leader + 1) % 3;
    let lost = cluster.nodes[other].id;
    cluster.replace_disk(other);
    assert!(cluster.run_until(|c| !c.core(leader).join_requests().is_empty()));
    assert!(cluster.change_members(&MemberChange::Remove(lost)));
    let join_requests = cluster.core(leader).join_requests();
    let ids: Vec<_> = join_requests.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [cluster.nodes[other].id]);
}

/// Guards against an unreadable disk: after a crash between the installation of a snapshot and the
/// reset of the log, the stored log ended before the snapshot, and later entries were written after
/// the gap.
#[test]
fn log_is_reset_after_a_crash_between_snapshot_and_reset() {
    let mut cluster = FakeCluster::bootstrapped(4);
    (0..8).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving_node().expect("a leader serves");
    cluster.compact(leader);
    let id = cluster.nodes[3].id;
    let address = "address".to_owned();
    assert!(cluster.change_members(&MemberChange::AddLearner { id, address }));
    for _ in 0..200 {
        if cluster.core(3).commit_index().0 > 0 {
            break;
        }
        (0..4).for_each(|node| cluster.sync(node));
        cluster.exchange_messages();
    }
    // The snapshot is written, but the rest of the batch is not.
    cluster.crash(3, 1);
    assert!(cluster.nodes[3].disk.stored.snapshot.is_some());
    cluster.restart(3);
    cluster.commit(&[0, 1, 2, 3]);
    cluster.crash(3, 0);
    cluster.restart(3);
    cluster.commit(&[0, 1, 2, 3]);
}
