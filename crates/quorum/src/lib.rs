//! A Raft core without I/O, for embedding in a host process.
//!
//! Its inputs are ticks, peer messages, proposals and write completions; its outputs are peer
//! messages, writes and committed entries. The host owns the clock, the disk and the network:
//!
//! 1. Call [`ReplicaCore::tick`], [`ReplicaCore::receive`] or [`ReplicaCore::propose`].
//! 2. Sync what [`ReplicaCore::take_write`] returns, then call [`ReplicaCore::complete_write`].
//! 3. Send what [`ReplicaCore::take_messages`] returns.
//! 4. Restore what [`ReplicaCore::take_restore`] returns, then apply what
//!    [`ReplicaCore::take_committed`] returns.
//!
//! A replica is identified by its number and its disk ([`MemberId`]): a replica that restarts with
//! an empty disk is a different member. Replicas without a log bootstrap a cluster once every other
//! seed has contacted the first one, or request to join an existing cluster.
//!
//! ```
//! use roseridge_quorum::{
//!     DiskId, EntryBody, MemberId, ReplicaCore, ReplicaId, ReplicaSetup, ReplicaTiming,
//!     StoredReplica,
//! };
//!
//! let setup = ReplicaSetup {
//!     id: MemberId { replica: ReplicaId(1), disk: DiskId(77) },
//!     address: "192.0.2.1:7000".to_owned(),
//!     seeds: [ReplicaId(1)].into(),
//!     can_bootstrap: true,
//!     timing: ReplicaTiming::default(),
//!     random_seed: 1,
//! };
//! let mut core = ReplicaCore::new(setup, StoredReplica::default(), 0);
//! let mut applied = Vec::new();
//! let mut proposed = false;
//! for now_ms in (0..1_000).step_by(20) {
//!     core.tick(now_ms);
//!     if core.can_serve() && !proposed {
//!         core.propose(b"command".to_vec())?;
//!         proposed = true;
//!     }
//!     if let Some(write) = core.take_write() {
//!         // A host syncs the write here.
//!         core.complete_write(write.number);
//!     }
//!     assert!(core.take_messages().is_empty(), "a single replica has no peers");
//!     for entry in core.take_committed() {
//!         if let EntryBody::Command(command) = entry.body {
//!             applied.push(command);
//!         }
//!     }
//! }
//! assert_eq!(applied, [b"command".to_vec()]);
//! # Ok::<(), roseridge_quorum::ProposeError>(())
//! ```

mod bootstrap;
mod byte_string;
mod core_state;
mod election;
mod log_tail;
mod member_change;
mod membership;
mod message;
mod replication;
mod snapshot;
mod stored_replica;
mod timing;

pub use core_state::ProposeError;
pub use core_state::ReplicaCore;
pub use core_state::ReplicaRole;
pub use core_state::ReplicaSetup;
pub use core_state::WriteBatch;
pub use core_state::WriteNumber;
pub use log_tail::LogTail;
pub use member_change::MemberChange;
pub use member_change::MemberError;
pub use membership::MemberId;
pub use membership::MemberRecord;
pub use membership::MemberRole;
pub use membership::Membership;
pub use message::DiskId;
pub use message::EntryBody;
pub use message::HardState;
pub use message::LogEntry;
pub use message::LogIndex;
pub use message::PeerMessage;
pub use message::ReplicaId;
pub use message::TermNumber;
pub use snapshot::LogSnapshot;
pub use snapshot::MAX_SNAPSHOT_BYTES;
pub use snapshot::SnapshotMeta;
pub use stored_replica::LogGap;
pub use stored_replica::StoredReplica;
pub use timing::ReplicaTiming;
