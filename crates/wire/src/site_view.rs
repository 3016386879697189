//! An installation's flows and backend servers as its operators see them.

use roseridge_flow::{
    BackendProfile,
    BackendStatus, //
};
use roseridge_model::{
    BackendId,
    QueueKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One life of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendView {
    /// The life.
    pub backend: BackendId,
    /// What it offers and where it is.
    pub profile: BackendProfile,
    /// Whether it can be used.
    pub presence: BackendStatus,
    /// The runs that take room on it.
    pub runs: u32,
    /// The accelerators that no run takes.
    pub free_accelerators: u32,
}

/// How many flows of a queue are open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueView {
    /// The queue.
    pub queue: QueueKey,
    /// The flows that have not ended.
    pub open: u32,
    /// Those of them without a first place.
    pub pending: u32,
}

/// What the leader knows of an installation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteView {
    /// The version of the configuration in force, if there is one.
    pub version: Option<u64>,
    /// The queues of the configuration.
    pub queues: Vec<QueueView>,
    /// The lives of backend servers, those that ended lately included.
    pub backends: Vec<BackendView>,
}
