//! The commands that change the state, and what they come to.

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

/// A change with the leader's time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerCommand {
    /// The leader's wall clock when it proposed the change.
    pub at: UnixMillis,
    /// The change.
    pub change: LedgerChange,
}

/// An operator's change of one customer's template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateChange {
    /// The operator's key for this change; a resend carries the same one.
    pub request: RequestKey,
    /// The revision that the operator saw.
    pub base: ConfigRevision,
    /// The template as it is to be.
    pub template: CustomerTemplate,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// A caller asks for a job.
    Submit {
        /// Whose job it is.
        customer: CustomerName,
        /// The caller's idempotency key.
        key: RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// A caller cancels a job.
    Cancel {
        /// Whose job it is.
        customer: CustomerName,
        /// The job.
        job: JobId,
    },
    /// The scheduler's decisions, taken together.
    Decide(Vec<PolicyDecision>),
    /// A worker is announced, at first or by a new incarnation of its agent.
    AnnounceWorker {
        /// The worker.
        worker: WorkerName,
        /// The agent's life.
        incarnation: IncarnationId,
        /// What the worker offers.
        shape: WorkerShape,
        /// What the backend server still runs or answers for.
        found: Vec<TaskStatus>,
        /// Whether the backend server or its agent is leaving.
        leaving: bool,
    },
    /// An agent reports what became of its tasks.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The agent's life.
        incarnation: IncarnationId,
        /// The tasks whose phase changed.
        statuses: Vec<TaskStatus>,
        /// Whether the backend server or its agent is leaving.
        leaving: bool,
    },
    /// The lease of a worker ran out, and the margin after it.
    LoseWorker {
        /// The worker.
        worker: WorkerName,
        /// The agent's life whose lease ran out.
        incarnation: IncarnationId,
    },
    /// An operator changes a template.
    ChangeTemplate(TemplateChange),
    /// Time went by: holds that took too long are given up and old jobs are forgotten.
    Expire,
    /// An operator drains a worker or opens it again.
    DrainWorker(crate::DrainChange),
    /// A change of the flows and what runs them.
    Flow(FlowChange),
}

/// Why a command was refused; it had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The customer has no template.
    #[snafu(display("the customer has no template"))]
    UnknownCustomer,
    /// The customer's template has no such class.
    #[snafu(display("the customer's template has no such class"))]
    UnknownClass,
    /// The gang has no members or too many.
    #[serde(rename = "bad_gang")]
    #[snafu(display("a gang has 1 to 64 members"))]
    InvalidGangSize,
    /// The same key was used with another body.
    #[snafu(display("the idempotency key was used with another body, for job {job}"))]
    KeyReused {
        /// The job that the key stands for.
        job: JobId,
    },
    /// The queue of the customer or the class is full.
    #[snafu(display("the queue is full"))]
    QueueFull {
        /// When to try again.
        retry_after: DurationMs,
    },
    /// More jobs come in than the template allows.
    #[snafu(display("more jobs come in than the template allows"))]
    RateExceeded {
        /// When to try again.
        retry_after: DurationMs,
    },
    /// The gang is larger than any place that the workers could offer.
    #[snafu(display("no place that the workers could offer is large enough for the gang"))]
    NeverFits,
    /// The workers can't satisfy the guarantees of all templates together.
    #[serde(rename = "guarantee_misfit")]
    #[snafu(display("{guarantee}"))]
    UnsatisfiableGuarantee {
        /// The guarantee that does not fit, and the number of missing accelerators.
        #[serde(rename = "misfit")]
        guarantee: UnsatisfiableGuarantee,
    },
    /// The customer's jobs take all the memory that it may use.
    #[snafu(display("the customer's open jobs or kept answers take all the memory it may use"))]
    StoreFull,
    /// There is no such job of this customer.
    #[snafu(display("there is no such job, or it is no longer kept"))]
    UnknownJob,
    /// There is no such worker.
    #[snafu(display("there is no such worker"))]
    UnknownWorker,
    /// The job has ended.
    #[snafu(display("the job has ended"))]
    JobEnded,
    /// The request id of a change was used with another change.
    #[snafu(display("the request id was used with another change"))]
    RequestReused,
    /// The change was made against an older revision.
    #[snafu(display("the configuration is at revision {current} by now"))]
    RevisionConflict {
        /// The revision in force.
        current: ConfigRevision,
    },
    /// The report or order belongs to another life of the agent.
    #[snafu(display("the incarnation is not the one in force"))]
    OldIncarnation,
}

impl RefusalReason {
    /// Returns whether the same request may be accepted once there is less work.
    pub fn is_for_load(&self) -> bool {
        matches!(
            self,
            Self::QueueFull { .. } | Self::RateExceeded { .. } | Self::StoreFull
        )
    }
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The job is accepted, now or by an earlier command with the same key.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// The configuration is changed and has this revision, now or by an earlier command.
    Changed {
        /// The revision.
        revision: ConfigRevision,
    },
    /// The command took effect.
    Applied,
    /// The command had no effect.
    Refused(RefusalReason),
    /// What a change of the flows came to.
    Flow(FlowOutcome),
}
