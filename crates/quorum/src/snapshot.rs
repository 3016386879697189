//! Snapshots: the state that stands for the beginning of the log.

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
};

/// The longest state that a snapshot may hold, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1_048_576;

/// What a snapshot stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// The last entry that is part of the state.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: TermNumber,
    /// The members at that entry.
    pub members: Membership,
}

/// The host's state at one place of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSnapshot {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The state, as the host encoded it.
    pub state: Vec<u8>,
}

/// A snapshot of which not every chunk has come.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    term: TermNumber,
    meta: SnapshotMeta,
    total: u64,
    bytes: Vec<u8>,
}

/// One received chunk.
pub(crate) struct ReceivedChunk {
    pub(crate) meta: SnapshotMeta,
    pub(crate) total: u64,
    pub(crate) offset: u64,
    pub(crate) data: Vec<u8>,
}

impl ReplicaCore {
    /// Takes the host's state after every entry that it was given, so that the log can be cut.
    ///
    /// The state becomes part of the next write. Nothing happens while the host has a snapshot to
    /// restore, or when the newest snapshot is as new.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.taken;
        let known = self.snapshot.as_ref().map_or(LogIndex(0), |s| s.meta.index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let Some(members) = self.members.at(index).cloned() else {
            return;
        };
        if self.restore.is_some() || index <= known {
            return;
        }
        self.members.rebase(index, members.clone());
        let meta = SnapshotMeta {
            index,
            term,
            members,
        };
        let snapshot = Arc::new(LogSnapshot { meta, state });
        self.snapshot = Some(snapshot.clone());
        self.pending.snapshot = Some(snapshot);
        let kept = LogIndex(index.0.saturating_sub(self.timing.retained_entries));
        self.log.compact_to(kept);
    }

    /// Returns how many applied entries no snapshot stands for yet.
    pub fn entries_since_snapshot(&self) -> u64 {
        let known = self.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        self.taken.0.saturating_sub(known)
    }

    /// Takes the snapshot that the host must restore before it applies any further entry.
    pub fn take_restore(&mut self) -> Option<Arc<LogSnapshot>> {
        match &self.restore {
            Some((after, _)) if *after <= self.durable => {
                self.restore.take().map(|(_, snapshot)| snapshot)
            }
            _ => None,
        }
    }

    /// Sends the next part of the snapshot to a follower whose next entry is gone from the log.
    pub(crate) fn send_chunk(&mut self, peer: MemberId) {
        let (now_ms, limit) = (self.now_ms, self.timing.append_bytes);
        let newest = self.snapshot.clone();
        let Some(progress) = self.progress.get_mut(&peer) else {
            return;
        };
        // A transfer goes on with the snapshot that it began with, however many follow.
        let sending = progress.sending.take().or(newest.map(|s| (s, 0)));
        let Some((snapshot, offset)) = sending else {
            return;
        };
        progress.in_flight = Some(snapshot.meta.index);
        progress.sent_ms = now_ms;
        progress.sending = Some((snapshot.clone(), offset));
        let end = snapshot.state.len().min(offset + limit);
        let chunk = PeerMessage::SnapshotChunk {
            term: self.hard.term,
            meta: snapshot.meta.clone(),
            total: snapshot.state.len() as u64,
            offset: offset as u64,
            data: snapshot.state[offset..end].to_vec(),
            probe: now_ms,
        };
        self.send_after_term(peer, chunk);
    }

    pub(crate) fn note_chunk(&mut self, from: MemberId, index: LogIndex, received: u64) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        let Some((snapshot, offset)) = &mut progress.sending else {
            return;
        };
        if snapshot.meta.index != index || received >= snapshot.state.len() as u64 {
            return;
        }
        *offset = usize::try_from(received).unwrap_or(0);
        progress.in_flight = None;
        self.send_append(from, false);
    }

    pub(crate) fn receive_chunk(&mut self, from: MemberId, chunk: ReceivedChunk, probe: u64) {
        if chunk.meta.index <= self.commit {
            self.reply_append(from, true, self.commit, probe);
            return;
        }
        if chunk.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let term = self.hard.term;
        let mut incoming = match self.incoming.take() {
            Some(i) if i.term == term && i.meta == chunk.meta && i.total == chunk.total => i,
            _ => IncomingSnapshot {
                term,
                meta: chunk.meta,
                total: chunk.total,
                bytes: Vec::new(),
            },
        };
        let room = chunk.total - incoming.bytes.len() as u64;
        if chunk.offset == incoming.bytes.len() as u64 && chunk.data.len() as u64 <= room {
            incoming.bytes.extend_from_slice(&chunk.data);
        }
        let received = incoming.bytes.len() as u64;
        let index = incoming.meta.index;
        if received == incoming.total {
            self.install(incoming.meta, incoming.bytes);
            self.reply_append(from, true, index, probe);
            return;
        }
        self.incoming = Some(incoming);
        let reply = PeerMessage::SnapshotReply {
            term,
            index,
            received,
            probe,
        };
        self.send_after_write(from, reply);
    }

    fn install(&mut self, meta: SnapshotMeta, state: Vec<u8>) {
        let index = meta.index;
        // Entries after the snapshot may have been acknowledged; they stay if they follow on it.
        if self.log.term_at(index) == Some(meta.term) {
            self.log.compact_to(index);
            let from = self.pending.append_from;
            let last = self.log.last_index();
            self.pending.append_from = from.map(|f| f.max(index.next())).filter(|f| *f <= last);
            self.members.rebase(index, meta.members.clone());
        } else {
            self.log = LogTail::after(index, meta.term);
            self.members = Default::default();
            self.members.rebase(index, meta.members.clone());
            self.pending.append_from = None;
            self.pending.truncate_from = None;
            self.pending.reset = Some((index, meta.term));
            self.durable_index = self.durable_index.min(index);
            self.issued_index = self.issued_index.min(index);
        }
        self.commit = index;
        self.taken = index;
        let snapshot = Arc::new(LogSnapshot { meta, state });
        self.snapshot = Some(snapshot.clone());
        self.pending.snapshot = Some(snapshot.clone());
        self.restore = Some((self.next_write(), snapshot));
    }
}
