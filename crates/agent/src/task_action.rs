//! The actions that the agent requests from the backend server.

use roseridge_model::{
    ResourceShape,
    TaskId, //
};

/// An action at the backend server for one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskAction {
    /// Reserves the resources of a task, which waits for its start.
    Prepare {
        /// The task.
        task: TaskId,
        /// The resources of the task.
        shape: ResourceShape,
    },
    /// Starts a held task.
    Start {
        /// The task.
        task: TaskId,
        /// The payload of the task.
        payload: String,
    },
    /// Writes a checkpoint of a task before it is stopped.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Stops a running task or releases the resources of a held one.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Fetches the answer of a task that is done.
    FetchAnswer {
        /// The task.
        task: TaskId,
    },
    /// Removes a task that has ended from the backend server's list.
    Forget {
        /// The task.
        task: TaskId,
    },
}

impl TaskAction {
    /// Returns the task that the action applies to.
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

    /// Returns the epoch of the call that requests the action, given the index of the orders.
    ///
    /// The backend server refuses calls with an epoch below the highest one that it has seen for the
    /// task. A stopped task is never prepared or started again, so that a stop has the highest epoch
    /// and outranks every delayed call, including those of earlier incarnations of the agent.
    pub fn epoch(&self, orders_index: u64) -> u64 {
        match self {
            Self::Stop { .. } | Self::Forget { .. } => u64::MAX,
            _ => orders_index,
        }
    }
}
