//! Membership changes, one at a time.

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

/// The maximum number of entries by which a learner may lag when it becomes a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica as a learner, which receives the log but does not vote.
    AddLearner {
        /// The replica to add.
        id: MemberId,
        /// The address at which other processes reach it.
        address: String,
    },
    /// Adds as a learner a replica that has the number of a member but a different disk. The
    /// member's disk is considered lost, because a replica with its number runs on another disk.
    #[serde(rename = "add_successor")]
    AddReplacement {
        /// The replica to add.
        id: MemberId,
        /// The address at which other processes reach it.
        address: String,
    },
    /// Replaces the member whose disk is lost by a learner that has caught up.
    ///
    /// The old disk never votes again, so replacing it in one step is safe: every majority that can
    /// still form without that disk remains a majority.
    #[serde(rename = "succeed")]
    Replace {
        /// The member whose disk is lost.
        old: MemberId,
        /// The learner with the same replica number.
        new: MemberId,
    },
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

/// Why a membership change was not proposed. The change never takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum MemberError {
    /// This replica is not the leader, or is transferring its leadership.
    #[snafu(display("this replica does not lead"))]
    NotLeader,
    /// The previous membership change or the first entry of the leader's term is not committed yet.
    #[snafu(display("an earlier change is not committed yet"))]
    ChangePending,
    /// A replica with this number, possibly on another disk, is already a member.
    #[snafu(display("a replica with this number is a member; remove it first"))]
    NumberTaken,
    /// There is no such member.
    #[snafu(display("there is no such member"))]
    UnknownMember,
    /// The learner lags too far behind the log, or had no recent contact with the leader.
    #[snafu(display("the replica has not caught up"))]
    NotCaughtUp,
    /// The last voter can't be removed.
    #[snafu(display("the last voter can't be removed"))]
    LastVoter,
    /// The leader had recent contact with fewer than a majority of the remaining voters.
    #[snafu(display("fewer than a majority of the remaining voters respond"))]
    TooFewLeft,
}

impl ReplicaCore {
    /// Returns the newest membership in the log, committed or not.
    pub fn members(&self) -> Option<&Membership> {
        self.members.newest()
    }

    /// Returns the index of the newest membership in the log.
    pub fn members_index(&self) -> LogIndex {
        self.members.newest_index()
    }

    /// Returns whether the newest membership is committed.
    pub fn members_are_committed(&self) -> bool {
        self.members.newest_index() <= self.commit_index
    }

    /// Returns whether a follower had recent contact with this leader and lags by few entries.
    pub fn is_caught_up(&self, id: MemberId) -> bool {
        let last = self.log.last_index().0;
        self.progress.get(&id).is_some_and(|p| {
            p.match_index.0 > 0
                && p.match_index >= self.commit_index
                && p.match_index.0 + MAX_LEARNER_LAG_ENTRIES >= last
                && self.now_ms < p.last_contact_ms + self.timing.election_min_ms
        })
    }

    /// Appends a membership change to the leader's log.
    ///
    /// # Errors
    ///
    /// Returns a [`MemberError`] if the change was not appended; it then never takes effect.
    pub fn propose_member_change(
        &mut self,
        change: &MemberChange,
    ) -> Result<LogIndex, MemberError> {
        if self.role != ReplicaRole::Leader || self.leadership_transfer.is_some() {
            return Err(MemberError::NotLeader);
        }
        let own_term_committed = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if !own_term_committed || !self.members_are_committed() {
            return Err(MemberError::ChangePending);
        }
        let members = self.apply_member_change(change)?;
        let index = self.append_as_leader(EntryBody::Members(members));
        self.update_progress_set();
        self.send_appends();
        Ok(index)
    }

    fn apply_member_change(&self, change: &MemberChange) -> Result<Membership, MemberError> {
        let newest = self.members.newest().ok_or(MemberError::ChangePending)?;
        let mut members = newest.clone();
        match change {
            MemberChange::AddLearner { id, .. } if members.find_replica(id.replica).is_some() => {
                return Err(MemberError::NumberTaken);
            }
            MemberChange::AddLearner { id, address } => {
                members.insert(*id, MemberRole::Learner, address.clone());
            }
            MemberChange::AddReplacement { id, address } => {
                let replaced = members.find_replica(id.replica);
                if replaced.is_none_or(|old| old.disk == id.disk) {
                    return Err(MemberError::UnknownMember);
                }
                members.insert(*id, MemberRole::Learner, address.clone());
            }
            MemberChange::Replace { old, new } if !self.is_caught_up(*new) => {
                return match old.replica == new.replica {
                    true => Err(MemberError::NotCaughtUp),
                    false => Err(MemberError::UnknownMember),
                };
            }
            MemberChange::Replace { old, new } => {
                let is_replacement = old.replica == new.replica && old.disk != new.disk;
                let record = members.get(*old).filter(|_| is_replacement);
                let role = record.ok_or(MemberError::UnknownMember)?.role;
                let record = members.get(*new).ok_or(MemberError::UnknownMember)?;
                let address = record.address.clone();
                members.remove(*old);
                members.insert(*new, role, address);
            }
            MemberChange::Promote(id) if !self.is_caught_up(*id) => {
                return Err(MemberError::NotCaughtUp);
            }
            MemberChange::Promote(id) => {
                let record = members.get(*id).ok_or(MemberError::UnknownMember)?;
                let address = record.address.clone();
                members.insert(*id, MemberRole::Voter, address);
            }
            MemberChange::Remove(id) if members.get(*id).is_none() => {
                return Err(MemberError::UnknownMember);
            }
            MemberChange::Remove(id) => members.remove(*id),
        }
        let first = members.voters().next();
        match first {
            None => Err(MemberError::LastVoter),
            Some(_) if !self.can_reach_majority(&members) => Err(MemberError::TooFewLeft),
            Some(_) => Ok(members),
        }
    }

    /// Returns whether a majority of these voters had recent contact with this leader, so that it
    /// could commit entries.
    fn can_reach_majority(&self, members: &Membership) -> bool {
        members.is_majority(|id| {
            let progress = self.progress.get(&id);
            let span_ms = self.timing.election_min_ms;
            id == self.id || progress.is_some_and(|p| self.now_ms < p.last_contact_ms + span_ms)
        })
    }

    /// Tracks the progress of exactly the current members other than this replica.
    fn update_progress_set(&mut self) {
        let peers = self.peers();
        self.progress.retain(|id, _| peers.contains(id));
        for peer in peers {
            let progress = self.new_progress();
            self.progress.entry(peer).or_insert(progress);
        }
    }

    /// Steps down if the removal of this leader from the voters is committed, after sending the
    /// commit index to the others and requesting the most up-to-date voter to take over.
    pub(crate) fn step_down_if_removed(&mut self) {
        if self.is_voter() || !self.members_are_committed() {
            return;
        }
        self.send_heartbeats();
        let successor = self
            .progress
            .iter()
            .filter(|(id, _)| self.members.newest().is_some_and(|m| m.is_voter(**id)))
            .max_by_key(|(_, p)| p.match_index)
            .map(|(id, _)| *id);
        let term = self.hard_state.term;
        if let Some(successor) = successor {
            self.send_after_hard_state(successor, PeerMessage::TimeoutNow { term });
        }
        self.become_follower(term, None);
    }
}
