//! The members of the cluster and their history in the log.

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

/// The identity of a replica: its number and its disk. A replica whose disk was replaced or wiped
/// is a different member.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct MemberId {
    /// The number of the replica in the settings.
    pub replica: ReplicaId,
    /// The identity of its disk.
    pub disk: DiskId,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.replica, self.disk.0)
    }
}

/// Whether a member votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Receives the log, but neither votes nor counts towards a majority.
    Learner,
    /// Votes and counts towards majorities.
    Voter,
}

/// The role and the address of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The role of the member.
    pub role: MemberRole,
    /// The address at which other processes reach it, which this crate does not interpret.
    pub address: String,
}

/// The members of the cluster as of one log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership {
    members: BTreeMap<MemberId, MemberRecord>,
}

impl Membership {
    /// Creates a membership in which every member is a voter.
    pub fn from_voters(voters: impl IntoIterator<Item = (MemberId, String)>) -> Self {
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

    /// Returns the role and the address of a member.
    pub fn get(&self, id: MemberId) -> Option<&MemberRecord> {
        self.members.get(&id)
    }

    /// Returns whether the replica is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Returns the first member with this replica number, regardless of its disk.
    pub fn find_replica(&self, replica: ReplicaId) -> Option<MemberId> {
        self.members
            .keys()
            .copied()
            .find(|id| id.replica == replica)
    }

    /// Returns whether the predicate holds for more than half of the voters; false without voters.
    pub fn is_majority(&self, predicate: impl Fn(MemberId) -> bool) -> bool {
        let count = self.voters().filter(|id| predicate(*id)).count();
        count * 2 > self.voters().count()
    }

    pub(crate) fn insert(&mut self, id: MemberId, role: MemberRole, address: String) {
        self.members.insert(id, MemberRecord { role, address });
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        self.members.remove(&id);
    }

    pub(crate) fn size(&self) -> usize {
        self.members.values().map(|m| m.address.len() + 24).sum()
    }
}

/// The memberships in the part of the log that is in memory, with their indices, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberHistory {
    versions: Vec<(LogIndex, Membership)>,
}

impl MemberHistory {
    /// Returns the newest membership, which takes effect as soon as it is appended.
    pub(crate) fn newest(&self) -> Option<&Membership> {
        self.versions.last().map(|(_, members)| members)
    }

    /// Returns the index of the newest membership entry.
    pub(crate) fn newest_index(&self) -> LogIndex {
        self.versions
            .last()
            .map_or(LogIndex(0), |(index, _)| *index)
    }

    /// Returns the membership in effect at an index.
    pub(crate) fn at(&self, index: LogIndex) -> Option<&Membership> {
        let version = self.versions.iter().rev().find(|(from, _)| *from <= index);
        version.map(|(_, members)| members)
    }

    /// Returns whether a replica is a voter in any membership that may be in effect, given that no
    /// entry after `commit` is known to be committed.
    pub(crate) fn is_voter_from(&self, commit: LogIndex, id: MemberId) -> bool {
        let committed = self.versions.iter().rposition(|(from, _)| *from <= commit);
        let mut candidates = self.versions.iter().skip(committed.unwrap_or(0));
        candidates.any(|(_, members)| members.is_voter(id))
    }

    pub(crate) fn push(&mut self, index: LogIndex, members: Membership) {
        self.versions.push((index, members));
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        self.versions.retain(|(from, _)| *from < index);
    }

    /// Replaces every membership up to `index` by that of a snapshot.
    pub(crate) fn rebase(&mut self, index: LogIndex, members: Membership) {
        self.versions.retain(|(from, _)| *from > index);
        self.versions.insert(0, (index, members));
    }
}
