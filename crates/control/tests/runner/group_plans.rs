//! Who joins, votes and goes, one change at a time.

use roseridge_control::{
    GroupSeats,
    SeatView,
    next_change, //
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
const HEARD: u64 = 100;
const SILENT: u64 = 2_000;
const GONE: u64 = 60_000;

fn id(replica: u64, disk: u64) -> MemberId {
    MemberId {
        replica: ReplicaId(replica),
        disk: DiskId(disk),
    }
}

fn address(replica: u64) -> String {
    format!("10.0.0.{replica}:7000")
}

fn voter(replica: u64, silent_ms: u64) -> SeatView {
    SeatView {
        id: id(replica, 1),
        role: MemberRole::Voter,
        silent_ms,
        caught_up: true,
    }
}

fn learner(replica: u64, disk: u64, caught_up: bool) -> SeatView {
    SeatView {
        id: id(replica, disk),
        role: MemberRole::Learner,
        silent_ms: HEARD,
        caught_up,
    }
}

/// A group whose leader is the first replica, and its next change.
struct PlanCase {
    seats: Vec<SeatView>,
    joining: Vec<(u64, u64)>,
    change: Option<MemberChange>,
}

fn check(case: PlanCase) {
    let joining = case.joining.into_iter();
    let group = GroupSeats {
        leader: id(1, 1),
        seats: case.seats,
        joining: joining.map(|(r, d)| (id(r, d), address(r))).collect(),
        desired_voters: 3,
    };
    assert_eq!(next_change(&group), case.change);
}

fn three_with(silent_ms: u64) -> Vec<SeatView> {
    vec![voter(1, 0), voter(2, HEARD), voter(3, silent_ms)]
}

fn with(mut seats: Vec<SeatView>, more: &[SeatView]) -> Vec<SeatView> {
    seats.extend_from_slice(more);
    seats
}

cases! { check:
    whole_group_stays = PlanCase {
        seats: three_with(HEARD),
        joining: vec![],
        change: None,
    },
    silent_voter_without_a_successor_keeps_its_seat = PlanCase {
        seats: three_with(GONE),
        joining: vec![],
        change: None,
    },
    newcomer_learns = PlanCase {
        seats: three_with(HEARD),
        joining: vec![(4, 1)],
        change: Some(MemberChange::AddLearner { id: id(4, 1), address: address(4) }),
    },
    new_disk_at_a_known_place_succeeds_it = PlanCase {
        seats: three_with(HEARD),
        joining: vec![(3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    new_disk_at_a_known_place_goes_before_a_newcomer = PlanCase {
        seats: three_with(HEARD),
        joining: vec![(4, 1), (3, 2)],
        change: Some(MemberChange::AddReplacement { id: id(3, 2), address: address(3) }),
    },
    successor_that_lags_waits = PlanCase {
        seats: with(three_with(GONE), &[learner(3, 2, false)]),
        joining: vec![],
        change: None,
    },
    successor_that_caught_up_takes_the_seat = PlanCase {
        seats: with(three_with(GONE), &[learner(3, 2, true)]),
        joining: vec![],
        change: Some(MemberChange::Replace { old: id(3, 1), new: id(3, 2) }),
    },
    stand_by_is_promoted_before_the_silent_voter_goes = PlanCase {
        seats: with(three_with(SILENT), &[learner(4, 1, true)]),
        joining: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    stand_by_stays_while_all_voters_answer = PlanCase {
        seats: with(three_with(HEARD), &[learner(4, 1, true)]),
        joining: vec![],
        change: None,
    },
    stand_by_that_lags_is_not_promoted = PlanCase {
        seats: with(three_with(SILENT), &[learner(4, 1, false)]),
        joining: vec![],
        change: None,
    },
    empty_seat_is_filled_at_once = PlanCase {
        seats: vec![voter(1, 0), voter(2, HEARD), learner(4, 1, true)],
        joining: vec![],
        change: Some(MemberChange::Promote(id(4, 1))),
    },
    silent_voter_goes_once_another_votes = PlanCase {
        seats: with(three_with(SILENT), &[voter(4, HEARD)]),
        joining: vec![],
        change: Some(MemberChange::Remove(id(3, 1))),
    },
    fourth_voter_stays_while_all_answer = PlanCase {
        seats: with(three_with(HEARD), &[voter(4, HEARD)]),
        joining: vec![],
        change: None,
    },
    silent_leader_is_never_removed = PlanCase {
        seats: vec![voter(1, GONE), voter(2, HEARD), voter(3, HEARD), voter(4, HEARD)],
        joining: vec![],
        change: None,
    },
    stand_bys_are_bounded = PlanCase {
        seats: with(
            three_with(HEARD),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        joining: vec![(8, 1)],
        change: None,
    },
    successor_is_taken_beside_a_full_row_of_stand_bys = PlanCase {
        seats: with(
            three_with(HEARD),
            &[4, 5, 6, 7].map(|replica| learner(replica, 1, false)),
        ),
        joining: vec![(8, 1), (2, 2)],
        change: Some(MemberChange::AddReplacement { id: id(2, 2), address: address(2) }),
    },
    learner_that_is_gone_is_forgotten = PlanCase {
        seats: with(
            three_with(HEARD),
            &[SeatView { silent_ms: GONE, ..learner(4, 1, false) }],
        ),
        joining: vec![],
        change: Some(MemberChange::Remove(id(4, 1))),
    },
}

/// Follows the plan for a group of which one voter is replaced by a newcomer, and counts its voters.
#[test]
fn group_never_has_fewer_voters_than_before_on_the_way() {
    let mut group = GroupSeats {
        leader: id(1, 1),
        seats: three_with(GONE),
        joining: vec![(id(4, 1), address(4))],
        desired_voters: 3,
    };
    let mut changes = 0;
    while let Some(change) = next_change(&group) {
        changes += 1;
        match change {
            MemberChange::AddLearner { id, .. } => {
                group.joining.clear();
                group.seats.push(learner(id.replica.0, id.disk.0, true));
            }
            MemberChange::Promote(id) => {
                let seat = group.seats.iter_mut().find(|s| s.id == id);
                seat.expect("a learner").role = MemberRole::Voter;
            }
            MemberChange::Remove(id) => group.seats.retain(|s| s.id != id),
            change => panic!("{change:?} is not needed here"),
        }
        let voters = group.seats.iter().filter(|s| s.role == MemberRole::Voter);
        assert!(voters.count() >= 3);
    }
    assert_eq!(changes, 3);
    let left: Vec<_> = group.seats.iter().map(|s| s.id.replica.0).collect();
    assert_eq!(left, [1, 2, 4]);
}
