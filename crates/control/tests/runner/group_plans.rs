//! Guards against member changes that reduce the number of copies, remove the leader, promote a
//! learner that lags, or admit standby learners without limit.

use roseridge_control::{
    GroupStatus,
    MemberStatus,
    next_member_change, //
};
use roseridge_quorum::{
    DiskId,
    MemberChange,
    MemberId,
    MemberRole,
    ReplicaId, //
};
use roseridge_testutils::cases;

/// Times since the last contact, in milliseconds: with a member that responds, with one that may be
/// replaced, and with one that is lost.
const RECENT_MS: u64 = 100;
const UNREACHABLE_MS: u64 = 2_000;
const LOST_MS: u64 = 60_000;

fn id(replica: u64, disk: u64) -> MemberId {
    MemberId {
        replica: ReplicaId(replica),
        disk: DiskId(disk),
    }
}

fn address(replica: u64) -> String {
    format!("10.0.0.{replica}:7000")
}

fn voter(replica: u64, since_contact_ms: u64) -> MemberStatus {
    MemberStatus {
        id: id(replica, 1),
        role: MemberRole::Voter,
        since_contact_ms,
        is_caught_up: true,
    }
}

fn learner(replica: u64, disk: u64, is_caught_up: bool) -> MemberStatus {
    MemberStatus {
        id: id(replica, disk),
        role: MemberRole::Learner,
        since_contact_ms: RECENT_MS,
        is_caught_up,
    }
}

/// A group with the first replica as leader, and its expected next change.
struct PlanCase {
    members: Vec<MemberStatus>,
    join_requests: Vec<(u64, u64)>,
    change: Option<MemberChange>,
}

fn check(case: PlanCase) {
    let join_requests = case.join_requests.into_iter();
    let group = GroupStatus {
        leader: id(1, 1),
        members: case.members,
        join_requests: join_requests.map(|(r, d)| (id(r, d), address(r))).collect(),
        desired_voters: 3,
    };
    assert_eq!(next_member_change(&group), case.change);
}

fn three_with(since_contact_ms: u64) -> Vec<MemberStatus> {
    vec![voter(1, 0), voter(2, RECENT_MS), voter(3, since_contact_ms)]
}

fn with(mut members: Vec<MemberStatus>, more: &[MemberStatus]) -> Vec<MemberStatus> {
    members.extend_from_slice(more);
    members
}

cases! { check:
    complete_group_needs_no_change = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![],
        change: None,
    },
    unreachable_voter_without_a_replacement_stays = PlanCase {
        members: three_with(LOST_MS),
        join_requests: vec![],
        change: None,
    },
    new_replica_becomes_a_learner = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(4, 1)],
        change: Some(MemberChange::AddLearner { id: id(4, 1), address: address(4) }),
    },
    new_disk_of_a_member_becomes_its_replacement = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    replacement_has_priority_over_a_new_replica = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(4, 1), (3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    replacement_that_lags_waits = PlanCase {
        members: with(three_with(LOST_MS), &[learner(3, 2, false)]),
        join_requests: vec![],
        change: None,
    },
    caught_up_replacement_replaces_the_member = PlanCase {
        members: with(three_with(LOST_MS), &[learner(3, 2, true)]),
        join_requests: vec![],
        change: Some(MemberChange::Replace { old: id(3, 1), new: id(3, 2) }),
    },
    standby_is_promoted_before_the_unreachable_voter_is_removed = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[learner(4, 1, true)]),
        join_requests: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    standby_stays_learner_while_all_voters_respond = PlanCase {
        members: with(three_with(RECENT_MS), &[learner(4, 1, true)]),
        join_requests: vec![],
        change: None,
    },
    standby_that_lags_is_not_promoted = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[learner(4, 1, false)]),
        join_requests: vec![],
        change: None,
    },
    free_voter_slot_is_filled_at_once = PlanCase {
        members: vec![voter(1, 0), voter(2, RECENT_MS), learner(4, 1, true)],
        join_requests: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    unreachable_voter_is_removed_once_another_is_promoted = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[voter(4, RECENT_MS)]),
        join_requests: vec![],
        change: Some(MemberChange::Remove(id(3, 1))),
    },
    excess_voter_stays_while_all_respond = PlanCase {
        members: with(three_with(RECENT_MS), &[voter(4, RECENT_MS)]),
        join_requests: vec![],
        change: None,
    },
    leader_is_never_removed = PlanCase {
        members: vec![
            voter(1, LOST_MS),
            voter(2, RECENT_MS),
            voter(3, RECENT_MS),
            voter(4, RECENT_MS),
        ],
        join_requests: vec![],
        change: None,
    },
    number_of_standbys_is_limited = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        join_requests: vec![(8, 1)],
        change: None,
    },
    replacement_is_added_beyond_the_limit_of_standbys = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        join_requests: vec![(8, 1), (2, 2)],
        change: Some(MemberChange::AddReplacement { id: id(2, 2), address: address(2) }),
    },
    lost_learner_is_removed = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[MemberStatus { since_contact_ms: LOST_MS, ..learner(4, 1, false) }],
        ),
        join_requests: vec![],
        change: Some(MemberChange::Remove(id(4, 1))),
    },
}

/// Replaces a lost voter by a new replica, step by step, and counts the voters after each step.
///
/// Removing the lost voter before the promotion would leave the group with fewer copies for a time.
#[test]
fn replacement_of_a_voter_never_reduces_the_number_of_voters() {
    let mut group = GroupStatus {
        leader: id(1, 1),
        members: three_with(LOST_MS),
        join_requests: vec![(id(4, 1), address(4))],
        desired_voters: 3,
    };
    let mut changes = 0;
    while let Some(change) = next_member_change(&group) {
        changes += 1;
        match change {
            MemberChange::AddLearner { id, .. } => {
                group.join_requests.clear();
                group.members.push(learner(id.replica.0, id.disk.0, true));
            }
            MemberChange::Promote(id) => {
                let member = group.members.iter_mut().find(|m| m.id == id);
                member.expect("a learner").role = MemberRole::Voter;
            }
            MemberChange::Remove(id) => group.members.retain(|m| m.id != id),
            change => panic!("unexpected change {change:?}"),
        }
        let voters = group.members.iter().filter(|m| m.role == MemberRole::Voter);
        assert!(voters.count() >= 3);
    }
    assert_eq!(changes, 3);
    let remaining: Vec<_> = group.members.iter().map(|m| m.id.replica.0).collect();
    assert_eq!(remaining, [1, 2, 4]);
}
