//! Calls to the control group, and their answers.

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

/// What a client says first on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkHello {
    /// The cluster that the client belongs to.
    pub cluster: String,
    /// The version of the protocol that it speaks.
    pub version: u32,
}

/// Why a peer is refused on an internal link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum LinkRefusal {
    /// The peer belongs to another cluster.
    #[snafu(display("the peer belongs to another cluster"))]
    #[serde(rename = "other_cluster")]
    ClusterMismatch,
    /// The peer speaks another version of the protocol.
    #[snafu(display("the peer speaks version {version}, this process speaks another"))]
    #[serde(rename = "other_version")]
    VersionMismatch {
        /// The version of the peer.
        version: u32,
    },
    /// The peer sent a call before its hello.
    #[snafu(display("the peer did not say hello"))]
    #[serde(rename = "no_hello")]
    MissingHello,
}

/// A call to the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCall {
    /// Asks for a job.
    Submit {
        /// Whose job it is.
        customer: CustomerName,
        /// The caller's idempotency key.
        key: RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// Cancels a job.
    Cancel {
        /// Whose job it is.
        customer: CustomerName,
        /// The job.
        job: JobId,
    },
    /// Reads a job, waiting for its end for a time.
    ReadJob {
        /// Whose job it is; nothing stands for an operator, who may read every job.
        customer: Option<CustomerName>,
        /// The job.
        job: JobId,
        /// How long the reply may be held back for the job's end.
        wait: DurationMs,
    },
    /// Explains where a job stands.
    ExplainJob {
        /// Whose job it is; nothing stands for an operator, who may read every job.
        customer: Option<CustomerName>,
        /// The job.
        job: JobId,
    },
    /// Reads what the scheduler keeps, gives up and quarantines.
    ReadPolicy,
    /// Lists the jobs of a customer, newest first.
    ListJobs {
        /// Whose jobs; nothing stands for all of them.
        customer: Option<CustomerName>,
        /// The most jobs to list.
        limit: u32,
    },
    /// Changes a template.
    ChangeTemplate(TemplateChange),
    /// Tells the revision that an entry has and reads the one in force; an answer shows that the
    /// control group works.
    ReadRevision {
        /// The entry.
        entry: String,
        /// The revision that it heard last.
        known: ConfigRevision,
    },
    /// Reads where the revision in force has arrived.
    ReadRollout,
    /// Reads the templates.
    ReadTemplates,
    /// Tells what a change of a template would come to, without making it.
    CheckTemplate(TemplateChange),
    /// Drains a worker or opens it again.
    DrainWorker(roseridge_ledger::DrainChange),
    /// Lists the workers.
    ListWorkers,
    /// Reads the state of the control group.
    ReadStatus,
    /// Lists the replicas of the control group.
    ListReplicas,
    /// Adds the replica that asks to join with this number.
    AddReplica(ReplicaId),
    /// Removes the replica with this number.
    RemoveReplica(ReplicaId),
    /// Reports for the agents of a relay.
    Relay(RelayReport),
    /// Calls about flows.
    Flow(Box<FlowCall>),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReply {
    /// What the committed command came to.
    Outcome(CommandOutcome),
    /// A job.
    Job(JobView),
    /// Why a job stands where it stands.
    Explanation(JobExplanation),
    /// What the scheduler keeps, gives up and quarantines.
    Policy(PolicyView),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// The revision in force.
    Revision(ConfigRevision),
    /// Where the revision in force has arrived.
    Rollout(crate::RolloutView),
    /// The templates and their revision.
    Templates {
        /// The revision.
        revision: ConfigRevision,
        /// The templates.
        templates: Vec<CustomerTemplate>,
    },
    /// What a change of a template would come to.
    Effect(roseridge_ledger::TemplateEffect),
    /// The workers.
    Workers(Vec<crate::WorkerView>),
    /// The state of the control group.
    Status(StatusView),
    /// The replicas of the control group.
    Replicas(crate::MembersView),
    /// The orders for a relay's agents.
    Relay(crate::RelayReply),
    /// The answer to a call about flows.
    Flow(FlowReply),
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum CallError {
    /// This process does not lead; the call had no effect.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The internal address of the leader, as far as it is known.
        leader: Option<String>,
    },
    /// The process hosts no replica or is stopping; the call had no effect.
    #[snafu(display("this process takes no calls"))]
    NotServing,
    /// Too much work waits; the call had no effect.
    #[snafu(display("too much work waits"))]
    Overloaded,
    /// The command was proposed, and whether it commits is not known.
    #[snafu(display("whether the command took effect is not known"))]
    OutcomeUnknown,
    /// The change of the control group was refused; it had no effect.
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

/// A job as it is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// Whose job it is.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// When it was first started.
    pub first_start: Option<UnixMillis>,
    /// The number of attempts.
    pub attempt: AttemptNumber,
    /// Where it stands.
    pub state: JobState,
}

/// One control replica as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaView {
    /// The replica.
    pub replica: u64,
    /// Its internal address.
    pub address: String,
    /// The last index known to agree with the leader's log.
    pub matched: u64,
}

/// The state of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusView {
    /// The leader's replica.
    pub leader: u64,
    /// The term.
    pub term: u64,
    /// The commit index.
    pub commit: u64,
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// The replicas.
    pub replicas: Vec<ReplicaView>,
    /// The workers and whether each is live.
    pub workers: Vec<(WorkerName, bool)>,
    /// Jobs that wait.
    pub waiting: u32,
    /// Jobs that hold places.
    pub placed: u32,
}
