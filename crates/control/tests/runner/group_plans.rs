//! Who joins, votes and goes, one change at a time.

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

/// Silences in milliseconds: of a member that answers, of one that lost its seat, of one that is gone.
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

/// A group whose leader is the first replica, and its next change.
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
    whole_group_stays = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![],
        change: None,
    },
    silent_voter_without_a_successor_keeps_its_seat = PlanCase {
        members: three_with(LOST_MS),
        join_requests: vec![],
        change: None,
    },
    newcomer_learns = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(4, 1)],
        change: Some(MemberChange::AddLearner { id: id(4, 1), address: address(4) }),
    },
    new_disk_at_a_known_place_succeeds_it = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    new_disk_at_a_known_place_goes_before_a_newcomer = PlanCase {
        members: three_with(RECENT_MS),
        join_requests: vec![(4, 1), (3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    successor_that_lags_waits = PlanCase {
        members: with(three_with(LOST_MS), &[learner(3, 2, false)]),
        join_requests: vec![],
        change: None,
    },
    successor_that_caught_up_takes_the_seat = PlanCase {
        members: with(three_with(LOST_MS), &[learner(3, 2, true)]),
        join_requests: vec![],
        change: Some(MemberChange::Replace { old: id(3, 1), new: id(3, 2) }),
    },
    stand_by_is_promoted_before_the_silent_voter_goes = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[learner(4, 1, true)]),
        join_requests: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    stand_by_stays_while_all_voters_answer = PlanCase {
        members: with(three_with(RECENT_MS), &[learner(4, 1, true)]),
        join_requests: vec![],
        change: None,
    },
    stand_by_that_lags_is_not_promoted = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[learner(4, 1, false)]),
        join_requests: vec![],
        change: None,
    },
    empty_seat_is_filled_at_once = PlanCase {
        members: vec![voter(1, 0), voter(2, RECENT_MS), learner(4, 1, true)],
        join_requests: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    silent_voter_goes_once_another_votes = PlanCase {
        members: with(three_with(UNREACHABLE_MS), &[voter(4, RECENT_MS)]),
        join_requests: vec![],
        change: Some(MemberChange::Remove(id(3, 1))),
    },
    fourth_voter_stays_while_all_answer = PlanCase {
        members: with(three_with(RECENT_MS), &[voter(4, RECENT_MS)]),
        join_requests: vec![],
        change: None,
    },
    silent_leader_is_never_removed = PlanCase {
        members: vec![voter(1, LOST_MS), voter(2, RECENT_MS), voter(3, RECENT_MS), voter(4, RECENT_MS)],
        join_requests: vec![],
        change: None,
    },
    stand_bys_are_bounded = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        join_requests: vec![(8, 1)],
        change: None,
    },
    successor_is_taken_beside_a_full_row_of_stand_bys = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        join_requests: vec![(8, 1), (2, 2)],
        change: Some(MemberChange::AddReplacement { id: id(2, 2), address: address(2) }),
    },
    learner_that_is_gone_is_forgotten = PlanCase {
        members: with(
            three_with(RECENT_MS),
            &[MemberStatus { since_contact_ms: LOST_MS, ..learner(4, 1, false) }],
        ),
        join_requests: vec![],
        change: Some(MemberChange::Remove(id(4, 1))),
    },
}

/// Follows the plan for a group of which one voter is replaced by a newcomer, and counts its voters.
#[test]
fn group_never_has_fewer_voters_than_before_on_the_way() {
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
                let member = group.members.iter_mut().find(|s| s.id == id);
                member.expect("a learner").role = MemberRole::Voter;
            }
            MemberChange::Remove(id) => group.members.retain(|s| s.id != id),
            change => panic!("{change:?} is not needed here"),
        }
        let voters = group.members.iter().filter(|s| s.role == MemberRole::Voter);
        assert!(voters.count() >= 3);
    }
    assert_eq!(changes, 3);
    let left: Vec<_> = group.members.iter().map(|s| s.id.replica.0).collect();
    assert_eq!(left, [1, 2, 4]);
}
