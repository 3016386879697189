//! Calls to the control group and their replies.

use roseridge_ledger::{
    CommandOutcome,
    JobState,
    RefusalReason,
    TemplateChange, //
};
use roseridge_model::{
    AttemptNumber,
    ConfigRevision,
    CustomerName,
    CustomerTemplate,
    DurationMs,
    JobId,
    JobSpec,
    RequestKey,
    UnixMillis,
    WorkerName, //
};
use roseridge_policy::JobExplanation;
use roseridge_quorum::{
    MemberError,
    ReplicaId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    FlowCall,
    FlowReply,
    PolicyView,
    RelayReport, //
};

/// The first message that a client sends on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkHello {
    /// The cluster that the client belongs to.
    pub cluster: String,
    /// The protocol version of the client.
    pub version: u32,
}

/// The reason why an internal link is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum LinkRefusal {
    /// The peer belongs to another cluster.
    #[snafu(display("the peer belongs to another cluster"))]
    #[serde(rename = "other_cluster")]
    ClusterMismatch,
    /// The peer uses another protocol version.
    #[snafu(display("the peer speaks version {version}, this process speaks another"))]
    #[serde(rename = "other_version")]
    VersionMismatch {
        /// The protocol version of the peer.
        version: u32,
    },
    /// The peer sent a call before a hello message.
    #[snafu(display("the peer sent a call before its hello message"))]
    #[serde(rename = "no_hello")]
    MissingHello,
}

/// A call to the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCall {
    /// Submits a job.
    Submit {
        /// The customer who owns the job.
        customer: CustomerName,
        /// The caller's idempotency key.
        key: RequestKey,
        /// The specification of the job.
        spec: JobSpec,
    },
    /// Cancels a job.
    Cancel {
        /// The customer who owns the job.
        customer: CustomerName,
        /// The job.
        job: JobId,
    },
    /// Reads a job and optionally waits for its completion.
    ReadJob {
        /// The customer who owns the job; `None` for an operator, who may read every job.
        customer: Option<CustomerName>,
        /// The job.
        job: JobId,
        /// The maximum time to wait for the job's completion before replying.
        wait: DurationMs,
    },
    /// Explains why a job is in its present state.
    ExplainJob {
        /// The customer who owns the job; `None` for an operator, who may read every job.
        customer: Option<CustomerName>,
        /// The job.
        job: JobId,
    },
    /// Reads the scheduler's guarantees, reservations and quarantined workers.
    ReadPolicy,
    /// Lists the jobs of a customer, newest first.
    ListJobs {
        /// The customer whose jobs are listed; `None` for all customers.
        customer: Option<CustomerName>,
        /// The maximum number of jobs to list.
        limit: u32,
    },
    /// Changes a template.
    ChangeTemplate(TemplateChange),
    /// Reports the revision that an entry has and reads the revision in force. A reply also shows
    /// that the control group is available.
    ReadRevision {
        /// The name of the entry.
        entry: String,
        /// The newest revision that the entry has received.
        known: ConfigRevision,
    },
    /// Reads the rollout of the revision in force.
    ReadRollout,
    /// Reads the templates of all customers.
    ReadTemplates,
    /// Returns the effect that a template change would have, without applying it.
    CheckTemplate(TemplateChange),
    /// Drains a worker or ends its drain.
    DrainWorker(roseridge_ledger::DrainChange),
    /// Lists the workers.
    ListWorkers,
    /// Reads the state of the control group.
    ReadStatus,
    /// Lists the replicas of the control group.
    ListReplicas,
    /// Adds the replica with this number, which has requested to join.
    AddReplica(ReplicaId),
    /// Removes the replica with this number.
    RemoveReplica(ReplicaId),
    /// Reports on behalf of the agents of a relay.
    Relay(RelayReport),
    /// A call about flows.
    Flow(Box<FlowCall>),
}

/// The reply to a [`ControlCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReply {
    /// The outcome of the committed command.
    Outcome(CommandOutcome),
    /// A job.
    Job(JobView),
    /// The reason why a job is in its present state.
    Explanation(JobExplanation),
    /// The scheduler's guarantees, reservations and quarantined workers.
    Policy(PolicyView),
    /// A list of jobs.
    Jobs(Vec<JobView>),
    /// The revision in force.
    Revision(ConfigRevision),
    /// The rollout of the revision in force.
    Rollout(crate::RolloutView),
    /// The templates and their revision.
    Templates {
        /// The revision of the configuration.
        revision: ConfigRevision,
        /// The templates.
        templates: Vec<CustomerTemplate>,
    },
    /// The effect that a template change would have.
    Effect(roseridge_ledger::TemplateEffect),
    /// The workers.
    Workers(Vec<crate::WorkerView>),
    /// The state of the control group.
    Status(StatusView),
    /// The replicas of the control group.
    Replicas(crate::MembersView),
    /// Orders for the agents of a relay.
    Relay(crate::RelayReply),
    /// The reply to a call about flows.
    Flow(FlowReply),
}

/// The reason why a call has no reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum CallError {
    /// This replica is not the leader; the call had no effect.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The internal address of the leader, if it is known.
        leader: Option<String>,
    },
    /// The process has no replica or relay for the call, it is stopping, or the connection has not
    /// completed the hello; the call had no effect.
    #[snafu(display("this process does not serve calls"))]
    NotServing,
    /// Too many calls, waiting callers or uncommitted proposals are pending; the call had no effect.
    #[snafu(display("this process is overloaded"))]
    Overloaded,
    /// The command was proposed, but it is not known whether it was committed.
    #[snafu(display("it is not known whether the command took effect"))]
    OutcomeUnknown,
    /// The membership change was refused; it had no effect.
    #[snafu(display("{reason}"))]
    MemberRefused {
        /// The reason.
        reason: MemberError,
    },
    /// The call was refused; it had no effect.
    #[snafu(display("{reason}"))]
    Refused {
        /// The reason.
        reason: RefusalReason,
    },
}

/// A job as callers and operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    /// The identifier of the job.
    pub job: JobId,
    /// The customer who owns the job.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// The specification that was submitted.
    pub spec: JobSpec,
    /// When the job was accepted.
    pub accepted: UnixMillis,
    /// When the job first started, if it has.
    pub first_start: Option<UnixMillis>,
    /// The number of attempts so far.
    pub attempt: AttemptNumber,
    /// The state of the job.
    pub state: JobState,
}

/// One control replica as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaView {
    /// The number of the replica.
    pub replica: u64,
    /// The internal address of the replica.
    pub address: String,
    /// The highest log index known to match the leader's log.
    pub matched: u64,
}

/// The state of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusView {
    /// The number of the leader's replica.
    pub leader: u64,
    /// The current term.
    pub term: u64,
    /// The commit index.
    pub commit: u64,
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// The members of the control group.
    pub replicas: Vec<ReplicaView>,
    /// The workers, each with whether its lease is valid.
    pub workers: Vec<(WorkerName, bool)>,
    /// The number of waiting jobs.
    pub waiting: u32,
    /// The number of placed jobs.
    pub placed: u32,
}
