//! Cases that once failed, and cases of one rule each.

use roseridge_quorum::{
    MemberChange,
    ReplicaRole, //
};

use crate::fake_cluster::FakeCluster;

/// Two candidates drew the same waiting times for ever: the numbers of replica and disk cancelled out
/// in their random seeds.
#[test]
fn candidates_with_equal_numbers_do_not_tie_for_ever() {
    let mut cluster = FakeCluster::new(5);
    (0..5).for_each(|_| cluster.round());
    cluster.replace_disk(0);
    cluster.recover();
}

/// A leader that fell in the middle of its own removal alone held the entry that the last voter
/// lacked, and did not campaign any more.
#[test]
fn removed_leader_ends_what_it_began() {
    let mut cluster = FakeCluster::founded(3);
    let leader = cluster.serving().expect("a leader serves");
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
    assert_ne!(cluster.serving(), Some(leader));
}

/// The same after a restart, when the replica does not know how far the log is committed.
#[test]
fn removed_leader_ends_what_it_began_after_a_restart() {
    let mut cluster = FakeCluster::founded(3);
    let leader = cluster.serving().expect("a leader serves");
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
    assert_ne!(cluster.serving(), Some(leader));
}

/// The wish to join of a founder was remembered beyond the founding; an operator who replaced the
/// founder's disk at once brought the lost disk back as a learner.
#[test]
fn lost_disk_does_not_ask_to_join() {
    let mut cluster = FakeCluster::founded(3);
    let leader = cluster.serving().expect("a leader serves");
    let other = (leader + 1) % 3;
    let lost = cluster.nodes[other].id;
    cluster.replace_disk(other);
    assert!(cluster.run_until(|c| !c.core(leader).join_requests().is_empty()));
    assert!(cluster.change_members(&MemberChange::Remove(lost)));
    let join_requests = cluster.core(leader).join_requests();
    let ids: Vec<_> = join_requests.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [cluster.nodes[other].id]);
}

/// A crash between an installed snapshot and the reset of the log left a disk whose log did not reach
/// to the snapshot; the entries that followed were written after a gap, and the disk was unreadable.
#[test]
fn log_is_reset_after_a_crash_between_snapshot_and_reset() {
    let mut cluster = FakeCluster::founded(4);
    (0..8).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving().expect("a leader serves");
    cluster.compact(leader);
    let id = cluster.nodes[3].id;
    let address = "address".to_owned();
    assert!(cluster.change_members(&MemberChange::AddLearner { id, address }));
    for _ in 0..200 {
        if cluster.core(3).commit_index().0 > 0 {
            break;
        }
        (0..4).for_each(|node| cluster.sync(node));
        cluster.exchange();
    }
    // The snapshot reaches the disk, and the rest of the write does not.
    cluster.crash(3, 1);
    assert!(cluster.nodes[3].disk.held.snapshot.is_some());
    cluster.restart(3);
    cluster.commit(&[0, 1, 2, 3]);
    cluster.crash(3, 0);
    cluster.restart(3);
    cluster.commit(&[0, 1, 2, 3]);
}
