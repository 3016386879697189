//! A replica on a new disk takes over the voter slot of the lost disk.

use roseridge_quorum::{
    MemberChange,
    MemberId,
    MemberRole, //
};

use crate::fake_cluster::FakeCluster;

/// Replaces the disk of a follower and adds its replacement as a learner; returns the node, the old
/// member and the new one.
fn begin_replacement(cluster: &mut FakeCluster) -> (usize, MemberId, MemberId) {
    let leader = cluster.serving_node().expect("a leader serves");
    let node = (leader + 1) % 3;
    let old = cluster.nodes[node].id;
    cluster.replace_disk(node);
    let new = cluster.nodes[node].id;
    let address = "address".to_owned();
    cluster.commit_change(&MemberChange::AddReplacement { id: new, address });
    (node, old, new)
}

fn role_of(cluster: &FakeCluster, id: MemberId) -> Option<MemberRole> {
    let leader = cluster.serving_node().expect("a leader serves");
    let members = cluster.core(leader).members().expect("members");
    let mut matching = members.iter().filter(|(member, _)| *member == id);
    matching.next().map(|(_, member)| member.role)
}

/// Guards against a change of the majority before the replacement has the log.
#[test]
fn replacement_learns_before_it_takes_the_voter_slot_in_one_step() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, old, new) = begin_replacement(&mut cluster);
    assert_eq!(role_of(&cluster, old), Some(MemberRole::Voter));
    assert_eq!(role_of(&cluster, new), Some(MemberRole::Learner));
    let caught_up = |c: &FakeCluster| c.nodes[node].state.revision >= 10;
    assert!(cluster.run_until(caught_up), "the replacement catches up");
    cluster.commit_change(&MemberChange::Replace { old, new });
    assert_eq!(role_of(&cluster, old), None);
    assert_eq!(role_of(&cluster, new), Some(MemberRole::Voter));
}

/// Guards against a replacement that does not count towards the majority.
#[test]
fn replacement_votes_in_place_of_the_lost_disk() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, old, new) = begin_replacement(&mut cluster);
    assert!(cluster.run_until(|c| c.nodes[node].state.revision >= 10));
    cluster.commit_change(&MemberChange::Replace { old, new });
    // The cluster still has a majority when another replica is lost right afterwards.
    let leader = cluster.serving_node().expect("a leader serves");
    cluster.crash(leader, 0);
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    cluster.commit(&others);
    assert!(cluster.nodes[node].state.revision > 10);
}

/// Guards against a majority that includes a replica without the whole log.
#[test]
fn replacement_does_not_vote_while_it_is_a_learner() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, _, _) = begin_replacement(&mut cluster);
    // Of three voters one disk is lost and one replica is down. No majority is left, because the
    // learner's vote does not count.
    let leader = cluster.serving_node().expect("a leader serves");
    let third = (0..3).find(|n| *n != leader && *n != node);
    cluster.crash(third.expect("a third replica"), 0);
    for _ in 0..400 {
        cluster.run_round();
    }
    assert_eq!(cluster.serving_node(), None);
}

/// Guards against a replica that can never join because its link to the leader is down.
#[test]
fn join_request_reaches_the_leader_through_a_follower() {
    let mut cluster = FakeCluster::bootstrapped(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving_node().expect("a leader serves");
    let node = (leader + 1) % 3;
    cluster.cut_link(node, leader);
    cluster.replace_disk(node);
    let new = cluster.nodes[node].id;
    let is_known = |c: &FakeCluster| {
        let join_requests = c.core(leader).join_requests();
        join_requests.iter().any(|(id, _)| *id == new)
    };
    assert!(
        cluster.run_until(is_known),
        "a follower forwards the join request"
    );
}
