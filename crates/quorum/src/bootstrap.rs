//! Bootstrapping a cluster from replicas without a log, and requests to join one.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    DiskId,
    LogIndex,
    MemberId,
    Membership,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaRole,
    core_state::JoinRequest, //
};

/// The maximum number of replicas whose join requests are kept.
const MAX_JOIN_REQUESTS: usize = 32;

impl ReplicaCore {
    /// Returns the replicas with a recent join request, with their addresses.
    ///
    /// Of several disks with the same replica number, only the one with the last request is
    /// returned.
    pub fn join_requests(&self) -> Vec<(MemberId, &str)> {
        let members = self.members.newest();
        let mut newest: BTreeMap<ReplicaId, (MemberId, &JoinRequest)> = BTreeMap::new();
        let ttl_ms = self.timing.join_request_ttl_ms();
        let recent = self.join_requests.iter();
        let recent = recent.filter(|(_, request)| self.now_ms < request.received_ms + ttl_ms);
        for (id, request) in recent.filter(|(id, _)| members.is_none_or(|m| m.get(**id).is_none()))
        {
            let best = newest.entry(id.replica).or_insert((*id, request));
            if request.received_ms > best.1.received_ms {
                *best = (*id, request);
            }
        }
        let newest = newest.into_values();
        newest
            .map(|(id, request)| (id, request.address.as_str()))
            .collect()
    }

    /// Sets the replica numbers to which this replica sends its join requests.
    pub fn set_seeds(&mut self, seeds: BTreeSet<ReplicaId>) {
        self.seeds = seeds;
    }

    /// Handles a join request: forwards it to the leader if another replica leads, else records it.
    pub(crate) fn receive_join(&mut self, from: MemberId, address: String) {
        match self.leader.filter(|leader| *leader != self.id) {
            Some(leader) => {
                let id = from;
                self.send_now(leader, PeerMessage::ForwardedJoin { id, address });
            }
            None => self.record_join(from, address),
        }
    }

    /// Sends join requests after a long time without contact with a leader: this replica may have
    /// been removed while it was unreachable, and removed replicas are not notified.
    pub(crate) fn rejoin_if_isolated(&mut self) {
        let since_contact_ms = self
            .now_ms
            .saturating_sub(self.leader_contact_ms.unwrap_or(0));
        let is_isolated = since_contact_ms >= self.timing.rejoin_after_ms();
        if !is_isolated || self.now_ms < self.next_join_ms {
            return;
        }
        self.next_join_ms = self.now_ms + self.timing.join_interval_ms();
        for peer in self.peers() {
            let address = self.address.clone();
            self.send_now(peer, PeerMessage::Join { address });
        }
        self.send_join_requests();
    }

    pub(crate) fn record_join(&mut self, from: MemberId, address: String) {
        if self.join_requests.len() >= MAX_JOIN_REQUESTS && !self.join_requests.contains_key(&from)
        {
            let oldest = self
                .join_requests
                .iter()
                .min_by_key(|(_, request)| request.received_ms);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.join_requests.remove(&id));
        }
        let received_ms = self.now_ms;
        self.join_requests.insert(
            from,
            JoinRequest {
                address,
                received_ms,
            },
        );
    }

    /// Sends join requests to the seeds, and starts the bootstrap election on the first seed once
    /// every other seed has sent it a join request.
    pub(crate) fn join_or_bootstrap(&mut self) {
        if self.now_ms >= self.next_join_ms {
            self.next_join_ms = self.now_ms + self.timing.join_interval_ms();
            self.send_join_requests();
        }
        let is_campaigning =
            self.role != ReplicaRole::Follower && self.now_ms < self.election_deadline_ms;
        let is_first = self.seeds.first() == Some(&self.id.replica);
        let is_blank = self.log.last_index() == LogIndex(0);
        if is_campaigning || !is_first || !is_blank || !self.can_bootstrap {
            return;
        }
        if let Some(members) = self.collect_bootstrap_members() {
            self.become_follower(self.hard_state.term, None);
            self.bootstrap_members = Some(members);
            self.start_election(false);
        }
    }

    fn send_join_requests(&mut self) {
        let own = self.id.replica;
        let seeds = self.seeds.clone();
        for replica in seeds.into_iter().filter(|r| *r != own) {
            // The disk of a seed is unknown; hosts route messages by the replica number.
            let disk = DiskId(0);
            let address = self.address.clone();
            let to = MemberId { replica, disk };
            self.send_now(to, PeerMessage::Join { address });
        }
    }

    /// Returns the bootstrap members, once every other seed has a recent join request.
    fn collect_bootstrap_members(&self) -> Option<Membership> {
        let own_member = (self.id, self.address.clone());
        let mut members = vec![own_member];
        for seed in self.seeds.iter().filter(|r| **r != self.id.replica) {
            let requests = self
                .join_requests
                .iter()
                .filter(|(id, _)| id.replica == *seed);
            let (id, request) = requests.max_by_key(|(_, request)| request.received_ms)?;
            if self.now_ms >= request.received_ms + self.timing.join_request_ttl_ms() {
                return None;
            }
            members.push((*id, request.address.clone()));
        }
        Some(Membership::from_voters(members))
    }
}
