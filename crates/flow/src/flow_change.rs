//! The changes of the state, and what they come to.

use roseridge_model::{
    BackendId,
    CustomerName,
    DurationMs,
    FlowId,
    FlowSpec,
    QueueKey,
    RunKey,
    SiteConfig,
    TaskKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::BackendProfile;

/// How a run ended on its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed, by the fault of the task or of the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease ended before it was renewed.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come in time.
    Alone,
}

/// One end as a backend server lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndRecord {
    /// The place of the end among all ends of this life, from one.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// The newest checkpoint, or nothing.
    pub saved: String,
}

/// A run that was ordered, has not started, and can't start any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnstartedRun {
    /// The run.
    pub run: RunKey,
    /// Why it was not started.
    pub reason: String,
}

/// Why the scheduler or a caller stops a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The flow was cancelled or has failed.
    FlowEnded,
    /// Another member of the gang ended.
    GangBroken,
    /// A more urgent flow needs the place.
    Displaced,
    /// The run makes no progress, or its worker is slow or about to leave.
    Moved,
}

/// A run to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopOrder {
    /// The run.
    pub run: RunKey,
    /// Why.
    pub cause: StopCause,
}

/// Tasks of one step to place together: a whole gang, or single tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementOrder {
    /// The tasks, each with its backend server.
    pub tasks: Vec<(TaskKey, BackendId)>,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowChange {
    /// An operator sets the whole configuration.
    Configure(SiteConfig),
    /// A caller hands in a flow.
    Submit {
        /// The caller's name for the flow.
        flow: FlowId,
        /// Whose flow it is; nothing for an open queue without a key.
        customer: Option<CustomerName>,
        /// The queue.
        queue: QueueKey,
        /// The flow.
        spec: FlowSpec,
    },
    /// A caller cancels a flow.
    Cancel {
        /// The flow.
        flow: FlowId,
    },
    /// A backend server's life is there, at first or again.
    Announce {
        /// The life.
        backend: BackendId,
        /// What it offers and where it is.
        profile: BackendProfile,
    },
    /// A backend server takes no new work and leaves.
    Drain {
        /// The life.
        backend: BackendId,
        /// The time that is left at least.
        remaining: DurationMs,
    },
    /// A backend server's life has ended, and everything that ran on it.
    Leave {
        /// The life.
        backend: BackendId,
    },
    /// The lease of a backend server has surely ended.
    Lose {
        /// The life.
        backend: BackendId,
        /// The newest checkpoints that were heard of its runs.
        saved: Vec<(RunKey, String)>,
    },
    /// A backend server's agent reports ends and runs that can't start.
    Report {
        /// The life.
        backend: BackendId,
        /// The ends, by their numbers.
        ends: Vec<EndRecord>,
        /// The runs that can't start.
        unstarted: Vec<UnstartedRun>,
    },
    /// The scheduler's decisions, taken together.
    Decide {
        /// What to stop.
        stops: Vec<StopOrder>,
        /// What to place.
        places: Vec<PlacementOrder>,
    },
    /// Time went by: ended flows and lost backend servers are forgotten.
    Expire,
}

/// Why a change was refused; it had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum FlowRefusal {
    /// There is no such queue.
    #[snafu(display("there is no such queue"))]
    UnknownQueue,
    /// The name stands for another flow.
    #[snafu(display("the name stands for another flow"))]
    NameReused,
    /// There is no such flow, or it is no longer kept.
    #[snafu(display("there is no such flow, or it is no longer kept"))]
    UnknownFlow,
    /// There is no such backend server.
    #[snafu(display("there is no such backend server"))]
    UnknownBackend,
    /// This life of the backend server has ended for good.
    #[snafu(display("this life of the backend server has ended"))]
    EndedBackend,
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowOutcome {
    /// The flow is accepted, now or by an earlier change.
    Accepted {
        /// Whether an earlier change had accepted it.
        again: bool,
    },
    /// The configuration in force has this version.
    Configured {
        /// The version.
        version: u64,
        /// Whether this change set it.
        changed: bool,
    },
    /// The change took effect.
    Applied,
    /// The change had no effect.
    Refused(FlowRefusal),
}
