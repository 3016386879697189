//! The state of one replica and the interface to its host.

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

/// The number of a write; later writes have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// What must be synced to the disk, in one piece and in the order of the numbers.
#[derive(Debug, Clone, Default)]
pub struct WriteBatch {
    /// The number to give back when the write is durable.
    pub number: WriteNumber,
    /// A snapshot that becomes the newest, durable before the rest of the batch.
    pub snapshot: Option<Arc<LogSnapshot>>,
    /// The hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// The place of the snapshot that stands for the whole log, if the entries are void.
    pub reset: Option<(LogIndex, TermNumber)>,
    /// The index from which older entries are void, if the log was cut.
    pub truncate_from: Option<LogIndex>,
    /// The entries to append.
    pub entries: Vec<LogEntry>,
}

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for promises of votes.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal was not appended; it never takes effect.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<MemberId>,
    },
    /// Too many entries wait for a majority.
    #[snafu(display("too many entries wait for a majority"))]
    Backlog,
}

/// What a leader knows of a follower.
#[derive(Debug, Clone)]
pub(crate) struct FollowerProgress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    /// When the newest message that was answered had been sent.
    pub(crate) heard_ms: u64,
    pub(crate) in_flight: Option<LogIndex>,
    pub(crate) sent_ms: u64,
    /// The snapshot that is being sent, and the bytes that have arrived.
    pub(crate) sending: Option<(Arc<LogSnapshot>, usize)>,
}

/// Who a replica is and how it finds the others.
#[derive(Debug, Clone)]
pub struct ReplicaSetup {
    /// Its identity.
    pub id: MemberId,
    /// Where the other processes reach it.
    pub address: String,
    /// The numbers of the replicas that found the cluster, or that a new replica asks to join.
    pub seeds: BTreeSet<ReplicaId>,
    /// Whether the seeds may found a cluster when none of them has a log.
    pub can_bootstrap: bool,
    /// The intervals.
    pub timing: ReplicaTiming,
    /// Keeps candidates apart.
    pub random_seed: u64,
}

#[derive(Debug)]
pub(crate) struct GatedMessage {
    pub(crate) after: WriteNumber,
    pub(crate) to: MemberId,
    pub(crate) message: PeerMessage,
}

/// The most uncommitted entries that a leader holds.
pub(crate) const MAX_UNCOMMITTED: u64 = 4_096;
/// The most bytes of uncommitted entries that a leader holds.
pub(crate) const MAX_UNCOMMITTED_BYTES: usize = 8 * 1_048_576;

/// One replica of the log, without I/O.
#[derive(Debug)]
pub struct ReplicaCore {
    pub(crate) id: MemberId,
    pub(crate) address: String,
    pub(crate) seeds: BTreeSet<ReplicaId>,
    pub(crate) can_bootstrap: bool,
    pub(crate) members: MemberHistory,
    pub(crate) founding: Option<Membership>,
    pub(crate) joins: BTreeMap<MemberId, JoinWish>,
    pub(crate) join_at_ms: u64,
    pub(crate) timing: ReplicaTiming,
    pub(crate) random: SmallRng,
    pub(crate) now_ms: u64,
    pub(crate) hard: HardState,
    pub(crate) log: LogTail,
    pub(crate) snapshot: Option<Arc<LogSnapshot>>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) restore: Option<(WriteNumber, Arc<LogSnapshot>)>,
    pub(crate) commit: LogIndex,
    pub(crate) taken: LogIndex,
    pub(crate) taken_term: TermNumber,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberId>,
    pub(crate) leader_heard_ms: Option<u64>,
    pub(crate) election_at_ms: u64,
    pub(crate) votes: BTreeSet<MemberId>,
    pub(crate) progress: BTreeMap<MemberId, FollowerProgress>,
    pub(crate) heartbeat_at_ms: u64,
    pub(crate) handover: Option<PendingHandover>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) outbox: Vec<GatedMessage>,
    pub(crate) pending: PendingWrite,
    pub(crate) issued: WriteNumber,
    /// The write that holds the newest hard state, once that was issued.
    pub(crate) hard_write: WriteNumber,
    pub(crate) durable: WriteNumber,
    pub(crate) durable_index: LogIndex,
    pub(crate) issued_index: LogIndex,
}

