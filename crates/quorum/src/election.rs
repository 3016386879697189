//! Ticks, elections, leadership transfers and role changes.

use crate::{
    EntryBody,
    HardState,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaCore,
    ReplicaRole,
    TermNumber, //
    core_state::{
        FollowerProgress,
        LeadershipTransfer, //
    },
};

impl ReplicaCore {
    /// Advances the time to `now_ms` of the host's monotonic clock and runs the timers.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let timed_out = self
            .leadership_transfer
            .is_some_and(|t| self.now_ms >= t.deadline_ms);
        match self.role {
            ReplicaRole::Leader if !self.has_quorum_contact_within(self.timing.election_min_ms) => {
                self.become_follower(self.hard_state.term, None);
            }
            // The requested follower may still start an election, so this replica must not serve
            // again in this term.
            ReplicaRole::Leader if timed_out => self.become_follower(self.hard_state.term, None),
            ReplicaRole::Leader if self.now_ms >= self.next_heartbeat_ms => self.send_heartbeats(),
            ReplicaRole::Leader => {}
            _ if self.members.newest().is_none() => self.join_or_bootstrap(),
            _ => {
                self.rejoin_if_isolated();
                if self.can_campaign() && self.now_ms >= self.election_deadline_ms {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, from: MemberId, message: PeerMessage) {
        let is_member = self
            .current_members()
            .is_some_and(|m| m.get(from).is_some());
        if from == self.id
            || (message.is_reply() && !is_member)
            || self.should_ignore_vote_request(&message)
        {
            return;
        }
        self.adopt_newer_term(&message);
        match message {
            PeerMessage::RequestVote {
                term,
                pre_vote,
                last_index,
                last_term,
                ..
            } => self.handle_vote_request(from, term, pre_vote, (last_term, last_index)),
            PeerMessage::VoteReply {
                term,
                pre_vote,
                granted,
            } => self.handle_vote_reply(from, term, pre_vote, granted),
            PeerMessage::TimeoutNow { term }
                if term == self.hard_state.term && self.can_campaign() =>
            {
                self.start_election(true);
            }
            PeerMessage::TimeoutNow { .. } => {}
            PeerMessage::Join { address } => self.receive_join(from, address),
            PeerMessage::ForwardedJoin { id, address } => self.record_join(id, address),
            replication => self.receive_replication(from, replication),
        }
    }

    /// Starts to transfer the leadership to the first voter that has the whole log; returns whether
    /// there is any other voter, or false if this replica is not the leader.
    ///
    /// From then on this replica accepts no proposals and serves no reads in this term.
    pub fn transfer_leadership(&mut self) -> bool {
        if self.role != ReplicaRole::Leader {
            return false;
        }
        self.leadership_transfer.get_or_insert(LeadershipTransfer {
            deadline_ms: self.now_ms + self.timing.election_min_ms * 2,
            requested_ms: None,
        });
        self.send_appends();
        self.try_transfer();
        self.transfer_candidates().next().is_some()
    }

    /// Returns the other voters, which may become leader, with their progress.
    fn transfer_candidates(&self) -> impl Iterator<Item = (MemberId, &FollowerProgress)> {
        let others = self.progress.iter().filter(|(id, _)| **id != self.id);
        let voters =
            others.filter(|(id, _)| self.current_members().is_some_and(|m| m.is_voter(**id)));
        voters.map(|(id, progress)| (*id, progress))
    }

    /// Requests a voter with the whole log to start an election, if a leadership transfer is in
    /// progress and none was requested within the last heartbeat interval.
    pub(crate) fn try_transfer(&mut self) {
        let Some(transfer) = self.leadership_transfer else {
            return;
        };
        let is_requested = transfer
            .requested_ms
            .is_some_and(|at_ms| self.now_ms < at_ms + self.timing.heartbeat_ms);
        let last = self.log.last_index();
        let up_to_date = self
            .transfer_candidates()
            .filter(|(_, p)| p.match_index == last);
        let target = up_to_date
            .max_by_key(|(_, p)| p.last_contact_ms)
            .map(|(id, _)| id);
        if let Some(target) = target.filter(|_| !is_requested) {
            self.leadership_transfer = Some(LeadershipTransfer {
                requested_ms: Some(self.now_ms),
                ..transfer
            });
            let term = self.hard_state.term;
            self.send_after_write(target, PeerMessage::TimeoutNow { term });
        }
    }

    /// Returns whether to ignore a vote request: while a leader is alive, unless that leader
    /// requested the election, and on a replica with an empty disk unless a cluster is
    /// bootstrapped.
    fn should_ignore_vote_request(&self, message: &PeerMessage) -> bool {
        let leader_is_alive = match self.role {
            ReplicaRole::Leader => self.has_quorum_contact_within(self.timing.election_min_ms),
            _ => self
                .leader_contact_ms
                .is_some_and(|at_ms| self.now_ms < at_ms + self.timing.election_min_ms),
        };
        match message {
            // A replica with an empty disk may vote only to bootstrap a cluster, where the
            // candidate's log is empty too.
            PeerMessage::RequestVote { last_index, .. }
                if self.is_blank() && *last_index > LogIndex(0) =>
            {
                true
            }
            PeerMessage::RequestVote { handover, .. } => leader_is_alive && !handover,
            _ => false,
        }
    }

    fn adopt_newer_term(&mut self, message: &PeerMessage) {
        let carries_term = match message {
            PeerMessage::RequestVote { pre_vote, .. } => !pre_vote,
            PeerMessage::VoteReply {
                pre_vote, granted, ..
            } => !(*pre_vote && *granted),
            _ => true,
        };
        if carries_term && message.term() > self.hard_state.term {
            self.become_follower(message.term(), None);
        }
    }

    pub(crate) fn become_follower(&mut self, term: TermNumber, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.pending_write.hard_state = true;
        }
        self.role = ReplicaRole::Follower;
        self.leader = leader;
        self.leadership_transfer = None;
        self.bootstrap_members = None;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_timer();
    }

    fn start_pre_vote(&mut self) {
        self.role = ReplicaRole::PreCandidate;
        self.leader = None;
        self.campaign(TermNumber(self.hard_state.term.0 + 1), true, false);
    }

    /// Starts an election in a new term; `handover` means that the current leader requested it.
    pub(crate) fn start_election(&mut self, handover: bool) {
        self.role = ReplicaRole::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: TermNumber(self.hard_state.term.0 + 1),
            vote: Some(self.id),
        };
        self.pending_write.hard_state = true;
        self.campaign(self.hard_state.term, false, handover);
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

    fn handle_vote_request(
        &mut self,
        from: MemberId,
        term: TermNumber,
        pre_vote: bool,
        last: (TermNumber, LogIndex),
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = match pre_vote {
            true => term > self.hard_state.term && up_to_date,
            false => term == self.hard_state.term && can_vote && up_to_date,
        };
        if granted && !pre_vote {
            self.hard_state.vote = Some(from);
            self.pending_write.hard_state = true;
            self.reset_election_timer();
        }
        let term = match granted {
            true => term,
            false => self.hard_state.term,
        };
        let reply = PeerMessage::VoteReply {
            term,
            pre_vote,
            granted,
        };
        self.send_after_write(from, reply);
    }

    fn handle_vote_reply(
        &mut self,
        from: MemberId,
        term: TermNumber,
        pre_vote: bool,
        granted: bool,
    ) {
        let is_expected = match self.role {
            ReplicaRole::PreCandidate => pre_vote && term.0 == self.hard_state.term.0 + 1,
            ReplicaRole::Candidate => !pre_vote && term == self.hard_state.term,
            _ => false,
        };
        if is_expected && granted {
            self.votes.insert(from);
            self.check_votes();
        }
    }

    fn check_votes(&mut self) {
        let votes = &self.votes;
        let won = match (self.members.newest(), &self.bootstrap_members) {
            (Some(members), _) => members.is_majority(|id| votes.contains(&id)),
            (None, Some(bootstrap)) => bootstrap.voters().all(|id| votes.contains(&id)),
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
        self.leadership_transfer = None;
        let peers = self.peers();
        self.progress = peers
            .into_iter()
            .map(|id| (id, self.new_progress()))
            .collect();
        // Entries of older terms are committed only together with an entry of this term.
        let body = match self.bootstrap_members.take() {
            Some(members) => EntryBody::Members(members),
            None => EntryBody::Noop,
        };
        self.append_as_leader(body);
        self.send_heartbeats();
    }

    pub(crate) fn new_progress(&self) -> FollowerProgress {
        FollowerProgress {
            next_index: self.log.last_index().next(),
            match_index: LogIndex(0),
            last_contact_ms: self.now_ms,
            in_flight: None,
            sent_ms: 0,
            snapshot_transfer: None,
        }
    }

    /// Returns whether a majority has answered a message that was sent within the last `span_ms`.
    pub(crate) fn has_quorum_contact_within(&self, span_ms: u64) -> bool {
        let is_in_contact = |id| {
            let progress = self.progress.get(&id);
            id == self.id || progress.is_some_and(|p| self.now_ms < p.last_contact_ms + span_ms)
        };
        self.current_members()
            .is_some_and(|m| m.is_majority(is_in_contact))
    }

    /// Returns whether this replica is a voter in its newest membership.
    pub(crate) fn is_voter(&self) -> bool {
        self.members.newest().is_some_and(|m| m.is_voter(self.id))
    }

    /// Returns whether this replica may start an election.
    ///
    /// A replica whose removal is not known to be committed may start one, even though its own vote
    /// does not count: it can be the only replica whose log is long enough to win.
    fn can_campaign(&self) -> bool {
        self.members.is_voter_from(self.commit_index, self.id)
    }

    /// Returns whether this replica has neither a log nor a hard state.
    fn is_blank(&self) -> bool {
        self.hard_state == HardState::default() && self.log.last_index() == LogIndex(0)
    }
}
