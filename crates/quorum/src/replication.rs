//! Appends, their replies and the commit index.

use crate::{
    EntryBody,
    LogEntry,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaCore,
    ReplicaRole,
    TermNumber,
    snapshot::ReceivedChunk, //
};

/// Heartbeats that may go unanswered before an append is sent again.
const RESEND_HEARTBEATS: u64 = 3;

impl ReplicaCore {
    pub(crate) fn append_own(&mut self, body: EntryBody) -> LogIndex {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard.term,
            body,
        };
        let index = entry.index;
        self.uncommitted_bytes += entry.size();
        self.append(entry);
        index
    }

    fn append(&mut self, entry: LogEntry) {
        let index = entry.index;
        if let EntryBody::Members(members) = &entry.body {
            self.members.push(index, members.clone());
            self.joins.retain(|id, _| members.get(*id).is_none());
        }
        self.log.push(entry);
        let from = self.pending.append_from.map_or(index, |f| f.min(index));
        self.pending.append_from = Some(from);
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.members.truncate_from(index);
        let cut = self.pending.truncate_from.map_or(index, |f| f.min(index));
        self.pending.truncate_from = Some(cut);
        self.pending.append_from = self.pending.append_from.filter(|from| *from < index);
        let kept = LogIndex(index.0 - 1);
        self.durable_index = self.durable_index.min(kept);
        self.issued_index = self.issued_index.min(kept);
    }

    pub(crate) fn send_heartbeats(&mut self) {
        self.heartbeat_at_ms = self.now_ms + self.timing.heartbeat_ms;
        let resend_ms = self.timing.heartbeat_ms * RESEND_HEARTBEATS;
        for peer in self.peers() {
            let waits = self
                .progress
                .get(&peer)
                .is_some_and(|p| p.in_flight.is_some() && self.now_ms < p.sent_ms + resend_ms);
            self.send_append(peer, waits);
        }
        self.offer_leadership();
    }

    pub(crate) fn send_appends(&mut self) {
        let last = self.log.last_index();
        let behind: Vec<_> = self
            .progress
            .iter()
            .filter(|(_, p)| p.in_flight.is_none() && p.next <= last)
            .map(|(id, _)| *id)
            .collect();
        for peer in behind {
            self.send_append(peer, false);
        }
    }

    /// Sends one append; only one that carries entries is in flight at a time.
    pub(crate) fn send_append(&mut self, peer: MemberId, empty: bool) {
        let Some(progress) = self.progress.get(&peer) else {
            return;
        };
        let next = progress.next;
        let previous_index = LogIndex(next.0 - 1);
        let timing = self.timing;
        match (self.log.term_at(previous_index), empty) {
            (Some(term), true) => self.send_entries(peer, (previous_index, term), Vec::new()),
            (Some(term), false) => {
                let entries = self
                    .log
                    .slice(next, timing.append_entries, timing.append_bytes);
                self.send_entries(peer, (previous_index, term), entries);
            }
            // Any log agrees before its first entry, so this only proves that the leader lives.
            (None, true) => {
                self.send_entries(peer, (LogIndex(0), TermNumber(0)), Vec::new());
            }
            (None, false) => self.send_chunk(peer),
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
            term: self.hard.term,
            previous_index: previous.0,
            previous_term: previous.1,
            entries,
            commit: self.commit,
            probe: self.now_ms,
        };
        // The leader's own entries count only once they are durable, so an append need not wait for
        // them.
        self.send_after_term(peer, message);
    }

    pub(crate) fn receive_append(&mut self, from: MemberId, message: PeerMessage) {
        match message {
            PeerMessage::AppendEntries { term, probe, .. } if term < self.hard.term => {
                self.reply_append(from, false, self.commit, probe);
            }
            PeerMessage::AppendEntries {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                probe,
            } => {
                self.follow(from, term);
                let is_heartbeat = entries.is_empty();
                let (accepted, matched) = self.take_entries(previous_index, previous_term, entries);
                if accepted {
                    self.commit = self.commit.max(commit.min(matched));
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
            } if self.role == ReplicaRole::Leader && term == self.hard.term => {
                self.note_heard(from, probe);
                self.note_reply(from, accepted, matched);
            }
            PeerMessage::SnapshotChunk { term, probe, .. } if term < self.hard.term => {
                self.reply_append(from, false, self.commit, probe);
            }
            PeerMessage::SnapshotChunk {
                term,
                meta,
                total,
                offset,
                data,
                probe,
            } => {
                self.follow(from, term);
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
            } if self.role == ReplicaRole::Leader && term == self.hard.term => {
                self.note_heard(from, probe);
                self.note_chunk(from, index, received);
            }
            _ => {}
        }
    }

    fn follow(&mut self, leader: MemberId, term: TermNumber) {
        if self.role != ReplicaRole::Follower || self.leader != Some(leader) {
            self.become_follower(term, Some(leader));
        }
        self.leader_heard_ms = Some(self.now_ms);
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
            term: self.hard.term,
            accepted,
            matched,
            probe,
        };
        self.send_after_write(to, reply);
    }

    /// Answers a heartbeat at once, by what is durable: a write that takes long must not make the leader
    /// take this replica for lost.
    fn reply_heartbeat(&mut self, to: MemberId, matched: LogIndex, probe: u64) {
        let reply = PeerMessage::AppendReply {
            term: self.hard.term,
            accepted: true,
            matched: matched.min(self.durable_index),
            probe,
        };
        self.send_after_term(to, reply);
    }

    fn take_entries(
        &mut self,
        previous_index: LogIndex,
        previous_term: TermNumber,
        entries: Vec<LogEntry>,
    ) -> (bool, LogIndex) {
        let covered = previous_index < self.log.base_index();
        if !covered && self.log.term_at(previous_index) != Some(previous_term) {
            return (false, self.retry_after(previous_index));
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

    /// Returns the entry after which the leader tries next: a whole term is skipped at a time.
    fn retry_after(&self, refused: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        let hint = match refused > last {
            true => last,
            false => LogIndex(self.log.run_start(refused).0.saturating_sub(1)),
        };
        hint.max(self.commit)
    }

    /// Notes that a follower had heard this leader when the probe was sent, or later.
    fn note_heard(&mut self, from: MemberId, probe: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.heard_ms = progress.heard_ms.max(probe);
        }
    }

    fn note_reply(&mut self, from: MemberId, accepted: bool, matched: LogIndex) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match accepted {
            true if matched >= progress.matched => {
                progress.matched = matched;
                progress.next = progress.next.max(matched.next());
                // The reply to an empty heartbeat leaves an append in flight as it was.
                progress.in_flight = progress.in_flight.filter(|last| *last > matched);
                progress.sending.take_if(|(s, _)| s.meta.index <= matched);
            }
            true => {}
            false => {
                progress.next = matched.next().max(progress.matched.next());
                progress.in_flight = None;
            }
        }
        self.advance_commit();
        self.send_appends();
        self.offer_leadership();
    }

    pub(crate) fn advance_commit(&mut self) {
        let Some(members) = self.members.newest() else {
            return;
        };
        let matched = |id: MemberId| match self.progress.get(&id) {
            _ if id == self.id => self.durable_index,
            Some(progress) => progress.matched,
            None => LogIndex(0),
        };
        let mut matches: Vec<_> = members.voters().map(matched).collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = matches.get(matches.len() / 2).copied() else {
            return;
        };
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.hard.term) {
            self.commit_to(agreed);
        }
    }

    fn commit_to(&mut self, agreed: LogIndex) {
        while self.commit < agreed {
            self.commit = self.commit.next();
            let size = self.log.entry(self.commit).map_or(0, LogEntry::size);
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(size);
        }
        // Followers learn of it without waiting for the next heartbeat.
        self.heartbeat_at_ms = self.heartbeat_at_ms.min(self.now_ms);
        self.retire_if_removed();
    }
}
