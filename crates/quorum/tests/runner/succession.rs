//! A new disk at the place of a lost one takes its seat.

use roseridge_quorum::{
    MemberChange,
    MemberId,
    MemberRole, //
};

use crate::fake_cluster::FakeCluster;

/// Loses the disk of a node that does not lead, and lets its successor learn.
fn begin_succession(cluster: &mut FakeCluster) -> (usize, MemberId, MemberId) {
    let leader = cluster.serving().expect("a leader serves");
    let node = (leader + 1) % 3;
    let old = cluster.nodes[node].id;
    cluster.replace_disk(node);
    let new = cluster.nodes[node].id;
    let address = "address".to_owned();
    cluster.settle_change(&MemberChange::AddReplacement { id: new, address });
    (node, old, new)
}

fn role_of(cluster: &FakeCluster, id: MemberId) -> Option<MemberRole> {
    let leader = cluster.serving().expect("a leader serves");
    let members = cluster.core(leader).members().expect("members");
    let mut found = members.iter().filter(|(known, _)| *known == id);
    found.next().map(|(_, member)| member.role)
}

#[test]
fn successor_learns_beside_the_lost_disk_and_takes_its_seat_in_one_step() {
    let mut cluster = FakeCluster::founded(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, old, new) = begin_succession(&mut cluster);
    assert_eq!(role_of(&cluster, old), Some(MemberRole::Voter));
    assert_eq!(role_of(&cluster, new), Some(MemberRole::Learner));
    let caught_up = |c: &FakeCluster| c.nodes[node].state.revision >= 10;
    assert!(cluster.run_until(caught_up), "the successor learns");
    cluster.settle_change(&MemberChange::Replace { old, new });
    assert_eq!(role_of(&cluster, old), None);
    assert_eq!(role_of(&cluster, new), Some(MemberRole::Voter));
}

#[test]
fn successor_votes_in_the_place_of_the_lost_disk() {
    let mut cluster = FakeCluster::founded(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, old, new) = begin_succession(&mut cluster);
    assert!(cluster.run_until(|c| c.nodes[node].state.revision >= 10));
    cluster.settle_change(&MemberChange::Replace { old, new });
    // The group lives on the successor when another one is lost right afterwards.
    let leader = cluster.serving().expect("a leader serves");
    cluster.crash(leader, 0);
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    cluster.commit(&others);
    assert!(cluster.nodes[node].state.revision > 10);
}

#[test]
fn successor_that_still_learns_does_not_vote() {
    let mut cluster = FakeCluster::founded(3);
    (0..10).for_each(|_| cluster.commit(&[0, 1, 2]));
    let (node, _, _) = begin_succession(&mut cluster);
    // Of three voters one disk is lost and one replica is down: no majority is left, whatever the
    // learner says.
    let leader = cluster.serving().expect("a leader serves");
    let third = (0..3).find(|n| *n != leader && *n != node);
    cluster.crash(third.expect("a third replica"), 0);
    for _ in 0..400 {
        cluster.round();
    }
    assert_eq!(cluster.serving(), None);
}

#[test]
fn wish_to_join_reaches_the_leader_through_a_follower() {
    let mut cluster = FakeCluster::founded(3);
    (0..5).for_each(|_| cluster.commit(&[0, 1, 2]));
    let leader = cluster.serving().expect("a leader serves");
    let node = (leader + 1) % 3;
    cluster.cut(node, leader);
    cluster.replace_disk(node);
    let fresh = cluster.nodes[node].id;
    let is_known = |c: &FakeCluster| {
        let join_requests = c.core(leader).join_requests();
        join_requests.iter().any(|(id, _)| *id == fresh)
    };
    assert!(cluster.run_until(is_known), "a follower passes it on");
}
