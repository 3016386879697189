//! Snapshots of the host's state, which replace the beginning of the log.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    LogIndex,
    LogTail,
    MemberId,
    Membership,
    PeerMessage,
    ReplicaCore,
    TermNumber, //
    core_state::FollowerProgress,
};

/// The maximum size of the state in a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1_048_576;

/// The position and the membership of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// The index of the last entry that is applied to the state.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: TermNumber,
    /// The membership as of that entry.
    pub members: Membership,
}

/// The host's state as of one log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSnapshot {
    /// The position and the membership of the snapshot.
    pub meta: SnapshotMeta,
    /// The state, encoded by the host.
    pub state: Vec<u8>,
}

/// A snapshot of which some chunks have not been received yet.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    term: TermNumber,
    meta: SnapshotMeta,
    total: u64,
    bytes: Vec<u8>,
}

/// A received snapshot chunk.
pub(crate) struct ReceivedChunk {
    pub(crate) meta: SnapshotMeta,
    pub(crate) total: u64,
    pub(crate) offset: u64,
    pub(crate) data: Vec<u8>,
}

impl ReplicaCore {
    /// Compacts the log with a snapshot of the host's state, to which the host must have applied
    /// every entry that [`Self::take_committed`] returned.
    ///
    /// The snapshot becomes part of the next write. Does nothing while the host has a snapshot to
    /// restore, or if nothing was applied since the newest snapshot.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.applied_index;
        let newest = self.snapshot.as_ref().map_or(LogIndex(0), |s| s.meta.index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let Some(members) = self.members.at(index).cloned() else {
            return;
        };
        if self.pending_restore.is_some() || index <= newest {
            return;
        }
        self.members.rebase(index, members.clone());
        let meta = SnapshotMeta {
            index,
            term,
            members,
        };
        let max_retained_bytes = self.timing.max_retained_bytes.max(state.len());
        let snapshot = Arc::new(LogSnapshot { meta, state });
        self.snapshot = Some(snapshot.clone());
        self.pending_write.snapshot = Some(snapshot);
        self.compactable_bytes = 0;
        let first_retained = LogIndex(index.0.saturating_sub(self.timing.retained_entries));
        let lowest = self.log.first_index_within(index, max_retained_bytes);
        let needed = self.first_needed_index(lowest).unwrap_or(first_retained);
        self.log.compact_to(needed.min(first_retained).max(lowest));
    }

    /// Returns the lowest index, but at least `lowest`, after which a follower in contact lacks
    /// entries, or will lack them once it has received its snapshot.
    ///
    /// If fewer bytes than the snapshot has were retained, a follower would never catch up with a
    /// leader that takes the next snapshot before the transfer of this one ends.
    fn first_needed_index(&self, lowest: LogIndex) -> Option<LogIndex> {
        let span_ms = self.timing.election_min_ms;
        let in_contact = |p: &&FollowerProgress| self.now_ms < p.last_contact_ms + span_ms;
        let after = |p: &FollowerProgress| match &p.snapshot_transfer {
            Some((snapshot, _)) => snapshot.meta.index,
            None => LogIndex(p.next_index.0 - 1),
        };
        let followers = self.progress.values().filter(in_contact);
        followers.map(after).filter(|i| *i >= lowest).min()
    }

