//! Views and changes of the control group's members.

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
    GroupStatus,
    MemberStatus, //
};

/// Returns the members and the replicas that request to join.
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
    let join_requests = core
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
        members: members.chain(join_requests).collect(),
    }
}

/// Returns the change that adds the replica that requests to join under this number.
///
/// # Errors
///
/// Returns a [`MemberError`] when a member has the number or no replica requests to join under it.
pub(crate) fn change_to_add(
    core: &ReplicaCore,
    replica: ReplicaId,
) -> Result<MemberChange, MemberError> {
    if core
        .members()
        .is_some_and(|m| m.find_replica(replica).is_some())
    {
        return Err(MemberError::NumberTaken);
    }
    let requests = core.join_requests();
    let request = requests.into_iter().find(|(id, _)| id.replica == replica);
    let (id, address) = request.ok_or(MemberError::UnknownMember)?;
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
pub(crate) fn change_to_remove(
    core: &ReplicaCore,
    replica: ReplicaId,
) -> Result<MemberChange, MemberError> {
    let member = core.members().and_then(|m| m.find_replica(replica));
    member
        .map(MemberChange::Remove)
        .ok_or(MemberError::UnknownMember)
}

/// Returns the status of the group, on which [`next_member_change`](crate::next_member_change)
/// decides.
pub(crate) fn group_status(core: &ReplicaCore, desired_voters: usize) -> GroupStatus {
    let members = core.members().into_iter().flat_map(|m| m.iter());
    let statuses = members.map(|(id, record)| MemberStatus {
        id,
        role: record.role,
        since_contact_ms: match id == core.id() {
            true => 0,
            false => core.ms_since_contact(id).unwrap_or(u64::MAX),
        },
        is_caught_up: core.is_caught_up(id),
    });
    let join_requests = core.join_requests().into_iter();
    GroupStatus {
        leader: core.id(),
        members: statuses.collect(),
        join_requests: join_requests
            .map(|(id, address)| (id, address.to_owned()))
            .collect(),
        desired_voters,
    }
}

/// Returns the change that promotes a caught-up learner to voter, if there is one.
pub(crate) fn change_to_promote(core: &ReplicaCore) -> Option<MemberChange> {
    let members = core.members()?;
    let mut learners = members
        .iter()
        .filter(|(_, m)| m.role == MemberRole::Learner);
    let ready = learners.find(|(id, _)| core.is_caught_up(*id));
    ready.map(|(id, _)| MemberChange::Promote(id))
}
