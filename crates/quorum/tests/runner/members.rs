//! Changes of the members.

use roseridge_quorum::{
    MemberChange,
    MemberError,
    MemberId,
    ReplicaRole, //
};

use crate::fake_cluster::FakeCluster;

/// Removes a replica whose disk was lost and brings in the one with the new disk as a learner.
fn replace_as_learner(cluster: &mut FakeCluster, node: usize) -> MemberId {
    let lost = cluster.nodes[node].id;
    cluster.replace_disk(node);
    let fresh = cluster.nodes[node].id;
    cluster.settle_change(&MemberChange::Remove(lost));
    let address = format!("address-{}", fresh.replica);
    cluster.settle_change(&MemberChange::AddLearner { id: fresh, address });
    fresh
}

fn serving(cluster: &mut FakeCluster) -> usize {
    assert!(
        cluster.run_until(|c| c.serving().is_some()),
        "a leader is elected"
    );
    cluster.serving().expect("a leader serves")
}

/// The case that the brief names: the disk of one instance was lost and repaired, and right after the
/// repair a second instance is lost for good.
#[test]
fn second_instance_is_lost_right_after_a_repair() {
    for second in [0, 1] {
        let mut cluster = FakeCluster::founded(3);
        (0..20).for_each(|_| cluster.commit(&[0, 1, 2]));
        let fresh = replace_as_learner(&mut cluster, 2);
        cluster.settle_change(&MemberChange::Promote(fresh));
        cluster.crash(second, 0);
        let other = 1 - second;
        cluster.commit(&[other, 2]);
        assert!(cluster.nodes[2].state.revision > 20);
    }
}

/// The second instance is lost before the repaired one has caught up: nothing is accepted, nothing
/// is lost, and work goes on when the second one is back.
#[test]
fn second_instance_is_lost_during_a_repair() {
    let mut cluster = FakeCluster::founded(3);
    (0..20).for_each(|_| cluster.commit(&[0, 1, 2]));
    replace_as_learner(&mut cluster, 2);
    let leader = serving(&mut cluster);
    let second = 1 - leader;
    cluster.crash(second, 0);
    (0..100).for_each(|_| cluster.round());
    assert_eq!(cluster.serving(), None);
    let before = cluster.nodes[leader].state.revision;
    cluster.propose();
    (0..100).for_each(|_| cluster.round());
    assert_eq!(cluster.nodes[leader].state.revision, before);
    cluster.restart(second);
    cluster.commit(&[0, 1, 2]);
}

/// An instance that comes back with an empty disk is not taken for the one that it was.
#[test]
fn empty_disk_has_no_vote_under_an_old_identity() {
    let mut cluster = FakeCluster::founded(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = serving(&mut cluster);
    let wiped = (leader + 1) % 3;
    cluster.replace_disk(wiped);
    cluster.crash(leader, 0);
    (0..400).for_each(|_| cluster.round());
    assert_eq!(cluster.serving(), None);
    assert_eq!(cluster.core(wiped).role(), ReplicaRole::Follower);
    cluster.restart(leader);
    assert!(cluster.run_until(|c| c.serving().is_some()));
}

#[test]
fn leader_removes_itself() {
    let mut cluster = FakeCluster::founded(3);
    cluster.commit(&[0, 1, 2]);
    let leader = serving(&mut cluster);
    let id = cluster.nodes[leader].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    assert!(cluster.run_until(|c| c.serving().is_some_and(|n| n != leader)));
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    cluster.commit(&others);
    (0..400).for_each(|_| cluster.round());
    assert_eq!(cluster.core(leader).role(), ReplicaRole::Follower);
}

#[test]
fn members_change_one_at_a_time() {
    let mut cluster = FakeCluster::founded(5);
    cluster.commit(&[0, 1, 2]);
    let leader = serving(&mut cluster);
    let add = |c: &FakeCluster, node: usize| MemberChange::AddLearner {
        id: c.nodes[node].id,
        address: "address".to_owned(),
    };
    let (fourth, fifth) = (add(&cluster, 3), add(&cluster, 4));
    let core = cluster.core_mut(leader);
    assert!(core.propose_member_change(&fourth).is_ok());
    assert_eq!(
        core.propose_member_change(&fifth),
        Err(MemberError::ChangePending)
    );
}

#[test]
fn learner_votes_only_once_it_has_caught_up() {
    let mut cluster = FakeCluster::founded(4);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = serving(&mut cluster);
    let id = cluster.nodes[3].id;
    cluster.isolate(3);
    let address = "address".to_owned();
    cluster.settle_change(&MemberChange::AddLearner { id, address });
    let promote = MemberChange::Promote(id);
    let refused = cluster.core_mut(leader).propose_member_change(&promote);
    assert_eq!(refused, Err(MemberError::NotCaughtUp));
    cluster.heal();
    cluster.settle_change(&promote);
    cluster.commit(&[0, 1, 2, 3]);
}

#[test]
fn removal_that_would_end_the_quorum_is_refused() {
    let mut cluster = FakeCluster::founded(3);
    cluster.commit(&[0, 1, 2]);
    let leader = serving(&mut cluster);
    cluster.crash((leader + 1) % 3, 0);
    (0..100).for_each(|_| cluster.round());
    let id = cluster.nodes[(leader + 2) % 3].id;
    let refused = cluster
        .core_mut(leader)
        .propose_member_change(&MemberChange::Remove(id));
    assert_eq!(refused, Err(MemberError::TooFewLeft));
}
