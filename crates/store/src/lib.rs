//! The durable store of one replica in one data folder, for embedding in a host process.
//!
//! A folder holds an identity, a write-ahead log in segments and the newest snapshot. A write is
//! acknowledged only after it is synced. A torn record at the end of the last segment, which a
//! crash can leave behind, is truncated; any other damage is an error that names the file and the
//! offset. A failed write or sync poisons the store permanently, because the content of the disk is
//! then unknown. When the disk is full, a reserve of space is released, with which the store can be
//! opened again and its log replaced by a snapshot.
//!
//! ```
//! use roseridge_quorum::{DiskId, HardState, ReplicaId, TermNumber, WriteBatch};
//! use roseridge_store::{ReplicaStore, StoreOptions};
//!
//! let folder = tempfile::tempdir()?;
//! let options = StoreOptions::new("cluster", ReplicaId(1), DiskId(77));
//! let (mut store, _) = ReplicaStore::open(folder.path(), options.clone())?;
//! let hard = HardState { term: TermNumber(3), vote: None };
//! store.write(&WriteBatch { hard_state: Some(hard), ..WriteBatch::default() })?;
//! drop(store);
//!
//! let (_, opened) = ReplicaStore::open(folder.path(), options)?;
//! assert_eq!(opened.stored.hard_state, hard);
//! assert_eq!(opened.id.disk, DiskId(77));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod data_folder;
mod record;
mod replica_store;
mod segment;
mod snapshot_file;
mod space_reserve;
mod store_error;

pub use data_folder::FileFaults;
pub use data_folder::FileOperation;
pub use record::MAX_RECORD_BYTES;
pub use replica_store::OpenedReplica;
pub use replica_store::ReplicaStore;
pub use replica_store::StoreOptions;
pub use replica_store::StoreUsage;
pub use store_error::StoreError;
