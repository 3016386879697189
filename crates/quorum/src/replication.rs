//! Log replication: appends, their replies and the commit index.

use crate::{
    EntryBody,
    LogEntry,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaRole,
    TermNumber,
    snapshot::ReceivedChunk, //
};

/// The number of heartbeat intervals without a reply after which a leader asks for the append in
/// flight, or sends a snapshot chunk again.
const RESEND_AFTER_HEARTBEATS: u64 = 3;

impl ReplicaCore {
    pub(crate) fn append_as_leader(&mut self, body: EntryBody) -> LogIndex {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            body,
        };
        let index = entry.index;
        self.append(entry);
        index
    }

    fn append(&mut self, entry: LogEntry) {
        let index = entry.index;
        if let EntryBody::Members(members) = &entry.body {
            self.members.push(index, members.clone());
            self.join_requests
                .retain(|id, _| members.get(*id).is_none());
        }
        self.log.push(entry);
        let from = self
            .pending_write
            .append_from
            .map_or(index, |f| f.min(index));
        self.pending_write.append_from = Some(from);
    }

    fn truncate_from(&mut self, index: LogIndex) {
        // The truncated entries keep their space on the disk until the log is compacted.
        self.compactable_bytes += self.log.bytes_after(LogIndex(index.0 - 1));
        self.log.truncate_from(index);
        self.members.truncate_from(index);
        let from = self
            .pending_write
            .truncate_from
            .map_or(index, |f| f.min(index));
        self.pending_write.truncate_from = Some(from);
        self.pending_write.append_from =
            self.pending_write.append_from.filter(|from| *from < index);
        let last = LogIndex(index.0 - 1);
        self.durable_index = self.durable_index.min(last);
        self.issued_index = self.issued_index.min(last);
    }

    pub(crate) fn send_heartbeats(&mut self) {
        self.next_heartbeat_ms = self.now_ms + self.timing.heartbeat_ms;
        let resend_ms = self.timing.heartbeat_ms * RESEND_AFTER_HEARTBEATS;
        for peer in self.peers() {
            let progress = self.progress.get(&peer);
            let waiting = progress.and_then(|p| Some((p, p.in_flight?)));
            match waiting {
                Some((progress, _)) if self.now_ms < progress.sent_ms + resend_ms => {
                    self.send_append(peer, true);
                }
                Some((progress, last)) if progress.snapshot_transfer.is_none() => {
                    self.ask_for_append(peer, last);
                }
                _ => self.send_append(peer, false),
            }
        }
        self.try_transfer();
    }

    /// Records that messages to a replica are still on their way. The time after which the leader
    /// sends them again starts anew.
    pub fn delay_resend(&mut self, to: ReplicaId) {
        for (_, progress) in self.progress.iter_mut().filter(|(id, _)| id.replica == to) {
            progress.sent_ms = self.now_ms;
        }
    }

    pub(crate) fn send_appends(&mut self) {
        let last = self.log.last_index();
        let lagging: Vec<_> = self
            .progress
            .iter()
            .filter(|(_, p)| p.in_flight.is_none() && p.next_index <= last)
            .map(|(id, _)| *id)
            .collect();
        for peer in lagging {
            self.send_append(peer, false);
        }
    }

    /// Sends one append, without entries if `empty`. At most one append with entries is in flight
    /// per follower.
    pub(crate) fn send_append(&mut self, peer: MemberId, empty: bool) {
        let Some(progress) = self.progress.get(&peer) else {
            return;
        };
        let next = progress.next_index;
        let previous_index = LogIndex(next.0 - 1);
        let timing = self.timing;
        match (self.log.term_at(previous_index), empty) {
            (Some(term), true) => self.send_entries(peer, (previous_index, term), Vec::new()),
            (Some(term), false) => {
                let entries =
                    self.log
                        .slice(next, timing.max_append_entries, timing.max_append_bytes);
                self.send_entries(peer, (previous_index, term), entries);
            }
            // Every log matches at index zero, so this serves only as a heartbeat.
            (None, true) => {
                self.send_entries(peer, (LogIndex(0), TermNumber(0)), Vec::new());
            }
            (None, false) => self.send_chunk(peer),
        }
    }

    /// Sends a heartbeat that a follower accepts only if it has the append in flight up to `last`.
    /// After a refusal, the append is sent again.
    fn ask_for_append(&mut self, peer: MemberId, last: LogIndex) {
        match self.log.term_at(last) {
            Some(term) => self.send_entries(peer, (last, term), Vec::new()),
            None => self.send_append(peer, false),
        }
    }

    fn send_entries(
        &mut self,
        peer: MemberId,
        previous: (LogIndex, TermNumber),
        entries: Vec<LogEntry>,
    ) {
        if let Some((progress, last)) = self.progress.get_mut(&peer).zip(entries.last()) {
            progress.in_flight = Some(last.index);
            progress.sent_ms = self.now_ms;
        }
        let message = PeerMessage::AppendEntries {
            term: self.hard_state.term,
            previous_index: previous.0,
            previous_term: previous.1,
            entries,
            commit: self.commit_index,
            probe: self.now_ms,
        };
        // The leader counts its own entries towards a majority only once they are durable, so an
        // append need not wait for its own write.
        self.send_after_hard_state(peer, message);
    }

    /// Handles appends, snapshot chunks and the replies to both.
    pub(crate) fn receive_replication(&mut self, from: MemberId, message: PeerMessage) {
        match message {
            PeerMessage::AppendEntries { term, probe, .. } if term < self.hard_state.term => {
                self.reply_append(from, false, self.commit_index, probe);
            }
            PeerMessage::AppendEntries {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                probe,
            } => {
                self.follow_leader(from, term);
                let is_heartbeat = entries.is_empty();
                let (accepted, matched) =
                    self.merge_entries(previous_index, previous_term, entries);
                if accepted {
                    self.commit_index = self.commit_index.max(commit.min(matched));
                }
                match is_heartbeat && accepted {
                    true => self.reply_heartbeat(from, matched, probe),
                    false => self.reply_append(from, accepted, matched, probe),
                }
            }
            PeerMessage::AppendReply {
                term,
                accepted,
                matched,
                probe,
            } if self.role == ReplicaRole::Leader && term == self.hard_state.term => {
                self.record_contact(from, probe);
                self.handle_append_reply(from, accepted, matched);
            }
            PeerMessage::SnapshotChunk { term, probe, .. } if term < self.hard_state.term => {
                self.reply_append(from, false, self.commit_index, probe);
            }
            PeerMessage::SnapshotChunk {
                term,
                meta,
                total,
                offset,
                data,
                probe,
            } => {
                self.follow_leader(from, term);
                let chunk = ReceivedChunk {
                    meta,
                    total,
                    offset,
                    data,
                };
                self.receive_chunk(from, chunk, probe);
            }
            PeerMessage::SnapshotReply {
                term,
                index,
                received,
                probe,
            } if self.role == ReplicaRole::Leader && term == self.hard_state.term => {
                self.record_contact(from, probe);
                self.handle_chunk_reply(from, index, received);
            }
            _ => {}
        }
    }

    fn follow_leader(&mut self, leader: MemberId, term: TermNumber) {
        if self.role != ReplicaRole::Follower || self.leader != Some(leader) {
            self.become_follower(term, Some(leader));
        }
        self.leader_contact_ms = Some(self.now_ms);
        self.reset_election_timer();
    }

    pub(crate) fn reply_append(
        &mut self,
        to: MemberId,
        accepted: bool,
        matched: LogIndex,
        probe: u64,
    ) {
        let reply = PeerMessage::AppendReply {
            term: self.hard_state.term,
            accepted,
            matched,
            probe,
        };
        self.send_after_write(to, reply);
    }

    /// Replies to a heartbeat immediately, with the durable part of the log: a slow write must not
    /// make the leader consider this replica lost.
    fn reply_heartbeat(&mut self, to: MemberId, matched: LogIndex, probe: u64) {
        let reply = PeerMessage::AppendReply {
            term: self.hard_state.term,
            accepted: true,
            matched: matched.min(self.durable_index),
            probe,
        };
        self.send_after_hard_state(to, reply);
    }

    fn merge_entries(
        &mut self,
        previous_index: LogIndex,
        previous_term: TermNumber,
        entries: Vec<LogEntry>,
    ) -> (bool, LogIndex) {
        let is_compacted = previous_index < self.log.base_index();
        if !is_compacted && self.log.term_at(previous_index) != Some(previous_term) {
            return (false, self.conflict_hint(previous_index));
        }
        let mut matched = previous_index.max(self.log.base_index());
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            matched = entry.index;
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.truncate_from(entry.index);
                    self.append(entry);
                }
                None => self.append(entry),
            }
        }
        (true, matched)
    }

    /// Returns the index after which the leader should retry, which skips the whole conflicting
    /// term.
    fn conflict_hint(&self, refused: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        let hint = match refused > last {
            true => last,
            false => LogIndex(self.log.term_start(refused).0.saturating_sub(1)),
        };
        hint.max(self.commit_index)
    }

    /// Records that a follower has received a message that was sent at `probe` or later.
    fn record_contact(&mut self, from: MemberId, probe: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.last_contact_ms = progress.last_contact_ms.max(probe);
        }
    }

    fn handle_append_reply(&mut self, from: MemberId, accepted: bool, matched: LogIndex) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match accepted {
            true if matched >= progress.match_index => {
                progress.match_index = matched;
                progress.next_index = progress.next_index.max(matched.next());
                // The reply to an empty heartbeat does not acknowledge an append in flight.
                progress.in_flight = progress.in_flight.filter(|last| *last > matched);
                progress
                    .snapshot_transfer
                    .take_if(|(s, _)| s.meta.index <= matched);
            }
            true => {}
            false => {
                progress.next_index = matched.next().max(progress.match_index.next());
                progress.in_flight = None;
            }
        }
        self.advance_commit();
        self.send_appends();
        self.try_transfer();
    }

    pub(crate) fn advance_commit(&mut self) {
        let Some(members) = self.members.newest() else {
            return;
        };
        let match_index = |id: MemberId| match self.progress.get(&id) {
            _ if id == self.id => self.durable_index,
            Some(progress) => progress.match_index,
            None => LogIndex(0),
        };
        let mut match_indices: Vec<_> = members.voters().map(match_index).collect();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority_index) = match_indices.get(match_indices.len() / 2).copied() else {
            return;
        };
        if majority_index > self.commit_index
            && self.log.term_at(majority_index) == Some(self.hard_state.term)
        {
            self.commit_to(majority_index);
        }
    }

    fn commit_to(&mut self, index: LogIndex) {
        self.commit_index = index;
        // Heartbeats are due at once, so that followers receive the new commit index early.
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(self.now_ms);
        self.step_down_if_removed();
    }
}
