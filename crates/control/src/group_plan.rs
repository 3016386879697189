//! Decides how the control group changes its members to keep its size. All functions are pure.

use roseridge_quorum::{
    MemberChange,
    MemberId,
    MemberRole, //
};

/// Time since the last contact with a voter after which a caught-up learner replaces it, in
/// milliseconds.
///
/// It is shorter than the platform's limit for a repair and longer than an election.
const VOTER_TIMEOUT_MS: u64 = 1_500;
/// Time since the last contact with a learner after which it is removed, in milliseconds.
const LEARNER_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of learners that stand by to replace a voter.
const MAX_STANDBY_LEARNERS: usize = 4;

/// The status of a member, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub id: MemberId,
    /// Its role.
    pub role: MemberRole,
    /// Time since the last contact, in milliseconds. It is zero for the leader itself.
    pub since_contact_ms: u64,
    /// Whether it had recent contact, holds all committed entries and lags by few entries, so that a
    /// learner may become a voter.
    pub is_caught_up: bool,
}

/// The status of the control group, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// The leader.
    pub leader: MemberId,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The replicas that request to join, with their addresses.
    pub join_requests: Vec<(MemberId, String)>,
    /// The number of voters that the group should have.
    pub desired_voters: usize,
}

impl GroupStatus {
    fn voters(&self) -> impl Iterator<Item = &MemberStatus> {
        self.members.iter().filter(|m| m.role == MemberRole::Voter)
    }

    fn learners(&self) -> impl Iterator<Item = &MemberStatus> {
        self.members
            .iter()
            .filter(|m| m.role == MemberRole::Learner)
    }

    /// Returns the member with the same replica number and another disk.
    fn predecessor(&self, id: MemberId) -> Option<MemberId> {
        let others = self.members.iter().map(|m| m.id);
        let mut others =
            others.filter(|other| other.replica == id.replica && other.disk != id.disk);
        others.next()
    }
}

/// Returns the next change of the members, if one is due.
///
/// A replica with the number of a member and a new disk proves that the old disk is gone. It
/// replaces that member as soon as it has caught up. A replica with a new number becomes a standby
/// learner and replaces a voter that has stopped responding. It is promoted before the unresponsive
/// voter is removed, so the number of copies never falls below what it was.
pub fn next_member_change(group: &GroupStatus) -> Option<MemberChange> {
    next_replacement(group)
        .or_else(|| next_addition(group))
        .or_else(|| next_promotion(group))
        .or_else(|| next_removal(group))
}

fn next_replacement(group: &GroupStatus) -> Option<MemberChange> {
    let ready = group.learners().filter(|m| m.is_caught_up);
    let mut pairs = ready.filter_map(|m| Some((group.predecessor(m.id)?, m.id)));
    pairs
        .next()
        .map(|(old, new)| MemberChange::Replace { old, new })
}

fn next_addition(group: &GroupStatus) -> Option<MemberChange> {
    let successor = group
        .join_requests
        .iter()
        .find(|(id, _)| group.predecessor(*id).is_some());
    let standbys = group
        .learners()
        .filter(|m| group.predecessor(m.id).is_none());
    let has_standby_slot = standbys.count() < MAX_STANDBY_LEARNERS;
    let candidate = group.join_requests.iter().find(|_| has_standby_slot);
    match (successor, candidate) {
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

fn next_promotion(group: &GroupStatus) -> Option<MemberChange> {
    let voters = group.voters().count();
    let has_unreachable = group
        .voters()
        .any(|m| m.since_contact_ms >= VOTER_TIMEOUT_MS);
    let has_free_slot =
        voters < group.desired_voters || (voters == group.desired_voters && has_unreachable);
    let mut ready = group
        .learners()
        .filter(|m| m.is_caught_up && group.predecessor(m.id).is_none());
    let ready = ready.next().filter(|_| has_free_slot);
    ready.map(|m| MemberChange::Promote(m.id))
}

fn next_removal(group: &GroupStatus) -> Option<MemberChange> {
    let others = group.voters().filter(|m| m.id != group.leader);
    let unreachable = others.filter(|m| m.since_contact_ms >= VOTER_TIMEOUT_MS);
    let excess = unreachable.max_by_key(|m| m.since_contact_ms);
    let excess = excess.filter(|_| group.voters().count() > group.desired_voters);
    let lost_learner = group
        .learners()
        .find(|m| m.since_contact_ms >= LEARNER_TIMEOUT_MS);
    excess.or(lost_learner).map(|m| MemberChange::Remove(m.id))
}
