//! What an agent is asked to bring about, and what it reports.

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

/// The state that a task is wanted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// Resources taken, held at the barrier.
    Held,
    /// Running.
    Running,
    /// Stopped, with a checkpoint where the class allows one.
    Stopped,
}

/// One task that an agent is responsible for.
///
/// An agent always receives all of its orders together: a task that is absent is to be forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskId,
    /// The agent's life that the task was placed on; no other life may start it.
    pub incarnation: IncarnationId,
    /// The state that is wanted.
    #[serde(rename = "wanted")]
    pub desired: DesiredState,
    /// What the task takes.
    pub shape: ResourceShape,
    /// Whether a stop is preceded by a checkpoint.
    pub checkpointable: bool,
    /// The text for the backend server; it is left out when the agent has received it before.
    pub payload: Option<String>,
}

/// What an agent knows of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Resources are taken and the task waits at the barrier.
    Held,
    /// The backend server runs the task.
    Running,
    /// The task is over.
    Ended(TaskOutcome),
}

/// The report of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// What is known of it.
    pub phase: TaskPhase,
}
