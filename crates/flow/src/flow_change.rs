//! The changes to the state, and their outcomes.

use roseridge_model::{
    BackendId,
    CustomerName,
    DomainName,
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
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The run failed because of an error of the task or of the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run's lease expired before it was renewed.
    Lapsed,
    /// The run ended because another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// The completion of one run as its backend server lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunCompletion {
    /// The number of the completion among all completions of this incarnation, from one.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How the run ended.
    pub end: RunOutcome,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
}

/// A run that was ordered, has not started and can no longer start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnstartedRun {
    /// The run.
    pub run: RunKey,
    /// The reason for which it was not started.
    pub reason: String,
}

/// The cause for which a run is stopped by the scheduler or a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The flow was cancelled or has failed.
    FlowEnded,
    /// Another member of the gang ended.
    GangBroken,
    /// The run is preempted by a more urgent flow.
    Displaced,
    /// The task is moved to another worker: the run makes no progress, or its worker is slow or
    /// about to leave.
    Moved,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopOrder {
    /// The run.
    pub run: RunKey,
    /// The cause of the stop.
    pub cause: StopCause,
}

/// An order to place tasks of one step together: either a whole gang or single tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementOrder {
    /// The tasks, each with the backend server to place it on.
    pub tasks: Vec<(TaskKey, BackendId)>,
}

/// A run that may have crashed its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashSuspect {
    /// The run.
    pub run: RunKey,
    /// Whether it is not known to have survived its start. Its task is then started again on trial.
    pub at_start: bool,
}

/// A change to the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowChange {
    /// An operator sets the whole configuration.
    Configure(SiteConfig),
    /// A caller submits a flow.
    Submit {
        /// The identifier that the caller chose for the flow.
        flow: FlowId,
        /// The customer that owns the flow; `None` for a request without a key to an open queue.
        customer: Option<CustomerName>,
        /// The queue to which the flow is submitted.
        queue: QueueKey,
        /// The description of the flow.
        spec: FlowSpec,
    },
    /// A caller cancels a flow.
    Cancel {
        /// The flow.
        flow: FlowId,
    },
    /// An incarnation of a backend server announces itself, for the first time or again.
    Announce {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// Its resources and its location.
        profile: BackendProfile,
    },
    /// A backend server takes no new work and is about to leave.
    Drain {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// The minimum time until it leaves.
        remaining: DurationMs,
    },
    /// An incarnation of a backend server has ended, together with every run on it.
    Leave {
        /// The incarnation of the backend server.
        backend: BackendId,
    },
    /// The lease of a backend server has certainly expired.
    Lose {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// The newest reported checkpoint of each of its runs.
        saved: Vec<(RunKey, String)>,
    },
    /// The agent of a backend server reports completions and runs that can't start.
    Report {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// The completions, identified by their numbers.
        ends: Vec<RunCompletion>,
        /// The runs that can't start.
        unstarted: Vec<UnstartedRun>,
    },
    /// The scheduler's decisions of one pass.
    Decide {
        /// The runs to stop.
        stops: Vec<StopOrder>,
        /// The tasks to place.
        places: Vec<PlacementOrder>,
    },
    /// Time has passed: ended flows and lost or ended backend servers are removed after their
    /// retention.
    Expire,
    /// An operator evacuates a failure domain: its backend servers receive no more work.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// The revision of the domain that was read before the change was proposed.
        base: u64,
    },
    /// An operator withdraws the evacuation of a failure domain.
    Restore {
        /// The failure domain.
        domain: DomainName,
        /// The revision of the domain that was read before the change was proposed.
        base: u64,
    },
    /// An incarnation of a backend server has crashed.
    RecordCrash {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// The runs that may have caused the crash.
        suspects: Vec<CrashSuspect>,
        /// The number of crashes at which a suspected task is given up.
        crash_limit: u32,
    },
    /// A draining backend server stays after all and takes work again.
    Resume {
        /// The incarnation of the backend server.
        backend: BackendId,
    },
    /// An incarnation of a backend server announces itself, and acknowledgements for earlier ones with its name may
    /// have reached it.
    AnnounceRestarted {
        /// The incarnation of the backend server.
        backend: BackendId,
        /// Its resources and its location.
        profile: BackendProfile,
        /// The number up to which its completions may be deleted before they are listed.
        hidden_ends: u64,
    },
    /// A caller cancels a flow that the leader doesn't know; its submission may arrive later.
    Withdraw {
        /// The flow.
        flow: FlowId,
        /// The queue to which it would be submitted.
        queue: QueueKey,
        /// The customer that would own it; `None` for a request without a key to an open queue.
        customer: Option<CustomerName>,
    },
}

/// The reason for which a change was refused; a refused change has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum FlowRefusal {
    /// The configuration has no such queue.
    #[snafu(display("the queue is not in the configuration"))]
    UnknownQueue,
    /// The identifier belongs to a flow with another queue or description.
    #[snafu(display("the flow identifier is already used by a different flow"))]
    NameReused,
    /// The flow does not exist, or its record was removed after its retention.
    #[snafu(display("the flow does not exist or is no longer kept"))]
    UnknownFlow,
    /// The backend server does not exist.
    #[snafu(display("the backend server does not exist"))]
    UnknownBackend,
    /// This incarnation of the backend server has ended and can't return.
    #[snafu(display("this incarnation of the backend server has ended"))]
    EndedBackend,
    /// The maximum number of failure domains is already evacuated.
    #[snafu(display("too many failure domains are evacuated"))]
    TooManyEvacuations,
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowOutcome {
    /// The flow is accepted, either by this change or by an earlier one.
    Accepted {
        /// Whether an earlier change had already accepted it.
        again: bool,
    },
    /// The change carried a configuration; the one in force now has this version.
    Configured {
        /// The version in force.
        version: u64,
        /// Whether this change put it in force.
        changed: bool,
    },
    /// The change took effect.
    Applied,
    /// The change had no effect.
    Refused(FlowRefusal),
    /// The evacuation, or its withdrawal, is in force.
    Evacuated {
        /// Whether this change put it in force.
        changed: bool,
        /// The revision of the domain.
        revision: u64,
    },
    /// The change of an evacuation had no effect, because another change came before it.
    Overtaken,
    /// There is no such flow. Its submission, if it arrives later, is accepted as cancelled.
    Withdrawn,
}
