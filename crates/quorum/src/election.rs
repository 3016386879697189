//! Ticks, votes and changes of role.

use crate::{
    EntryBody, HardState, LogIndex, MemberId, PeerMessage, ReplicaCore, ReplicaRole, TermNumber,
    core_state::{
        FollowerProgress,
        PendingHandover, //
    },
};

impl ReplicaCore {
    /// Lets time pass; `now_ms` is the host's monotonic clock.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let handover_failed = self.handover.is_some_and(|h| self.now_ms >= h.until_ms);
        match self.role {
            ReplicaRole::Leader if !self.quorum_heard_within(self.timing.election_min_ms) => {
                self.become_follower(self.hard.term, None);
            }
            // The follower that was asked may still campaign, so this term must not serve again.
            ReplicaRole::Leader if handover_failed => self.become_follower(self.hard.term, None),
            ReplicaRole::Leader if self.now_ms >= self.heartbeat_at_ms => self.send_heartbeats(),
            ReplicaRole::Leader => {}
            _ if self.members.newest().is_none() => self.seek_members(),
            _ => {
                self.ask_again();
                if self.may_campaign() && self.now_ms >= self.election_at_ms {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// Takes a message of another replica.
    pub fn receive(&mut self, from: MemberId, message: PeerMessage) {
        let counts = self.electorate().is_some_and(|m| m.get(from).is_some());
        if from == self.id || (message.is_reply() && !counts) || self.ignores_campaign(&message) {
            return;
        }
        self.follow_newer_term(&message);
        match message {
            PeerMessage::RequestVote {
                term,
                pre_vote,
                last_index,
                last_term,
                ..
            } => self.answer_vote(from, term, pre_vote, (last_term, last_index)),
            PeerMessage::VoteReply {
                term,
                pre_vote,
                granted,
            } => self.count_vote(from, term, pre_vote, granted),
            PeerMessage::Handover { term } if term == self.hard.term && self.may_campaign() => {
                self.start_election(true);
            }
            PeerMessage::Handover { .. } => {}
            PeerMessage::Join { address } => self.take_join(from, address),
            PeerMessage::JoinFor { id, address } => self.note_join(id, address),
            append => self.receive_append(from, append),
        }
    }

    /// Hands leadership to a follower as soon as one has the whole log; returns whether any may lead.
    ///
    /// The leader takes no more proposals and serves no more reads in this term.
    pub fn transfer_leadership(&mut self) -> bool {
        if self.role != ReplicaRole::Leader {
            return false;
        }
        self.handover.get_or_insert(PendingHandover {
            until_ms: self.now_ms + self.timing.election_min_ms * 2,
            asked_ms: None,
        });
        self.send_appends();
        self.offer_leadership();
        self.heirs().next().is_some()
    }

    /// Returns the followers that may lead, with how far their logs agree.
    fn heirs(&self) -> impl Iterator<Item = (MemberId, &FollowerProgress)> {
        let others = self.progress.iter().filter(|(id, _)| **id != self.id);
        let voters = others.filter(|(id, _)| self.electorate().is_some_and(|m| m.is_voter(**id)));
        voters.map(|(id, progress)| (*id, progress))
    }

    /// Asks a follower that has the whole log to lead, if this leader wishes to hand over and did not
    /// ask one within a heartbeat.
    pub(crate) fn offer_leadership(&mut self) {
        let Some(handover) = self.handover else {
            return;
        };
        let is_asked = handover
            .asked_ms
            .is_some_and(|at_ms| self.now_ms < at_ms + self.timing.heartbeat_ms);
        let last = self.log.last_index();
        let whole = self.heirs().filter(|(_, p)| p.matched == last);
        let heir = whole.max_by_key(|(_, p)| p.heard_ms).map(|(id, _)| id);
        if let Some(heir) = heir.filter(|_| !is_asked) {
            self.handover = Some(PendingHandover {
                asked_ms: Some(self.now_ms),
                ..handover
            });
            let term = self.hard.term;
            self.send_after_write(heir, PeerMessage::Handover { term });
        }
    }

    /// A campaign is ignored while a leader is alive, unless that leader asked for it.
    fn ignores_campaign(&self, message: &PeerMessage) -> bool {
        let leader_is_alive = match self.role {
            ReplicaRole::Leader => self.quorum_heard_within(self.timing.election_min_ms),
            _ => self
                .leader_heard_ms
                .is_some_and(|heard| self.now_ms < heard + self.timing.election_min_ms),
        };
        match message {
            // A replica whose disk holds nothing has a voice only in the founding of a cluster.
            PeerMessage::RequestVote { last_index, .. }
                if self.is_blank() && *last_index > LogIndex(0) =>
            {
                true
            }
            PeerMessage::RequestVote { handover, .. } => leader_is_alive && !handover,
            _ => false,
        }
    }

    fn follow_newer_term(&mut self, message: &PeerMessage) {
        let carries_term = match message {
            PeerMessage::RequestVote { pre_vote, .. } => !pre_vote,
            PeerMessage::VoteReply {
                pre_vote, granted, ..
            } => !(*pre_vote && *granted),
            _ => true,
        };
        if carries_term && message.term() > self.hard.term {
            self.become_follower(message.term(), None);
        }
    }

    pub(crate) fn become_follower(&mut self, term: TermNumber, leader: Option<MemberId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.pending.hard_state = true;
        }
        self.role = ReplicaRole::Follower;
        self.leader = leader;
        self.handover = None;
        self.founding = None;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_timer();
    }

    fn start_pre_vote(&mut self) {
        self.role = ReplicaRole::PreCandidate;
        self.leader = None;
        self.campaign(TermNumber(self.hard.term.0 + 1), true, false);
    }

    pub(crate) fn start_election(&mut self, handover: bool) {
        self.role = ReplicaRole::Candidate;
        self.leader = None;
        self.hard = HardState {
            term: TermNumber(self.hard.term.0 + 1),
            vote: Some(self.id),
        };
        self.pending.hard_state = true;
        self.campaign(self.hard.term, false, handover);
    }

    fn campaign(&mut self, term: TermNumber, pre_vote: bool, handover: bool) {
        self.reset_election_timer();
        self.votes.clear();
        self.votes.insert(self.id);
        let message = PeerMessage::RequestVote {
            term,
            pre_vote,
            handover,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.peers() {
            self.send_after_write(peer, message.clone());
        }
        self.check_votes();
    }

    fn answer_vote(
        &mut self,
        from: MemberId,
        term: TermNumber,
        pre_vote: bool,
        last: (TermNumber, LogIndex),
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = match pre_vote {
            true => term > self.hard.term && up_to_date,
            false => term == self.hard.term && free && up_to_date,
        };
        if granted && !pre_vote {
            self.hard.vote = Some(from);
            self.pending.hard_state = true;
            self.reset_election_timer();
        }
        let term = match granted {
            true => term,
            false => self.hard.term,
        };
        let reply = PeerMessage::VoteReply {
            term,
            pre_vote,
            granted,
        };
        self.send_after_write(from, reply);
    }

    fn count_vote(&mut self, from: MemberId, term: TermNumber, pre_vote: bool, granted: bool) {
        let awaited = match self.role {
            ReplicaRole::PreCandidate => pre_vote && term.0 == self.hard.term.0 + 1,
            ReplicaRole::Candidate => !pre_vote && term == self.hard.term,
            _ => false,
        };
        if awaited && granted {
            self.votes.insert(from);
            self.check_votes();
        }
    }

    fn check_votes(&mut self) {
        let votes = &self.votes;
        let won = match (self.members.newest(), &self.founding) {
            (Some(members), _) => members.is_majority(|id| votes.contains(&id)),
            (None, Some(founders)) => founders.voters().all(|id| votes.contains(&id)),
            (None, None) => false,
        };
        match self.role {
            _ if !won => {}
            ReplicaRole::PreCandidate => self.start_election(false),
            ReplicaRole::Candidate => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.id);
        self.handover = None;
        self.uncommitted_bytes = 0;
        let peers = self.peers();
        self.progress = peers
            .into_iter()
            .map(|id| (id, self.fresh_progress()))
            .collect();
        // Entries of older terms commit only together with one of this term.
        let body = match self.founding.take() {
            Some(founders) => EntryBody::Members(founders),
            None => EntryBody::Opening,
        };
        self.append_own(body);
        self.send_heartbeats();
    }

    pub(crate) fn fresh_progress(&self) -> FollowerProgress {
        FollowerProgress {
            next: self.log.last_index().next(),
            matched: LogIndex(0),
            heard_ms: self.now_ms,
            in_flight: None,
            sent_ms: 0,
            sending: None,
        }
    }

    pub(crate) fn quorum_heard_within(&self, span_ms: u64) -> bool {
        let heard = |id| {
            let progress = self.progress.get(&id);
            id == self.id || progress.is_some_and(|p| self.now_ms < p.heard_ms + span_ms)
        };
        self.electorate().is_some_and(|m| m.is_majority(heard))
    }

    /// Returns whether this replica votes by the newest membership that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.members.newest().is_some_and(|m| m.is_voter(self.id))
    }

    /// Returns whether this replica may start an election.
    ///
    /// One whose own removal is not known to be committed may, without a vote of its own: it can be
    /// the only one whose log is long enough.
    fn may_campaign(&self) -> bool {
        self.members.is_voter_from(self.commit, self.id)
    }

    /// Returns whether the disk held nothing and nothing was taken in since.
    fn is_blank(&self) -> bool {
        self.hard == HardState::default() && self.log.last_index() == LogIndex(0)
    }
}
