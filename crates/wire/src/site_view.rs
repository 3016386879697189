//! The flows and backend servers of an installation as operators see them.

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

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendView {
    /// The incarnation.
    pub backend: BackendId,
    /// Its resources and location.
    pub profile: BackendProfile,
    /// Its status, which says whether it can be used.
    pub presence: BackendStatus,
    /// The number of runs that use its resources.
    pub runs: u32,
    /// The number of accelerators that no run uses.
    pub free_accelerators: u32,
}

/// The numbers of open and pending flows of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueView {
    /// The queue.
    pub queue: QueueKey,
    /// The number of flows that have not ended.
    pub open: u32,
    /// The number of those flows that have not been placed yet.
    pub pending: u32,
}

/// The state of an installation as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteView {
    /// The version of the configuration in force, if one was set.
    pub version: Option<u64>,
    /// The queues of the configuration.
    pub queues: Vec<QueueView>,
    /// The incarnations of backend servers, including those that ended recently.
    pub backends: Vec<BackendView>,
}
