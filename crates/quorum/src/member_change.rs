//! Changes of the members, one at a time.

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    EntryBody,
    LogIndex,
    MemberId,
    MemberRole,
    Membership,
    PeerMessage,
    ReplicaCore,
    ReplicaRole, //
};

/// The most entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// A change of the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica that receives the log but does not vote.
    AddLearner {
        /// The replica.
        id: MemberId,
        /// Where the other processes reach it.
        address: String,
    },
    /// Adds a replica whose number a member with another disk has; that disk is gone, since a replica
    /// with a new one is at its place.
    #[serde(rename = "add_successor")]
    AddReplacement {
        /// The replica.
        id: MemberId,
        /// Where the other processes reach it.
        address: String,
    },
    /// Puts a learner that has caught up in the place of the member whose disk is gone.
    ///
    /// The old disk never votes again, so one step changes no majority that could still act.
    #[serde(rename = "succeed")]
    Replace {
        /// The member whose disk is gone.
        old: MemberId,
        /// The learner with its number.
        new: MemberId,
    },
    /// Makes a voter of a learner that has caught up.
    Promote(MemberId),
    /// Removes a replica.
    Remove(MemberId),
}

/// Why a change of the members was not proposed; it never takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum MemberError {
    /// Another replica leads, or none.
    #[snafu(display("this replica does not lead"))]
    NotLeader,
    /// The change before it, or the leader's first entry, is not committed.
    #[snafu(display("an earlier change is not committed yet"))]
    ChangePending,
    /// A replica with this number, perhaps with another disk, is a member.
    #[snafu(display("a replica with this number is a member; remove it first"))]
    NumberTaken,
    /// There is no such member.
    #[snafu(display("there is no such member"))]
    UnknownMember,
    /// The learner lacks entries, or was not heard lately.
    #[snafu(display("the replica has not caught up"))]
    NotCaughtUp,
    /// The last voter can't be removed.
    #[snafu(display("the last voter can't be removed"))]
    LastVoter,
    /// Too few of the voters that would be left were heard lately.
    #[snafu(display("too few of the voters that would be left answer"))]
    TooFewLeft,
}

impl ReplicaCore {
    /// Returns the members by the newest entry, committed or not.
    pub fn members(&self) -> Option<&Membership> {
        self.members.newest()
    }

    /// Returns where the newest membership stands in the log.
    pub fn members_index(&self) -> LogIndex {
        self.members.newest_index()
    }

    /// Returns whether the newest membership is committed.
    pub fn members_are_committed(&self) -> bool {
        self.members.newest_index() <= self.commit
    }

    /// Returns whether a follower was heard lately and lacks few entries.
    pub fn is_caught_up(&self, id: MemberId) -> bool {
        let last = self.log.last_index().0;
        self.progress.get(&id).is_some_and(|p| {
            p.matched.0 > 0
                && p.matched >= self.commit
                && p.matched.0 + CAUGHT_UP_ENTRIES >= last
                && self.now_ms < p.heard_ms + self.timing.election_min_ms
        })
    }

    /// Appends a change of the members to the leader's log.
    ///
    /// # Errors
    ///
    /// Returns a [`MemberError`] when the change was not appended and never takes effect.
    pub fn propose_member_change(
        &mut self,
        change: &MemberChange,
    ) -> Result<LogIndex, MemberError> {
        if self.role != ReplicaRole::Leader || self.handover.is_some() {
            return Err(MemberError::NotLeader);
        }
        let own_term_committed = self.log.term_at(self.commit) == Some(self.hard.term);
        if !own_term_committed || !self.members_are_committed() {
            return Err(MemberError::ChangePending);
        }
        let members = self.changed_members(change)?;
        let index = self.append_own(EntryBody::Members(members));
        self.match_progress();
        self.send_appends();
        Ok(index)
    }

    fn changed_members(&self, change: &MemberChange) -> Result<Membership, MemberError> {
        let newest = self.members.newest().ok_or(MemberError::ChangePending)?;
        let mut members = newest.clone();
        match change {
            MemberChange::AddLearner { id, .. } if members.find_replica(id.replica).is_some() => {
                return Err(MemberError::NumberTaken);
            }
            MemberChange::AddLearner { id, address } => {
                members.put(*id, MemberRole::Learner, address.clone());
            }
            MemberChange::AddReplacement { id, address } => {
                let predecessor = members.find_replica(id.replica);
                if predecessor.is_none_or(|old| old.disk == id.disk) {
                    return Err(MemberError::UnknownMember);
                }
                members.put(*id, MemberRole::Learner, address.clone());
            }
            MemberChange::Replace { old, new } if !self.is_caught_up(*new) => {
                return match old.replica == new.replica {
                    true => Err(MemberError::NotCaughtUp),
                    false => Err(MemberError::UnknownMember),
                };
            }
            MemberChange::Replace { old, new } => {
                let is_pair = old.replica == new.replica && old.disk != new.disk;
                let known = members.get(*old).filter(|_| is_pair);
                let role = known.ok_or(MemberError::UnknownMember)?.role;
                let record = members.get(*new).ok_or(MemberError::UnknownMember)?;
                let address = record.address.clone();
                members.remove(*old);
                members.put(*new, role, address);
            }
            MemberChange::Promote(id) if !self.is_caught_up(*id) => {
                return Err(MemberError::NotCaughtUp);
            }
            MemberChange::Promote(id) => {
                let record = members.get(*id).ok_or(MemberError::UnknownMember)?;
                let address = record.address.clone();
                members.put(*id, MemberRole::Voter, address);
            }
            MemberChange::Remove(id) if members.get(*id).is_none() => {
                return Err(MemberError::UnknownMember);
            }
            MemberChange::Remove(id) => members.remove(*id),
        }
        let first = members.voters().next();
        match first {
            None => Err(MemberError::LastVoter),
            Some(_) if !self.hears_majority(&members) => Err(MemberError::TooFewLeft),
            Some(_) => Ok(members),
        }
    }

    /// Returns whether a majority of these voters was heard lately, so that they could commit.
    fn hears_majority(&self, members: &Membership) -> bool {
        members.is_majority(|id| {
            let progress = self.progress.get(&id);
            let span_ms = self.timing.election_min_ms;
            id == self.id || progress.is_some_and(|p| self.now_ms < p.heard_ms + span_ms)
        })
    }

    /// Follows exactly the members, other than this replica.
    fn match_progress(&mut self) {
        let peers = self.peers();
        self.progress.retain(|id, _| peers.contains(id));
        for peer in peers {
            let fresh = self.fresh_progress();
            self.progress.entry(peer).or_insert(fresh);
        }
    }

    /// Lets a leader whose own removal is committed go, once the others know of it.
    pub(crate) fn retire_if_removed(&mut self) {
        if self.is_voter() || !self.members_are_committed() {
            return;
        }
        self.send_heartbeats();
        let successor = self
            .progress
            .iter()
            .filter(|(id, _)| self.members.newest().is_some_and(|m| m.is_voter(**id)))
            .max_by_key(|(_, p)| p.matched)
            .map(|(id, _)| *id);
        let term = self.hard.term;
        if let Some(successor) = successor {
            self.send_after_term(successor, PeerMessage::Handover { term });
        }
        self.become_follower(term, None);
    }
}
