//! Numbers, entries and messages of the replicated log.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    MemberId,
    Membership,
    SnapshotMeta, //
};

macro_rules! log_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

log_number!(
    /// The number that the settings give to a replica.
    ReplicaId
);
log_number!(
    /// The random number of one disk, made when its data folder is.
    DiskId
);
log_number!(
    /// The term of a leader.
    TermNumber
);
log_number!(
    /// The position of an entry; the first entry has index one.
    LogIndex
);

impl LogIndex {
    /// Returns the index after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The position.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: TermNumber,
    /// What the entry holds.
    pub body: EntryBody,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// Opens the term of a leader.
    Opening,
    /// A command of the host's state machine.
    Command(Vec<u8>),
    /// The members from here on.
    Members(Membership),
}

impl LogEntry {
    /// Returns about how many bytes the entry takes.
    pub fn size(&self) -> usize {
        match &self.body {
            EntryBody::Opening => ENTRY_OVERHEAD_BYTES,
            EntryBody::Command(payload) => ENTRY_OVERHEAD_BYTES + payload.len(),
            EntryBody::Members(members) => ENTRY_OVERHEAD_BYTES + members.size(),
        }
    }
}

/// The bytes that an entry takes besides its content.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// What a replica must remember besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardState {
    /// The newest term that was seen.
    pub term: TermNumber,
    /// The candidate that has this replica's vote in that term.
    pub vote: Option<MemberId>,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks for a vote, or for the promise of one.
    RequestVote {
        /// The term of the election.
        term: TermNumber,
        /// Whether only the promise is asked for, which changes no state.
        pre_vote: bool,
        /// Whether the leader itself asked for this election.
        handover: bool,
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: TermNumber,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// The term of the election, or the newer term of the one that refuses.
        term: TermNumber,
        /// Whether this answers the request for a promise.
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries, or only proves that the leader lives.
    AppendEntries {
        /// The leader's term.
        term: TermNumber,
        /// The index of the entry before the first one sent.
        previous_index: LogIndex,
        /// The term of the entry before the first one sent.
        previous_term: TermNumber,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// When the leader sent this, by its own clock; given back in the reply.
        probe: u64,
    },
    /// Answers an append, or the last chunk of a snapshot.
    AppendReply {
        /// The follower's term.
        term: TermNumber,
        /// Whether the entries follow on the follower's log.
        accepted: bool,
        /// The last entry known to agree, or the one to try next after a refusal.
        matched: LogIndex,
        /// The probe of the message that is answered.
        probe: u64,
    },
    /// Carries a part of the leader's snapshot to a follower that is too far behind.
    SnapshotChunk {
        /// The leader's term.
        term: TermNumber,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// The length of the whole state, in bytes.
        total: u64,
        /// Where this part begins, in bytes.
        offset: u64,
        /// The bytes of this part.
        data: Vec<u8>,
        /// When the leader sent this, by its own clock; given back in the reply.
        probe: u64,
    },
    /// Answers a chunk that was not the last one.
    SnapshotReply {
        /// The follower's term.
        term: TermNumber,
        /// The index that the snapshot stands for.
        index: LogIndex,
        /// The bytes received in a row.
        received: u64,
        /// The probe of the chunk that is answered.
        probe: u64,
    },
    /// Tells that a replica without a log wishes to found a cluster or to join one.
    Join {
        /// Where the sender can be reached.
        address: String,
    },
    /// Passes on to the leader that another replica wishes to join.
    JoinFor {
        /// The replica.
        id: MemberId,
        /// Where it can be reached.
        address: String,
    },
    /// Asks the receiver to start an election at once.
    Handover {
        /// The leader's term.
        term: TermNumber,
    },
}

impl PeerMessage {
    /// Returns the term that the message carries.
    pub fn term(&self) -> TermNumber {
        match self {
            Self::RequestVote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::AppendEntries { term, .. }
            | Self::AppendReply { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotReply { term, .. }
            | Self::Handover { term } => *term,
            Self::Join { .. } | Self::JoinFor { .. } => TermNumber(0),
        }
    }

    /// Returns whether the message answers one that the receiver sent.
    pub(crate) fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::VoteReply { .. } | Self::AppendReply { .. } | Self::SnapshotReply { .. }
        )
    }
}
