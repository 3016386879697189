//! Members of the control group as operators see and change them.

use roseridge_quorum::{
    MemberChange,
    MemberError,
    MemberRole,
    ReplicaCore,
    ReplicaId, //
};
use roseridge_wire::{
    MemberState,
    MemberView,
    MembersView, //
};

use crate::{
    GroupSeats,
    SeatView, //
};

/// Returns the members and those who ask to join.
pub(crate) fn members_view(core: &ReplicaCore) -> MembersView {
    let followers = core.followers();
    let last = core.last_index();
    let members = core.members().into_iter().flat_map(|m| m.iter());
    let members = members.map(|(id, record)| {
        let matched = match id == core.id() {
            true => last,
            false => {
                let progress = followers.iter().find(|(follower, _)| *follower == id);
                progress.map(|(_, matched)| *matched).unwrap_or_default()
            }
        };
        MemberView {
            replica: id.replica.0,
            disk: format!("{:016x}", id.disk.0),
            address: record.address.clone(),
            state: match record.role {
                _ if id == core.id() => MemberState::Leader,
                MemberRole::Voter => MemberState::Voter,
                MemberRole::Learner => MemberState::Learner,
            },
            matched: matched.0,
            behind: last.0.saturating_sub(matched.0),
            heard_ms_ago: core.ms_since_contact(id),
        }
    });
    let joining = core
        .join_requests()
        .into_iter()
        .map(|(id, address)| MemberView {
            replica: id.replica.0,
            disk: format!("{:016x}", id.disk.0),
            address: address.to_owned(),
            state: MemberState::Joining,
            matched: 0,
            behind: last.0,
            heard_ms_ago: None,
        });
    MembersView {
        settled: core.members_are_committed(),
        members: members.chain(joining).collect(),
    }
}

/// Returns the change that adds the replica which asks to join with this number.
///
/// # Errors
///
/// Returns a [`MemberError`] when a member has the number, or nobody asks to join with it.
pub(crate) fn adding(core: &ReplicaCore, replica: ReplicaId) -> Result<MemberChange, MemberError> {
    if core
        .members()
        .is_some_and(|m| m.find_replica(replica).is_some())
    {
        return Err(MemberError::NumberTaken);
    }
    let wishes = core.join_requests();
    let wish = wishes.into_iter().find(|(id, _)| id.replica == replica);
    let (id, address) = wish.ok_or(MemberError::UnknownMember)?;
    Ok(MemberChange::AddLearner {
        id,
        address: address.to_owned(),
    })
}

/// Returns the change that removes the member with this number.
///
/// # Errors
///
/// Returns a [`MemberError`] when there is no such member.
pub(crate) fn removing(
    core: &ReplicaCore,
    replica: ReplicaId,
) -> Result<MemberChange, MemberError> {
    let member = core.members().and_then(|m| m.find_replica(replica));
    member
        .map(MemberChange::Remove)
        .ok_or(MemberError::UnknownMember)
}

/// Returns the group as the decisions on its members see it.
pub(crate) fn group_seats(core: &ReplicaCore, desired_voters: usize) -> GroupSeats {
    let members = core.members().into_iter().flat_map(|m| m.iter());
    let seats = members.map(|(id, record)| SeatView {
        id,
        role: record.role,
        silent_ms: match id == core.id() {
            true => 0,
            false => core.ms_since_contact(id).unwrap_or(u64::MAX),
        },
        caught_up: core.is_caught_up(id),
    });
    let joining = core.join_requests().into_iter();
    GroupSeats {
        leader: core.id(),
        seats: seats.collect(),
        joining: joining
            .map(|(id, address)| (id, address.to_owned()))
            .collect(),
        desired_voters,
    }
}

/// Returns the change that makes a voter of a learner that has caught up.
pub(crate) fn promotion(core: &ReplicaCore) -> Option<MemberChange> {
    let members = core.members()?;
    let mut learners = members
        .iter()
        .filter(|(_, m)| m.role == MemberRole::Learner);
    let ready = learners.find(|(id, _)| core.is_caught_up(*id));
    ready.map(|(id, _)| MemberChange::Promote(id))
}
