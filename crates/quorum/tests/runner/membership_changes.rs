//! Membership changes and lost disks.

use roseridge_quorum::{
    MemberChange,
    MemberError,
    MemberId,
    ReplicaRole, //
};

use crate::fake_cluster::FakeCluster;

/// Removes a replica whose disk is lost and adds the replica with the new disk as a learner.
fn replace_as_learner(cluster: &mut FakeCluster, node: usize) -> MemberId {
    let lost = cluster.nodes[node].id;
    cluster.replace_disk(node);
    let new = cluster.nodes[node].id;
    cluster.commit_change(&MemberChange::Remove(lost));
    let address = format!("address-{}", new.replica);
    cluster.commit_change(&MemberChange::AddLearner { id: new, address });
    new
}

fn serving_node(cluster: &mut FakeCluster) -> usize {
    assert!(
        cluster.run_until(|c| c.serving_node().is_some()),
        "a leader is elected"
    );
    cluster.serving_node().expect("a leader serves")
}

/// Guards against the loss of the quorum after a repair: the disk of one instance is lost and
/// replaced, and right after the repair a second instance is lost permanently. The project's
/// requirements name this case.
#[test]
fn loss_of_a_second_instance_after_a_repair_is_tolerated() {
    for second in [0, 1] {
        let mut cluster = FakeCluster::bootstrapped(3);
        (0..20).for_each(|_| cluster.commit(&[0, 1, 2]));
        let new = replace_as_learner(&mut cluster, 2);
        cluster.commit_change(&MemberChange::Promote(new));
        cluster.crash(second, 0);
        let other = 1 - second;
        cluster.commit(&[other, 2]);
        assert!(cluster.nodes[2].state.revision > 20);
    }
}

/// Guards against data loss during a repair: a second instance is lost before the first one's
/// replacement is a voter. Nothing is committed until the second instance restarts, and no entry is
/// lost.
#[test]
fn loss_of_a_second_instance_during_a_repair_stops_commits() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..20).for_each(|_| cluster.commit(&[0, 1, 2]));
    replace_as_learner(&mut cluster, 2);
    let leader = serving_node(&mut cluster);
    let second = 1 - leader;
    cluster.crash(second, 0);
    (0..100).for_each(|_| cluster.run_round());
    assert_eq!(cluster.serving_node(), None);
    let before = cluster.nodes[leader].state.revision;
    cluster.propose();
    (0..100).for_each(|_| cluster.run_round());
    assert_eq!(cluster.nodes[leader].state.revision, before);
    cluster.restart(second);
    cluster.commit(&[0, 1, 2]);
}

/// Guards against lost entries after a wiped disk: an instance that restarts with an empty disk is
/// a different member, so it must not vote in the place of the old one.
#[test]
fn replica_with_an_empty_disk_does_not_vote_as_its_old_member() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = serving_node(&mut cluster);
    let wiped = (leader + 1) % 3;
    cluster.replace_disk(wiped);
    cluster.crash(leader, 0);
    (0..400).for_each(|_| cluster.run_round());
    assert_eq!(cluster.serving_node(), None);
    assert_eq!(cluster.core(wiped).role(), ReplicaRole::Follower);
    cluster.restart(leader);
    assert!(cluster.run_until(|c| c.serving_node().is_some()));
}

/// Guards against a cluster without a leader after the leader removed itself, and against a removed
/// replica that starts elections.
#[test]
fn leader_removes_itself() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = serving_node(&mut cluster);
    let id = cluster.nodes[leader].id;
    assert!(cluster.change_members(&MemberChange::Remove(id)));
    assert!(cluster.run_until(|c| c.serving_node().is_some_and(|n| n != leader)));
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    cluster.commit(&others);
    (0..400).for_each(|_| cluster.run_round());
    assert_eq!(cluster.core(leader).role(), ReplicaRole::Follower);
}

/// Guards against disjoint majorities: a second change must be refused until the first is
/// committed.
#[test]
fn membership_changes_one_at_a_time() {
    let mut cluster = FakeCluster::bootstrapped(5);
    cluster.commit(&[0, 1, 2]);
    let leader = serving_node(&mut cluster);
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

/// Guards against stalled commits: a voter that lacks the log could not acknowledge new entries.
#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    let mut cluster = FakeCluster::bootstrapped(4);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = serving_node(&mut cluster);
    let id = cluster.nodes[3].id;
    cluster.isolate(3);
    let address = "address".to_owned();
    cluster.commit_change(&MemberChange::AddLearner { id, address });
    let promote = MemberChange::Promote(id);
    let refused = cluster.core_mut(leader).propose_member_change(&promote);
    assert_eq!(refused, Err(MemberError::NotCaughtUp));
    cluster.heal();
    cluster.commit_change(&promote);
    cluster.commit(&[0, 1, 2, 3]);
}

/// Guards against a removal that can never be committed: with one replica down, removing another
/// leaves no majority of responding voters.
#[test]
fn removal_that_would_lose_the_quorum_is_refused() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = serving_node(&mut cluster);
    cluster.crash((leader + 1) % 3, 0);
    (0..100).for_each(|_| cluster.run_round());
    let id = cluster.nodes[(leader + 2) % 3].id;
    let refused = cluster
        .core_mut(leader)
        .propose_member_change(&MemberChange::Remove(id));
    assert_eq!(refused, Err(MemberError::TooFewLeft));
}
