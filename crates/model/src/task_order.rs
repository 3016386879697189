//! Orders to agents, and the task states that agents report.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    IncarnationId,
    ResourceShape,
    TaskId,
    TaskOutcome, //
};

/// The desired state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// The task holds its resources and waits at the barrier.
    Held,
    /// The task runs.
    Running,
    /// The task is stopped, after a checkpoint if its class allows one.
    Stopped,
}

/// An order to an agent for one task.
///
/// An agent always receives its complete set of orders; it drops every task that is absent from the
/// set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// The incarnation of the agent that is responsible for the task; no other one may start it.
    pub incarnation: IncarnationId,
    /// The desired state.
    #[serde(rename = "wanted")]
    pub desired: DesiredState,
    /// The resources that the task uses.
    pub shape: ResourceShape,
    /// Whether a checkpoint is written before a stop.
    pub checkpointable: bool,
    /// The text for the backend server; `None` if the agent has already received it.
    pub payload: Option<String>,
}

/// The phase of a task as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task holds its resources and waits at the barrier.
    Held,
    /// The backend server runs the task.
    Running,
    /// The task has ended.
    Ended(TaskOutcome),
}

/// The reported status of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The phase of the task.
    pub phase: TaskPhase,
}