    /// Returns the number of entries applied since the newest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        let newest = self.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        self.applied_index.0.saturating_sub(newest)
    }

    /// Takes the snapshot that the host must restore before it applies further entries, once that
    /// snapshot is durable.
    pub fn take_restore(&mut self) -> Option<Arc<LogSnapshot>> {
        match &self.pending_restore {
            Some((after, _)) if *after <= self.durable_write => {
                self.pending_restore.take().map(|(_, snapshot)| snapshot)
            }
            _ => None,
        }
    }

    /// Sends the next chunk of the snapshot to a follower whose next entry is compacted.
    pub(crate) fn send_chunk(&mut self, peer: MemberId) {
        let (now_ms, limit) = (self.now_ms, self.timing.max_append_bytes);
        let newest = self.snapshot.clone();
        let Some(progress) = self.progress.get_mut(&peer) else {
            return;
        };
        // Once the follower has a part of a snapshot, the transfer continues with it, even if newer
        // ones exist.
        let started = progress.snapshot_transfer.take();
        let started = started.filter(|(_, offset)| *offset > 0);
        let transfer = started.or(newest.map(|s| (s, 0)));
        let Some((snapshot, offset)) = transfer else {
            return;
        };
        progress.in_flight = Some(snapshot.meta.index);
        progress.sent_ms = now_ms;
        progress.snapshot_transfer = Some((snapshot.clone(), offset));
        let end = snapshot.state.len().min(offset + limit);
        let chunk = PeerMessage::SnapshotChunk {
            term: self.hard_state.term,
            meta: snapshot.meta.clone(),
            total: snapshot.state.len() as u64,
            offset: offset as u64,
            data: snapshot.state[offset..end].to_vec(),
            probe: now_ms,
        };
        self.send_after_hard_state(peer, chunk);
    }

    /// Continues the snapshot transfer to a follower from the number of bytes that it has received.
    pub(crate) fn handle_chunk_reply(&mut self, from: MemberId, index: LogIndex, received: u64) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        let Some((snapshot, offset)) = &mut progress.snapshot_transfer else {
            return;
        };
        let received = usize::try_from(received).unwrap_or(0);
        // The reply to a copy of a chunk repeats the offset of the chunk that is on its way.
        let is_repeated = received == *offset;
        if snapshot.meta.index != index || received >= snapshot.state.len() || is_repeated {
            return;
        }
        *offset = received;
        progress.in_flight = None;
        self.send_append(from, false);
    }

    pub(crate) fn receive_chunk(&mut self, from: MemberId, chunk: ReceivedChunk, probe: u64) {
        if chunk.meta.index <= self.commit_index {
            self.reply_append(from, true, self.commit_index, probe);
            return;
        }
        if chunk.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let term = self.hard_state.term;
        let mut incoming = match self.incoming_snapshot.take() {
            Some(i) if i.term == term && i.meta == chunk.meta && i.total == chunk.total => i,
            _ => IncomingSnapshot {
                term,
                meta: chunk.meta,
                total: chunk.total,
                bytes: Vec::new(),
            },
        };
        let remaining = chunk.total - incoming.bytes.len() as u64;
        if chunk.offset == incoming.bytes.len() as u64 && chunk.data.len() as u64 <= remaining {
            incoming.bytes.extend_from_slice(&chunk.data);
        }
        let received = incoming.bytes.len() as u64;
        let index = incoming.meta.index;
        if received == incoming.total {
            self.install_snapshot(incoming.meta, incoming.bytes);
            self.reply_append(from, true, index, probe);
            return;
        }
        self.incoming_snapshot = Some(incoming);
        let reply = PeerMessage::SnapshotReply {
            term,
            index,
            received,
            probe,
        };
        self.send_after_write(from, reply);
    }

    fn install_snapshot(&mut self, meta: SnapshotMeta, state: Vec<u8>) {
        let index = meta.index;
        // Entries after the snapshot may have been acknowledged, so they are kept if the log
        // matches the snapshot.
        if self.log.term_at(index) == Some(meta.term) {
            self.log.compact_to(index);
            let from = self.pending_write.append_from;
            let last = self.log.last_index();
            self.pending_write.append_from =
                from.map(|f| f.max(index.next())).filter(|f| *f <= last);
            if self.issued_index < index {
                // The entries up to the snapshot that were never written would leave a gap.
                self.pending_write.truncate_from = None;
                self.pending_write.reset = Some((index, meta.term));
            }
            self.members.rebase(index, meta.members.clone());
        } else {
            self.log = LogTail::after(index, meta.term);
            self.members = Default::default();
            self.members.rebase(index, meta.members.clone());
            self.pending_write.append_from = None;
            self.pending_write.truncate_from = None;
            self.pending_write.reset = Some((index, meta.term));
            self.durable_index = self.durable_index.min(index);
            self.issued_index = self.issued_index.min(index);
        }
        self.commit_index = index;
        self.applied_index = index;
        self.compactable_bytes = 0;
        let snapshot = Arc::new(LogSnapshot { meta, state });
        self.snapshot = Some(snapshot.clone());
        self.pending_write.snapshot = Some(snapshot.clone());
        self.pending_restore = Some((self.next_write(), snapshot));
    }
}
