//! The commands that change the state, and their outcomes.

use roseridge_flow::{
    FlowChange,
    FlowOutcome, //
};
use roseridge_model::{
    ConfigRevision,
    CustomerName,
    CustomerTemplate,
    DurationMs,
    IncarnationId,
    JobId,
    JobSpec,
    RequestKey,
    TaskStatus,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_policy::{
    PolicyDecision,
    UnsatisfiableGuarantee, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// A change, with the leader's time when it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerCommand {
    /// The leader's wall clock time when it proposed the change.
    pub at: UnixMillis,
    /// The change.
    pub change: LedgerChange,
}

/// An operator's request to change a customer's template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateChange {
    /// The operator's key for this change; a resend carries the same one.
    pub request: RequestKey,
    /// The revision that the change is based on.
    pub base: ConfigRevision,
    /// The new template.
    pub template: CustomerTemplate,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// A caller submits a job.
    Submit {
        /// The customer that owns the job.
        customer: CustomerName,
        /// The caller's idempotency key.
        key: RequestKey,
        /// The specification of the job.
        spec: JobSpec,
    },
    /// A caller cancels a job.
    Cancel {
        /// The customer that owns the job.
        customer: CustomerName,
        /// The job.
        job: JobId,
    },
    /// The decisions of one scheduling pass.
    Decide(Vec<PolicyDecision>),
    /// An agent announces its worker, at startup or again later.
    AnnounceWorker {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of the agent.
        incarnation: IncarnationId,
        /// The location, resources and slots that the worker offers.
        shape: WorkerShape,
        /// The tasks that the backend server still knows, with their phases.
        found: Vec<TaskStatus>,
        /// Whether the backend server or its agent is leaving.
        leaving: bool,
    },
    /// An agent reports the statuses of its tasks.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of the agent.
        incarnation: IncarnationId,
        /// The tasks whose phase changed.
        statuses: Vec<TaskStatus>,
        /// Whether the backend server or its agent is leaving.
        leaving: bool,
    },
    /// The lease of a worker and the margin after it have expired.
    LoseWorker {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of the agent whose lease expired.
        incarnation: IncarnationId,
    },
    /// An operator changes a template.
    ChangeTemplate(TemplateChange),
    /// Stops gangs whose holds timed out and removes ended jobs past their retention.
    Expire,
    /// An operator drains a worker or cancels its drain.
    DrainWorker(crate::DrainChange),
    /// A change of the flows or of the backend servers that run them.
    Flow(FlowChange),
}

/// Why a command was refused. A refused command has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The customer has no template.
    #[snafu(display("the customer has no template"))]
    UnknownCustomer,
    /// The customer's template does not define the class.
    #[snafu(display("the customer's template has no such class"))]
    UnknownClass,
    /// The gang has no members or more than the maximum.
    #[serde(rename = "bad_gang")]
    #[snafu(display("a gang has 1 to 64 members"))]
    InvalidGangSize,
    /// The idempotency key was used before with another body.
    #[snafu(display("the idempotency key was used with another body, for job {job}"))]
    KeyReused {
        /// The job that was submitted with the key.
        job: JobId,
    },
    /// The queue of the customer or the class is full.
    #[snafu(display("the queue is full"))]
    QueueFull {
        /// The time after which to retry.
        retry_after: DurationMs,
    },
    /// The rate of submissions exceeds the limit of the template.
    #[snafu(display("the rate of submissions exceeds the limit of the template"))]
    RateExceeded {
        /// The time after which to retry.
        retry_after: DurationMs,
    },
    /// The gang doesn't fit on the workers even when nothing else runs.
    #[snafu(display("the gang does not fit on the workers even when nothing else runs"))]
    NeverFits,
    /// The workers can't satisfy the guarantees of all templates together.
    #[serde(rename = "guarantee_misfit")]
    #[snafu(display("{misfit}"))]
    UnsatisfiableGuarantee {
        /// The guarantee that does not fit, and the number of missing accelerators.
        misfit: UnsatisfiableGuarantee,
    },
    /// The customer's jobs have reached their limit of memory or number.
    #[snafu(display("the customer has reached its limit of kept jobs or payload memory"))]
    StoreFull,
    /// The customer has no such job, or it is no longer kept.
    #[snafu(display("there is no such job, or it is no longer kept"))]
    UnknownJob,
    /// The worker is not known.
    #[snafu(display("there is no such worker"))]
    UnknownWorker,
    /// The job has ended.
    #[snafu(display("the job has ended"))]
    JobEnded,
    /// The request key of a template change was used before with another change.
    #[snafu(display("the request id was used with another change"))]
    RequestReused,
    /// The change is based on another revision than the current one.
    #[snafu(display("the configuration is at revision {current} by now"))]
    RevisionConflict {
        /// The current revision.
        current: ConfigRevision,
    },
    /// The command carries another incarnation of the agent than the current one, or its worker is
    /// lost or unknown.
    #[snafu(display("the incarnation of the agent is not the current one"))]
    OldIncarnation,
}

impl RefusalReason {
    /// Returns whether the request was refused because of the current load, so that the same
    /// request may be accepted later.
    pub fn is_overload(&self) -> bool {
        matches!(
            self,
            Self::QueueFull { .. } | Self::RateExceeded { .. } | Self::StoreFull
        )
    }
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The job was accepted, by this command or by an earlier one with the same key.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// The configuration was changed, by this command or by an earlier one with the same key.
    Changed {
        /// The revision that resulted from the change.
        revision: ConfigRevision,
    },
    /// The command took effect.
    Applied,
    /// The command had no effect.
    Refused(RefusalReason),
    /// The outcome of a change of the flows.
    Flow(FlowOutcome),
}
