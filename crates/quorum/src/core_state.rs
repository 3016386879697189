//! The state of one replica and its interface to the host.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use snafu::Snafu;

use crate::{
    EntryBody,
    HardState,
    LogEntry,
    LogIndex,
    LogSnapshot,
    LogTail,
    MemberId,
    Membership,
    PeerMessage,
    ReplicaId,
    ReplicaTiming,
    StoredReplica,
    TermNumber,
    membership::MemberHistory,
    snapshot::IncomingSnapshot, //
};

/// The sequence number of a write; later writes have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// A batch of changes to sync to disk as a unit, in the order of the write numbers.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// The number to pass to [`ReplicaCore::complete_write`] once the write is durable.
    pub number: WriteNumber,
    /// The new newest snapshot, which must be durable before the rest of the batch.
    pub snapshot: Option<Arc<LogSnapshot>>,
    /// The hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// The index and term of the snapshot that replaces the whole log, if the entries are
    /// discarded.
    pub reset: Option<(LogIndex, TermNumber)>,
    /// The first index whose entries on disk are discarded, if the log was truncated.
    pub truncate_from: Option<LogIndex>,
    /// The entries to append.
    pub entries: Vec<LogEntry>,
}

/// The current Raft role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Runs a pre-vote, which changes no state on the voters.
    PreCandidate,
    /// Requests votes for a new term.
    Candidate,
    /// Leads the cluster in the current term.
    Leader,
}

/// Why a proposal was not appended. The proposal never takes effect.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader, or is transferring its leadership.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The current leader, if known.
        leader: Option<MemberId>,
    },
    /// The limit on entries that are not applied yet, or on their bytes, is reached.
    #[snafu(display("too many entries are not applied yet"))]
    Backlog,
}

/// The replication state that a leader keeps for a follower.
#[derive(Debug, Clone)]
pub(crate) struct FollowerProgress {
    /// The index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// The highest index known to be replicated on the follower.
    pub(crate) match_index: LogIndex,
    /// The send time of the newest message that the follower has answered.
    pub(crate) last_contact_ms: u64,
    /// The last index of the append or snapshot that awaits a reply.
    pub(crate) in_flight: Option<LogIndex>,
    /// When the message in flight was sent.
    pub(crate) sent_ms: u64,
    /// The snapshot being sent, and the number of bytes that the follower has received.
    pub(crate) snapshot_transfer: Option<(Arc<LogSnapshot>, usize)>,
}

/// The identity of a replica and how it finds its peers.
#[derive(Debug, Clone)]
pub struct ReplicaSetup {
    /// The identity of the replica.
    pub id: MemberId,
    /// The address at which other processes reach the replica.
    pub address: String,
    /// The numbers of the replicas that bootstrap the cluster, or to which a new replica sends its
    /// join requests.
    pub seeds: BTreeSet<ReplicaId>,
    /// Whether the seeds may bootstrap a cluster when none of them has a log.
    pub can_bootstrap: bool,
    /// The election, heartbeat and replication parameters.
    pub timing: ReplicaTiming,
    /// The seed of the random election timeouts, which make split votes unlikely.
    pub random_seed: u64,
}

/// An outgoing message that is held until a write is durable.
#[derive(Debug)]
pub(crate) struct DeferredMessage {
    pub(crate) after_write: WriteNumber,
    pub(crate) to: MemberId,
    pub(crate) message: PeerMessage,
}

/// The number of entries that are not applied yet from which a leader accepts no more.
const MAX_UNAPPLIED_ENTRIES: u64 = 4_096;
/// The total size of entries that are not applied yet from which a leader accepts no more, in
/// bytes.
const MAX_UNAPPLIED_BYTES: usize = 8 * 1_048_576;
/// The maximum size of the entries that [`ReplicaCore::take_committed`] returns at once, in bytes,
/// unless a single entry is larger.
const MAX_APPLY_BYTES: usize = 1_048_576;

