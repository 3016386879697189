//! Workers as operators see them.

use roseridge_model::{
    TaskId,
    WorkerName,
    WorkerShape, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One worker as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerName,
    /// Its resources, failure domain and rack.
    pub shape: WorkerShape,
    /// Whether its lease is valid.
    pub live: bool,
    /// Whether its backend server or agent is leaving.
    pub leaving: bool,
    /// Whether an operator drains it, so that it receives no new work.
    pub drained: bool,
    /// The tasks that are placed on it.
    pub tasks: Vec<TaskId>,
    /// The number of accelerators that no task uses.
    pub free_accelerators: u32,
}
