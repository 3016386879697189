//! Who takes part in the replicated log.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DiskId,
    LogIndex,
    ReplicaId, //
};

/// The identity of a replica: its number and its disk. A replaced or wiped disk is another member.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct MemberId {
    /// The number from the settings.
    pub replica: ReplicaId,
    /// The disk.
    pub disk: DiskId,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.replica, self.disk.0)
    }
}

/// What a member does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Receives the log, but counts for no majority.
    Learner,
    /// Votes and counts for majorities.
    Voter,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// What it does.
    pub role: MemberRole,
    /// Where the other processes reach it; the log does not interpret it.
    pub address: String,
}

/// The members at one place of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership {
    members: BTreeMap<MemberId, MemberRecord>,
}

impl Membership {
    /// Makes a membership of voters.
    pub fn of_voters(voters: impl IntoIterator<Item = (MemberId, String)>) -> Self {
        let role = MemberRole::Voter;
        let voters = voters.into_iter();
        Self {
            members: voters
                .map(|(id, address)| (id, MemberRecord { role, address }))
                .collect(),
        }
    }

    /// Returns every member.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberRecord)> {
        self.members.iter().map(|(id, record)| (*id, record))
    }

    /// Returns every voter.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let voters = self
            .members
            .iter()
            .filter(|(_, m)| m.role == MemberRole::Voter);
        voters.map(|(id, _)| *id)
    }

    /// Returns what is known of a member.
    pub fn get(&self, id: MemberId) -> Option<&MemberRecord> {
        self.members.get(&id)
    }

    /// Returns whether the replica votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Returns the member with this number, whatever its disk.
    pub fn find_replica(&self, replica: ReplicaId) -> Option<MemberId> {
        self.members
            .keys()
            .copied()
            .find(|id| id.replica == replica)
    }

    /// Returns whether more than half of the voters have the property; never true without voters.
    pub fn is_majority(&self, has: impl Fn(MemberId) -> bool) -> bool {
        let count = self.voters().filter(|id| has(*id)).count();
        count * 2 > self.voters().count()
    }

    pub(crate) fn put(&mut self, id: MemberId, role: MemberRole, address: String) {
        self.members.insert(id, MemberRecord { role, address });
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        self.members.remove(&id);
    }

    pub(crate) fn size(&self) -> usize {
        self.members.values().map(|m| m.address.len() + 24).sum()
    }
}

/// The memberships of the part of the log that is in memory, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberHistory {
    steps: Vec<(LogIndex, Membership)>,
}

impl MemberHistory {
    /// Returns the newest membership, which counts from the moment that it is in the log.
    pub(crate) fn newest(&self) -> Option<&Membership> {
        self.steps.last().map(|(_, members)| members)
    }

    /// Returns where the newest membership stands in the log.
    pub(crate) fn newest_index(&self) -> LogIndex {
        self.steps.last().map_or(LogIndex(0), |(index, _)| *index)
    }

    /// Returns the membership that holds at an index.
    pub(crate) fn at(&self, index: LogIndex) -> Option<&Membership> {
        let older = self.steps.iter().rev().find(|(from, _)| *from <= index);
        older.map(|(_, members)| members)
    }

    /// Returns whether a replica votes by a membership that may be in force when nothing after
    /// `commit` is known to be committed.
    pub(crate) fn is_voter_from(&self, commit: LogIndex, id: MemberId) -> bool {
        let settled = self.steps.iter().rposition(|(from, _)| *from <= commit);
        let mut open = self.steps.iter().skip(settled.unwrap_or(0));
        open.any(|(_, members)| members.is_voter(id))
    }

    pub(crate) fn push(&mut self, index: LogIndex, members: Membership) {
        self.steps.push((index, members));
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        self.steps.retain(|(at, _)| *at < index);
    }

    /// Lets a snapshot's membership stand for every older step.
    pub(crate) fn rebase(&mut self, index: LogIndex, members: Membership) {
        self.steps.retain(|(at, _)| *at > index);
        self.steps.insert(0, (index, members));
    }
}
