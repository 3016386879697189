//! How the control group keeps its size by itself: pure decisions on who joins, votes and goes.

use roseridge_quorum::{
    MemberChange,
    MemberId,
    MemberRole, //
};

/// How long a voter is silent before a caught-up learner takes its seat, in milliseconds.
///
/// Shorter than the platform's bound for a repair, longer than an election.
const SEAT_SILENCE_MS: u64 = 1_500;
/// How long a learner is silent before it is forgotten, in milliseconds.
const LEARNER_SILENCE_MS: u64 = 30_000;
/// The most learners that stand by.
const MAX_LEARNERS: usize = 4;

/// A member as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatView {
    /// The member.
    pub id: MemberId,
    /// What it does.
    pub role: MemberRole,
    /// How long ago it was heard; the leader itself is never silent.
    pub silent_ms: u64,
    /// Whether it holds everything that is committed.
    pub caught_up: bool,
}

/// The control group as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSeats {
    /// The leader.
    pub leader: MemberId,
    /// The members.
    pub seats: Vec<SeatView>,
    /// Replicas that ask to join, with their addresses.
    pub joining: Vec<(MemberId, String)>,
    /// The voters that the group is to have.
    pub desired_voters: usize,
}

impl GroupSeats {
    fn voters(&self) -> impl Iterator<Item = &SeatView> {
        self.seats.iter().filter(|s| s.role == MemberRole::Voter)
    }

    fn learners(&self) -> impl Iterator<Item = &SeatView> {
        self.seats.iter().filter(|s| s.role == MemberRole::Learner)
    }

    /// Returns the member with the number of another, and another disk.
    fn predecessor(&self, id: MemberId) -> Option<MemberId> {
        let twins = self.seats.iter().map(|s| s.id);
        let mut twins = twins.filter(|twin| twin.replica == id.replica && twin.disk != id.disk);
        twins.next()
    }
}

/// Returns the next change of the group, if one is due.
///
/// A replica at the place of a member, with a new disk, proves that the old disk is gone, and succeeds it
/// as soon as it has caught up. A replica at a new place stands by, and takes the seat of a voter that
/// has been silent: it votes first, and only then the silent one goes, so that there are never fewer
/// copies than before.
pub fn next_change(group: &GroupSeats) -> Option<MemberChange> {
    succession(group)
        .or_else(|| admission(group))
        .or_else(|| promotion(group))
        .or_else(|| removal(group))
}

fn succession(group: &GroupSeats) -> Option<MemberChange> {
    let ready = group.learners().filter(|s| s.caught_up);
    let mut pairs = ready.filter_map(|s| Some((group.predecessor(s.id)?, s.id)));
    pairs
        .next()
        .map(|(old, new)| MemberChange::Replace { old, new })
}

fn admission(group: &GroupSeats) -> Option<MemberChange> {
    let successor = group
        .joining
        .iter()
        .find(|(id, _)| group.predecessor(*id).is_some());
    let stands_by = group
        .learners()
        .filter(|s| group.predecessor(s.id).is_none());
    let has_room = stands_by.count() < MAX_LEARNERS;
    let newcomer = group.joining.iter().find(|_| has_room);
    match (successor, newcomer) {
        (Some((id, address)), _) => Some(MemberChange::AddReplacement {
            id: *id,
            address: address.clone(),
        }),
        (None, Some((id, address))) => Some(MemberChange::AddLearner {
            id: *id,
            address: address.clone(),
        }),
        (None, None) => None,
    }
}

fn promotion(group: &GroupSeats) -> Option<MemberChange> {
    let voters = group.voters().count();
    let has_silent = group.voters().any(|s| s.silent_ms >= SEAT_SILENCE_MS);
    let has_seat = voters < group.desired_voters || (voters == group.desired_voters && has_silent);
    let mut ready = group
        .learners()
        .filter(|s| s.caught_up && group.predecessor(s.id).is_none());
    let ready = ready.next().filter(|_| has_seat);
    ready.map(|s| MemberChange::Promote(s.id))
}

fn removal(group: &GroupSeats) -> Option<MemberChange> {
    let others = group.voters().filter(|s| s.id != group.leader);
    let silent = others.filter(|s| s.silent_ms >= SEAT_SILENCE_MS);
    let spare = silent.max_by_key(|s| s.silent_ms);
    let spare = spare.filter(|_| group.voters().count() > group.desired_voters);
    let gone = group.learners().find(|s| s.silent_ms >= LEARNER_SILENCE_MS);
    spare.or(gone).map(|s| MemberChange::Remove(s.id))
}
