//! How replicas without a log found a cluster or ask to join one.

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
    core_state::JoinWish, //
};

/// The most replicas whose wish to join is remembered.
const MAX_JOINS: usize = 32;

impl ReplicaCore {
    /// Returns the replicas that asked to join lately, with their addresses.
    ///
    /// Of several disks with one number, only the one that asked last counts.
    pub fn join_requests(&self) -> Vec<(MemberId, &str)> {
        let known = self.members.newest();
        let mut newest: BTreeMap<ReplicaId, (MemberId, &JoinWish)> = BTreeMap::new();
        let valid_ms = self.timing.join_valid_ms();
        let recent = self.joins.iter();
        let recent = recent.filter(|(_, wish)| self.now_ms < wish.heard_ms + valid_ms);
        for (id, wish) in recent.filter(|(id, _)| known.is_none_or(|m| m.get(**id).is_none())) {
            let best = newest.entry(id.replica).or_insert((*id, wish));
            if wish.heard_ms > best.1.heard_ms {
                *best = (*id, wish);
            }
        }
        let newest = newest.into_values();
        newest
            .map(|(id, wish)| (id, wish.address.as_str()))
            .collect()
    }

    /// Changes whom a replica without a log asks to join.
    pub fn set_seeds(&mut self, seeds: BTreeSet<ReplicaId>) {
        self.seeds = seeds;
    }

    /// Takes a wish to join; only a leader can fulfil it.
    pub(crate) fn take_join(&mut self, from: MemberId, address: String) {
        match self.leader.filter(|leader| *leader != self.id) {
            Some(leader) => {
                let id = from;
                self.send_now(leader, PeerMessage::JoinFor { id, address });
            }
            None => self.note_join(from, address),
        }
    }

    /// Asks to join when no leader was heard for long: this replica may have been removed while it
    /// was away, and nobody tells it.
    pub(crate) fn ask_again(&mut self) {
        let silent_ms = self
            .now_ms
            .saturating_sub(self.leader_heard_ms.unwrap_or(0));
        let is_lonely = silent_ms >= self.timing.lonely_ms();
        if !is_lonely || self.now_ms < self.join_at_ms {
            return;
        }
        self.join_at_ms = self.now_ms + self.timing.join_ms();
        for peer in self.peers() {
            let address = self.address.clone();
            self.send_now(peer, PeerMessage::Join { address });
        }
        self.ask_to_join();
    }

    pub(crate) fn note_join(&mut self, from: MemberId, address: String) {
        if self.joins.len() >= MAX_JOINS && !self.joins.contains_key(&from) {
            let oldest = self.joins.iter().min_by_key(|(_, wish)| wish.heard_ms);
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.joins.remove(&id));
        }
        let heard_ms = self.now_ms;
        self.joins.insert(from, JoinWish { address, heard_ms });
    }

    /// Asks the seeds to join, and founds a cluster when every seed is here without a log.
    pub(crate) fn seek_members(&mut self) {
        if self.now_ms >= self.join_at_ms {
            self.join_at_ms = self.now_ms + self.timing.join_ms();
            self.ask_to_join();
        }
        let is_busy = self.role != ReplicaRole::Follower && self.now_ms < self.election_at_ms;
        let is_first = self.seeds.first() == Some(&self.id.replica);
        let is_blank = self.log.last_index() == LogIndex(0);
        if is_busy || !is_first || !is_blank || !self.can_bootstrap {
            return;
        }
        if let Some(founders) = self.founders() {
            self.become_follower(self.hard.term, None);
            self.founding = Some(founders);
            self.start_election(false);
        }
    }

    fn ask_to_join(&mut self) {
        let own = self.id.replica;
        let seeds = self.seeds.clone();
        for replica in seeds.into_iter().filter(|r| *r != own) {
            // The disk of a seed is not known; hosts route by the number.
            let disk = DiskId(0);
            let address = self.address.clone();
            let to = MemberId { replica, disk };
            self.send_now(to, PeerMessage::Join { address });
        }
    }

    /// Returns the founding members, once each seed has asked to join.
    fn founders(&self) -> Option<Membership> {
        let own = (self.id, self.address.clone());
        let mut founders = vec![own];
        for seed in self.seeds.iter().filter(|r| **r != self.id.replica) {
            let wishes = self.joins.iter().filter(|(id, _)| id.replica == *seed);
            let (id, wish) = wishes.max_by_key(|(_, wish)| wish.heard_ms)?;
            if self.now_ms >= wish.heard_ms + self.timing.join_valid_ms() {
                return None;
            }
            founders.push((*id, wish.address.clone()));
        }
        Some(Membership::of_voters(founders))
    }
}
