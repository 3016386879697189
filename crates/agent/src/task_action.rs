//! What the agent asks of the backend server for one task.

use roseridge_model::{
    ResourceShape,
    TaskId, //
};

/// Something to ask of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskAction {
    /// Take resources for a task and hold it.
    Prepare {
        /// The task.
        task: TaskId,
        /// What it takes.
        shape: ResourceShape,
    },
    /// Start a held task.
    Start {
        /// The task.
        task: TaskId,
        /// The text for it.
        payload: String,
    },
    /// Write a checkpoint before a stop.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Stop a task or give it up.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Fetch the answer of a task that is done.
    FetchAnswer {
        /// The task.
        task: TaskId,
    },
    /// Forget a task that is over.
    Forget {
        /// The task.
        task: TaskId,
    },
}

impl TaskAction {
    /// Returns the task that the action is about.
    pub fn task(&self) -> TaskId {
        match self {
            Self::Prepare { task, .. }
            | Self::Start { task, .. }
            | Self::Checkpoint { task }
            | Self::Stop { task }
            | Self::FetchAnswer { task }
            | Self::Forget { task } => *task,
        }
    }

    /// Returns the epoch that the backend server is shown, given the index of the orders.
    ///
    /// A task that was stopped is never prepared or started again, so that a stop outranks every
    /// call that is still on its way, also one of an earlier life of the agent.
    pub fn epoch(&self, orders_index: u64) -> u64 {
        match self {
            Self::Stop { .. } | Self::Forget { .. } => u64::MAX,
            _ => orders_index,
        }
    }
}
