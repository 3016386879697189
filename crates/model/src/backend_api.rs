//! The interface between an agent and its backend server: JSON over HTTP on loopback.
//!
//! The backend server announces itself to the agent, which then calls it to act on tasks. Every
//! call identifies the task with its attempt and is idempotent. `docs/interface.md` describes it
//! for implementers.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AnswerBody,
    ResourceShape,
    TaskId,
    WorkerShape, //
};

/// The request body with which a backend server announces itself or its departure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// The loopback address on which the backend server listens.
    pub address: SocketAddr,
    /// The resources and the location of the worker.
    pub shape: WorkerShape,
    /// Whether the backend server is about to leave and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The action that the agent requests for a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum BackendAction {
    /// Allocates resources and holds the task at the barrier.
    Prepare {
        /// The resources that the task uses.
        shape: ResourceShape,
    },
    /// Starts a prepared task.
    Start {
        /// The text for the task.
        payload: String,
    },
    /// Reduces the speed of a running task.
    Throttle {
        /// The speed that the task keeps, in percent of its full speed.
        percent: u8,
    },
    /// Writes a checkpoint of a running task.
    Checkpoint,
    /// Stops a task, or abandons one that has not started.
    Stop,
    /// Removes the record of an ended task together with its answer.
    Forget,
}

/// One call from the agent to its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCall {
    /// The task.
    pub task: TaskId,
    /// The index of the orders that caused the call; calls with a lower index are refused.
    pub epoch: u64,
    /// The requested action.
    #[serde(flatten)]
    pub action: BackendAction,
}

/// The phase of a task on the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendPhase {
    /// The task is held at the barrier.
    Held,
    /// The task is running.
    Running,
    /// The task ended with an answer.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped after its start.
    Stopped,
    /// The task was abandoned before its start.
    NotStarted,
}

/// The status of one task as the backend server lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendTask {
    /// The task.
    pub task: TaskId,
    /// The phase of the task.
    pub phase: BackendPhase,
    /// The reason for the failure, if the task failed.
    #[serde(default)]
    pub reason: Option<String>,
}

/// The list of a backend server's tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendList {
    /// A number that increases with every change of any task.
    pub sequence: u64,
    /// All tasks that were not removed by [`BackendAction::Forget`].
    pub tasks: Vec<BackendTask>,
    /// The time for which tasks may keep running without further contact from the agent, in
    /// milliseconds.
    #[serde(default)]
    pub lease_left_ms: Option<u64>,
}

/// The answer of a completed task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnswer {
    /// The task that the answer belongs to.
    pub task: TaskId,
    /// The length of the text, in bytes.
    pub length: usize,
    /// The text and its checksum.
    pub body: AnswerBody,
}

/// A measurement of the resource usage of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendUsage {
    /// The age of the measurement, in milliseconds.
    pub lag_ms: u64,
    /// The total resources that the running tasks use.
    pub used: ResourceShape,
}