/// One replica of the replicated log, without I/O.
#[derive(Debug)]
pub struct ReplicaCore {
    pub(crate) id: MemberId,
    pub(crate) address: String,
    pub(crate) seeds: BTreeSet<ReplicaId>,
    pub(crate) can_bootstrap: bool,
    pub(crate) members: MemberHistory,
    /// The voters of the cluster that this replica is bootstrapping.
    pub(crate) bootstrap_members: Option<Membership>,
    pub(crate) join_requests: BTreeMap<MemberId, JoinRequest>,
    pub(crate) next_join_ms: u64,
    pub(crate) timing: ReplicaTiming,
    pub(crate) random: SmallRng,
    pub(crate) now_ms: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: LogTail,
    pub(crate) snapshot: Option<Arc<LogSnapshot>>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// The snapshot that the host must restore once the given write is durable.
    pub(crate) pending_restore: Option<(WriteNumber, Arc<LogSnapshot>)>,
    pub(crate) commit_index: LogIndex,
    /// The index of the last entry that was handed to the host to apply.
    pub(crate) applied_index: LogIndex,
    pub(crate) applied_term: TermNumber,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberId>,
    /// When the last append or snapshot chunk of a leader arrived.
    pub(crate) leader_contact_ms: Option<u64>,
    pub(crate) election_deadline_ms: u64,
    pub(crate) votes: BTreeSet<MemberId>,
    pub(crate) progress: BTreeMap<MemberId, FollowerProgress>,
    pub(crate) next_heartbeat_ms: u64,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// The size of the entries that were applied or truncated since the newest snapshot, in bytes.
    /// The next snapshot frees their space on the disk.
    pub(crate) compactable_bytes: usize,
    /// The messages that were not taken by the host yet.
    pub(crate) outbox: Vec<DeferredMessage>,
    pub(crate) pending_write: PendingWrite,
    /// The last write that was handed to the host.
    pub(crate) issued_write: WriteNumber,
    /// The last issued write that contains a hard state.
    pub(crate) hard_state_write: WriteNumber,
    pub(crate) durable_write: WriteNumber,
    /// The last index of the log that is known to be durable.
    pub(crate) durable_index: LogIndex,
    /// The last index of the log in the issued writes.
    pub(crate) issued_index: LogIndex,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipTransfer {
    /// When the leader steps down if no other replica has taken over.
    pub(crate) deadline_ms: u64,
    /// When the leader last requested a follower to start an election.
    pub(crate) requested_ms: Option<u64>,
}

/// The last request of a replica to join the cluster.
#[derive(Debug, Clone)]
pub(crate) struct JoinRequest {
    pub(crate) address: String,
    pub(crate) received_ms: u64,
}

/// The changes since the last write that was handed to the host.
#[derive(Debug, Default)]
pub(crate) struct PendingWrite {
    pub(crate) hard_state: bool,
    pub(crate) snapshot: Option<Arc<LogSnapshot>>,
    pub(crate) reset: Option<(LogIndex, TermNumber)>,
    pub(crate) truncate_from: Option<LogIndex>,
    pub(crate) append_from: Option<LogIndex>,
}

impl PendingWrite {
    fn is_empty(&self) -> bool {
        !self.hard_state
            && self.snapshot.is_none()
            && self.reset.is_none()
            && self.truncate_from.is_none()
            && self.append_from.is_none()
    }
}

impl ReplicaCore {
    /// Creates a replica from its stored state, with a monotonic clock that reads `now_ms`.
    pub fn new(setup: ReplicaSetup, stored: StoredReplica, now_ms: u64) -> Self {
        let (base, last) = (stored.log.base_index(), stored.log.last_index());
        let is_blank = stored.hard_state == HardState::default() && last == LogIndex(0);
        let own_seed = setup.random_seed ^ setup.id.disk.0.rotate_left(32) ^ setup.id.replica.0;
        let mut core = Self {
            random: SmallRng::seed_from_u64(own_seed),
            id: setup.id,
            address: setup.address,
            seeds: setup.seeds,
            can_bootstrap: setup.can_bootstrap,
            members: MemberHistory::default(),
            bootstrap_members: None,
            join_requests: BTreeMap::new(),
            next_join_ms: now_ms,
            timing: setup.timing,
            now_ms,
            hard_state: stored.hard_state,
            applied_term: stored.log.term_at(base).unwrap_or_default(),
            log: stored.log,
            pending_restore: stored.snapshot.clone().map(|s| (WriteNumber(0), s)),
            snapshot: stored.snapshot,
            incoming_snapshot: None,
            commit_index: base,
            applied_index: base,
            role: ReplicaRole::Follower,
            leader: None,
            // Before the restart this replica may have acknowledged a leader, so it must still
            // grant no vote during that leader's lease.
            leader_contact_ms: (!is_blank).then_some(now_ms),
            election_deadline_ms: 0,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            next_heartbeat_ms: 0,
            leadership_transfer: None,
            compactable_bytes: 0,
            outbox: Vec::new(),
            pending_write: PendingWrite::default(),
            issued_write: WriteNumber::default(),
            hard_state_write: WriteNumber::default(),
            durable_write: WriteNumber::default(),
            durable_index: last,
            issued_index: last,
        };
        if stored.needs_log_reset {
            core.pending_write.reset = Some((base, core.applied_term));
        }
        core.load_members();
        core.reset_election_timer();
        core
    }

