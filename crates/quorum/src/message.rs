//! Identifiers, log entries and peer messages.

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
    /// The number of a replica in the settings.
    ReplicaId
);
log_number!(
    /// The random number of a disk, generated when its data folder is created.
    DiskId
);
log_number!(
    /// A Raft term, in which at most one replica is the leader.
    TermNumber
);
log_number!(
    /// The position of an entry in the log; the first entry has index one.
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
    /// The position of the entry.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: TermNumber,
    /// The content of the entry.
    pub body: EntryBody,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// No content: the first entry of a new leader, which lets it commit entries of older terms.
    #[serde(rename = "opening")]
    Noop,
    /// A command for the host's state machine.
    Command(#[serde(with = "crate::byte_string")] Vec<u8>),
    /// The membership that takes effect at this entry.
    Members(Membership),
}

impl LogEntry {
    /// Returns the approximate size of the entry, in bytes.
    pub fn size(&self) -> usize {
        match &self.body {
            EntryBody::Noop => ENTRY_OVERHEAD_BYTES,
            EntryBody::Command(payload) => ENTRY_OVERHEAD_BYTES + payload.len(),
            EntryBody::Members(members) => ENTRY_OVERHEAD_BYTES + members.size(),
        }
    }
}

/// The approximate size of an entry without its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// The approximate size of a message without its content, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// The state, besides the log, that a replica must persist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardState {
    /// The highest term seen.
    pub term: TermNumber,
    /// The candidate that this replica voted for in that term.
    pub vote: Option<MemberId>,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// The term of the election.
        term: TermNumber,
        /// Whether this is a pre-vote, which changes no state on the receiver.
        pre_vote: bool,
        /// Whether the leader itself requested this election, to transfer its leadership.
        handover: bool,
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: TermNumber,
    },
    /// Answers a [`Self::RequestVote`].
    VoteReply {
        /// The term of the election if granted, or the term of the replica that refuses.
        term: TermNumber,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries, or serves as a heartbeat if there are none.
    AppendEntries {
        /// The leader's term.
        term: TermNumber,
        /// The index of the entry before the first entry sent.
        previous_index: LogIndex,
        /// The term of the entry before the first entry sent.
        previous_term: TermNumber,
        /// The entries to append.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's clock when it sent this, in milliseconds; echoed in the reply.
        probe: u64,
    },
    /// Answers an append, or the last chunk of a snapshot.
    AppendReply {
        /// The follower's term.
        term: TermNumber,
        /// Whether the preceding entry matches the follower's log, so that the entries were
        /// appended.
        accepted: bool,
        /// The last index known to match, or after a refusal the index to retry after.
        matched: LogIndex,
        /// The probe of the answered message.
        probe: u64,
    },
    /// Carries a chunk of the leader's snapshot to a follower whose next entry is compacted.
    SnapshotChunk {
        /// The leader's term.
        term: TermNumber,
        /// The position and membership of the snapshot.
        meta: SnapshotMeta,
        /// The size of the whole state, in bytes.
        total: u64,
        /// The offset of this chunk in the state, in bytes.
        offset: u64,
        /// The content of this chunk.
        #[serde(with = "crate::byte_string")]
        data: Vec<u8>,
        /// The leader's clock when it sent this, in milliseconds; echoed in the reply.
        probe: u64,
    },
    /// Answers a [`Self::SnapshotChunk`] that was not the last one.
    SnapshotReply {
        /// The follower's term.
        term: TermNumber,
        /// The index of the last entry in the snapshot.
        index: LogIndex,
        /// The number of contiguous bytes received from the start of the state.
        received: u64,
        /// The probe of the answered chunk.
        probe: u64,
    },
    /// Requests to bootstrap a cluster with the receiver, or to join its cluster.
    Join {
        /// The address of the sender.
        address: String,
    },
    /// Forwards the join request of another replica to the leader.
    #[serde(rename = "join_for")]
    ForwardedJoin {
        /// The replica that requests to join.
        id: MemberId,
        /// The address of that replica.
        address: String,
    },
    /// Requests that the receiver start an election immediately, to take over the leadership.
    #[serde(rename = "handover")]
    TimeoutNow {
        /// The leader's term.
        term: TermNumber,
    },
}

impl PeerMessage {
    /// Returns the term of the message, or zero for a join request, which has none.
    pub fn term(&self) -> TermNumber {
        match self {
            Self::RequestVote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::AppendEntries { term, .. }
            | Self::AppendReply { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotReply { term, .. }
            | Self::TimeoutNow { term } => *term,
            Self::Join { .. } | Self::ForwardedJoin { .. } => TermNumber(0),
        }
    }

    /// Returns the approximate size of the message, in bytes.
    pub fn size(&self) -> usize {
        let content_bytes = match self {
            Self::AppendEntries { entries, .. } => entries.iter().map(LogEntry::size).sum(),
            Self::SnapshotChunk { meta, data, .. } => meta.members.size() + data.len(),
            Self::Join { address } | Self::ForwardedJoin { address, .. } => address.len(),
            _ => 0,
        };
        MESSAGE_OVERHEAD_BYTES + content_bytes
    }

    /// Returns whether the message is a reply to one that the receiver sent.
    pub(crate) fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::VoteReply { .. } | Self::AppendReply { .. } | Self::SnapshotReply { .. }
        )
    }
}