/// A leader's wish to hand over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingHandover {
    /// When it is given up.
    pub(crate) until_ms: u64,
    /// When a follower was asked last.
    pub(crate) asked_ms: Option<u64>,
}

/// A replica that asked to join.
#[derive(Debug, Clone)]
pub(crate) struct JoinWish {
    pub(crate) address: String,
    pub(crate) heard_ms: u64,
}

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
    /// Makes a replica from what its disk holds.
    pub fn new(setup: ReplicaSetup, stored: StoredReplica, now_ms: u64) -> Self {
        let (base, last) = (stored.log.base_index(), stored.log.last_index());
        let is_blank = stored.hard == HardState::default() && last == LogIndex(0);
        let own_seed = setup.random_seed ^ setup.id.disk.0.rotate_left(32) ^ setup.id.replica.0;
        let mut core = Self {
            random: SmallRng::seed_from_u64(own_seed),
            id: setup.id,
            address: setup.address,
            seeds: setup.seeds,
            can_bootstrap: setup.can_bootstrap,
            members: MemberHistory::default(),
            founding: None,
            joins: BTreeMap::new(),
            join_at_ms: now_ms,
            timing: setup.timing,
            now_ms,
            hard: stored.hard,
            taken_term: stored.log.term_at(base).unwrap_or_default(),
            log: stored.log,
            restore: stored.snapshot.clone().map(|s| (WriteNumber(0), s)),
            snapshot: stored.snapshot,
            incoming: None,
            commit: base,
            taken: base,
            role: ReplicaRole::Follower,
            leader: None,
            // What was promised to a leader before the restart still holds.
            leader_heard_ms: (!is_blank).then_some(now_ms),
            election_at_ms: 0,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            heartbeat_at_ms: 0,
            handover: None,
            uncommitted_bytes: 0,
            outbox: Vec::new(),
            pending: PendingWrite::default(),
            issued: WriteNumber::default(),
            hard_write: WriteNumber::default(),
            durable: WriteNumber::default(),
            durable_index: last,
            issued_index: last,
        };
        if stored.is_void {
            core.pending.reset = Some((base, core.taken_term));
        }
        core.recall_members();
        core.reset_election_timer();
        core
    }

    fn recall_members(&mut self) {
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

    /// Returns what the replica is at the moment.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the newest term that was seen.
    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    /// Returns the leader, as far as it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the term of the newest entry that was taken for applying.
    pub fn applied_term(&self) -> TermNumber {
        self.taken_term
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns whether this replica leads, has committed an entry of its own term and has heard a
    /// majority so lately that nobody else can lead yet.
    ///
    /// An answer that rests on the applied state may be given only then.
    pub fn can_serve(&self) -> bool {
        self.role == ReplicaRole::Leader
            && self.handover.is_none()
            && self.log.term_at(self.commit) == Some(self.hard.term)
            && self.quorum_heard_within(self.timing.serve_ms())
    }

    /// Returns how far each follower's log is known to agree, on a leader.
    pub fn followers(&self) -> Vec<(MemberId, LogIndex)> {
        let others = self.progress.iter().filter(|(id, _)| **id != self.id);
        others.map(|(id, p)| (*id, p.matched)).collect()
    }

    /// Returns how many entries are held in memory.
    pub fn held_entries(&self) -> usize {
        self.log.iter().count()
    }

    /// Returns how long ago the newest message that a follower answered was sent, on a leader.
    pub fn ms_since_contact(&self, id: MemberId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        Some(self.now_ms.saturating_sub(progress.heard_ms))
    }

    /// Returns whether enough was applied since the newest snapshot that a new one pays.
    pub fn should_compact(&self) -> bool {
        self.restore.is_none() && self.entries_since_snapshot() >= self.timing.snapshot_threshold
    }

    /// Appends a command to the leader's log.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] when the command was not appended and never takes effect.
    pub fn propose(&mut self, payload: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let leader = self.leader;
        match self.role {
            ReplicaRole::Leader if self.handover.is_some() => {
                Err(ProposeError::NotLeader { leader: None })
            }
            ReplicaRole::Leader if self.is_full() => Err(ProposeError::Backlog),
            ReplicaRole::Leader => {
                let index = self.append_own(EntryBody::Command(payload));
                self.send_appends();
                Ok(index)
            }
            _ => Err(ProposeError::NotLeader { leader }),
        }
    }

    fn is_full(&self) -> bool {
        let uncommitted = self.log.last_index().0 - self.commit.0;
        uncommitted >= MAX_UNCOMMITTED || self.uncommitted_bytes >= MAX_UNCOMMITTED_BYTES
    }

    /// Takes the next write, which the host syncs before it calls [`Self::complete_write`].
    pub fn take_write(&mut self) -> Option<WriteBatch> {
        if self.pending.is_empty() {
            return None;
        }
        let pending = std::mem::take(&mut self.pending);
        self.issued = WriteNumber(self.issued.0 + 1);
        self.issued_index = self.log.last_index();
        if pending.hard_state {
            self.hard_write = self.issued;
        }
        let entries = pending
            .append_from
            .map(|from| self.log.slice(from, usize::MAX, usize::MAX))
            .unwrap_or_default();
        Some(WriteBatch {
            number: self.issued,
            snapshot: pending.snapshot,
            reset: pending.reset,
            hard_state: pending.hard_state.then_some(self.hard),
            truncate_from: pending.truncate_from,
            entries,
        })
    }

    /// Tells the replica that a write, and every write before it, is durable.
    pub fn complete_write(&mut self, number: WriteNumber) {
        self.durable = self.durable.max(number);
        if self.durable == self.issued {
            self.durable_index = self.issued_index;
        }
        if self.role == ReplicaRole::Leader {
            self.advance_commit();
        }
    }

    /// Takes the messages that may be sent: all that they rest on is durable.
    pub fn take_messages(&mut self) -> Vec<(MemberId, PeerMessage)> {
        let durable = self.durable;
        let (ready, held): (Vec<_>, Vec<_>) = std::mem::take(&mut self.outbox)
            .into_iter()
            .partition(|m| m.after <= durable);
        self.outbox = held;
        ready.into_iter().map(|m| (m.to, m.message)).collect()
    }

    /// Takes the entries that were committed since the last call, in order.
    ///
    /// There are none while the host has a snapshot to restore.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let mut found = Vec::new();
        if self.restore.is_some() {
            return found;
        }
        // An entry is applied only when it is durable here too, so that a restart never finds the
        // applied state ahead of the log.
        let limit = self.commit.min(self.durable_index);
        while self.taken < limit {
            let index = self.taken.next();
            let Some(entry) = self.log.entry(index) else {
                break;
            };
            found.push(entry.clone());
            self.taken = index;
            self.taken_term = entry.term;
        }
        found
    }

    /// Returns every other member, or every other founder while a cluster is being founded.
    pub(crate) fn peers(&self) -> Vec<MemberId> {
        let members = self.electorate();
        let ids = members.into_iter().flat_map(Membership::iter);
        ids.map(|(id, _)| id).filter(|id| *id != self.id).collect()
    }

    /// Returns the members whose votes count.
    pub(crate) fn electorate(&self) -> Option<&Membership> {
        self.members.newest().or(self.founding.as_ref())
    }

    /// Returns the number of the write that holds everything that is pending now.
    pub(crate) fn next_write(&self) -> WriteNumber {
        match self.pending.is_empty() {
            true => self.issued,
            false => WriteNumber(self.issued.0 + 1),
        }
    }

    /// Queues a message that rests on everything that is pending now.
    pub(crate) fn send_after_write(&mut self, to: MemberId, message: PeerMessage) {
        let after = self.next_write();
        self.outbox.push(GatedMessage { after, to, message });
    }

    /// Queues a message that rests on nothing but this replica's term.
    ///
    /// A lone voter leads before its term is durable. After a crash it could win the same term again,
    /// so nothing of the term may be told until then.
    pub(crate) fn send_after_term(&mut self, to: MemberId, message: PeerMessage) {
        let after = match self.pending.hard_state {
            true => self.next_write(),
            false => self.hard_write,
        };
        self.outbox.push(GatedMessage { after, to, message });
    }

    /// Queues a message that rests on nothing that is not durable.
    pub(crate) fn send_now(&mut self, to: MemberId, message: PeerMessage) {
        let after = WriteNumber(0);
        self.outbox.push(GatedMessage { after, to, message });
    }

    pub(crate) fn election_jitter(&mut self) -> u64 {
        self.random.random_range(0..=self.timing.election_spread_ms)
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.election_at_ms = self.now_ms + self.timing.election_min_ms + self.election_jitter();
    }
}