    fn load_members(&mut self) {
        if let Some(snapshot) = &self.snapshot {
            let meta = &snapshot.meta;
            self.members.rebase(meta.index, meta.members.clone());
        }
        for entry in self.log.iter() {
            if let EntryBody::Members(members) = &entry.body {
                self.members.push(entry.index, members.clone());
            }
        }
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> TermNumber {
        self.hard_state.term
    }

    /// Returns the current leader, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the term of the last entry that was handed to the host to apply.
    pub fn applied_term(&self) -> TermNumber {
        self.applied_term
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns whether this replica is the leader, has committed an entry of its own term and holds
    /// a valid leader lease, so that no other replica can lead yet.
    ///
    /// Reads of the applied state are linearizable only while this is true.
    pub fn can_serve(&self) -> bool {
        self.role == ReplicaRole::Leader
            && self.leadership_transfer.is_none()
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
            && self.has_quorum_contact_within(self.timing.leader_lease_ms())
    }

    /// Returns the highest index known to be replicated on each follower; empty unless this replica
    /// is the leader.
    pub fn followers(&self) -> Vec<(MemberId, LogIndex)> {
        let others = self.progress.iter().filter(|(id, _)| **id != self.id);
        others.map(|(id, p)| (*id, p.match_index)).collect()
    }

    /// Returns the number of log entries in memory.
    pub fn entries_in_memory(&self) -> usize {
        self.log.iter().count()
    }

    /// Returns the approximate size of the log entries in memory, in bytes.
    pub fn bytes_in_memory(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the time since a leader sent the newest message that the follower has answered, in
    /// milliseconds.
    pub fn ms_since_contact(&self, id: MemberId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        Some(self.now_ms.saturating_sub(progress.last_contact_ms))
    }

    /// Returns whether enough entries, by their number or their size, were applied since the newest
    /// snapshot to call [`Self::compact`].
    pub fn should_compact(&self) -> bool {
        let snapshot_bytes = self.snapshot.as_ref().map_or(0, |s| s.state.len());
        let threshold_bytes = self.timing.snapshot_threshold_bytes.max(snapshot_bytes);
        self.should_compact_from(threshold_bytes)
    }

    /// Returns the same as [`Self::should_compact`], with another size from which to compact the
    /// log, in bytes. A host that is short of space uses one for which the next snapshot still fits
    /// beside the log.
    pub fn should_compact_from(&self, threshold_bytes: usize) -> bool {
        let is_large = self.compactable_bytes >= threshold_bytes;
        match self.entries_since_snapshot() {
            _ if self.pending_restore.is_some() => false,
            0 => false,
            entries => is_large || entries >= self.timing.snapshot_threshold,
        }
    }

    /// Appends a command to the leader's log.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] if the command was not appended; it then never takes effect.
    pub fn propose(&mut self, payload: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let leader = self.leader;
        match self.role {
            ReplicaRole::Leader if self.leadership_transfer.is_some() => {
                Err(ProposeError::NotLeader { leader: None })
            }
            ReplicaRole::Leader if self.is_backlog_full() => Err(ProposeError::Backlog),
            ReplicaRole::Leader => {
                let index = self.append_as_leader(EntryBody::Command(payload));
                self.send_appends();
                Ok(index)
            }
            _ => Err(ProposeError::NotLeader { leader }),
        }
    }

    /// Returns whether too much waits to be committed or to become durable on this replica.
    ///
    /// A majority can commit what this replica has not written yet, so committed entries count
    /// until they are applied.
    fn is_backlog_full(&self) -> bool {
        let unapplied = self.log.last_index().0 - self.applied_index.0;
        let unapplied_bytes = self.log.bytes_after(self.applied_index);
        unapplied >= MAX_UNAPPLIED_ENTRIES || unapplied_bytes >= MAX_UNAPPLIED_BYTES
    }

    /// Takes the pending write, which the host must sync before it calls [`Self::complete_write`].
    pub fn take_write(&mut self) -> Option<WriteBatch> {
        if self.pending_write.is_empty() {
            return None;
        }
        let pending = std::mem::take(&mut self.pending_write);
        self.issued_write = WriteNumber(self.issued_write.0 + 1);
        self.issued_index = self.log.last_index();
        if pending.hard_state {
            self.hard_state_write = self.issued_write;
        }
        let entries = pending
            .append_from
            .map(|from| self.log.slice(from, usize::MAX, usize::MAX))
            .unwrap_or_default();
        Some(WriteBatch {
            number: self.issued_write,
            snapshot: pending.snapshot,
            reset: pending.reset,
            hard_state: pending.hard_state.then_some(self.hard_state),
            truncate_from: pending.truncate_from,
            entries,
        })
    }

    /// Records that a write, and every write before it, is durable.
    pub fn complete_write(&mut self, number: WriteNumber) {
        self.durable_write = self.durable_write.max(number);
        if self.durable_write == self.issued_write {
            self.durable_index = self.issued_index;
        }
        if self.role == ReplicaRole::Leader {
            self.advance_commit();
        }
    }

    /// Takes the messages whose required writes are durable, so that they may be sent.
    pub fn take_messages(&mut self) -> Vec<(MemberId, PeerMessage)> {
        let durable = self.durable_write;
        let (ready, held): (Vec<_>, Vec<_>) = std::mem::take(&mut self.outbox)
            .into_iter()
            .partition(|m| m.after_write <= durable);
        self.outbox = held;
        ready.into_iter().map(|m| (m.to, m.message)).collect()
    }

    /// Takes the next entries that are committed, in order, up to a maximum size.
    ///
    /// The host calls it again until it returns none. Returns none while the host has a snapshot
    /// to restore.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        if self.pending_restore.is_some() {
            return entries;
        }
        // A committed entry is applied only once it is also durable on this replica, so that after
        // a restart the applied state is never ahead of the log.
        let limit = self.commit_index.min(self.durable_index);
        let mut bytes = 0;
        while self.applied_index < limit {
            let index = self.applied_index.next();
            let Some(entry) = self.log.entry(index) else {
                break;
            };
            bytes += entry.size();
            if bytes > MAX_APPLY_BYTES && !entries.is_empty() {
                break;
            }
            self.compactable_bytes += entry.size();
            entries.push(entry.clone());
            self.applied_index = index;
            self.applied_term = entry.term;
        }
        entries
    }

    /// Returns every other member, or every other bootstrap member while a cluster is bootstrapped.
    pub(crate) fn peers(&self) -> Vec<MemberId> {
        let members = self.current_members();
        let ids = members.into_iter().flat_map(Membership::iter);
        ids.map(|(id, _)| id).filter(|id| *id != self.id).collect()
    }

    /// Returns the newest membership, or the bootstrap members while a cluster is bootstrapped.
    pub(crate) fn current_members(&self) -> Option<&Membership> {
        self.members.newest().or(self.bootstrap_members.as_ref())
    }

    /// Returns the number of the write that makes everything pending durable.
    pub(crate) fn next_write(&self) -> WriteNumber {
        match self.pending_write.is_empty() {
            true => self.issued_write,
            false => WriteNumber(self.issued_write.0 + 1),
        }
    }

    /// Queues a message that may be sent once everything pending is durable.
    pub(crate) fn send_after_write(&mut self, to: MemberId, message: PeerMessage) {
        let after_write = self.next_write();
        self.outbox.push(DeferredMessage {
            after_write,
            to,
            message,
        });
    }

    /// Queues a message that may be sent once the hard state is durable.
    ///
    /// A single voter becomes leader before its term is durable. After a crash it could win the
    /// same term again, so no message may reveal the term before it is durable.
    pub(crate) fn send_after_hard_state(&mut self, to: MemberId, message: PeerMessage) {
        let after_write = match self.pending_write.hard_state {
            true => self.next_write(),
            false => self.hard_state_write,
        };
        self.outbox.push(DeferredMessage {
            after_write,
            to,
            message,
        });
    }

    /// Queues a message that depends on no pending write.
    pub(crate) fn send_now(&mut self, to: MemberId, message: PeerMessage) {
        let after_write = WriteNumber(0);
        self.outbox.push(DeferredMessage {
            after_write,
            to,
            message,
        });
    }

    pub(crate) fn election_jitter(&mut self) -> u64 {
        self.random.random_range(0..=self.timing.election_spread_ms)
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.election_deadline_ms =
            self.now_ms + self.timing.election_min_ms + self.election_jitter();
    }
}
