//! The record of one job, its gang and the gang's members.

use roseridge_model::{
    AttemptNumber,
    ClassRule,
    CustomerName,
    DesiredState,
    DurationMs,
    IncarnationId,
    JobId,
    JobOutcome,
    JobSpec,
    RequestKey,
    TaskOutcome,
    UnixMillis,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// The maximum time from a placement to the release; after it the gang is stopped and its resources
/// are freed.
pub const HOLD_TIMEOUT: DurationMs = DurationMs(10_000);

/// Why a gang is stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The caller cancelled the job.
    Cancelled,
    /// The gang is preempted to free its resources for another job.
    #[serde(rename = "yielded")]
    Preempted {
        /// The job that receives the resources.
        in_favour_of: JobId,
    },
    /// A member failed, was lost, was stopped or did not start.
    MemberEnded {
        /// The index of the member in the gang.
        member: u16,
    },
    /// The worker of a member is leaving, and the job can continue on another worker.
    WorkerLeaving,
    /// Some members were not held within [`HOLD_TIMEOUT`].
    HoldTimeout,
}

/// One member of a placed gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The worker on which the member is placed.
    pub worker: WorkerName,
    /// The incarnation of the agent that is responsible for the member.
    pub incarnation: IncarnationId,
    /// Whether the agent holds the member at the barrier.
    pub held: bool,
    /// How the member ended, or `None` while it still holds its resources.
    #[serde(rename = "end")]
    pub outcome: Option<TaskOutcome>,
}

/// A placed gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangRecord {
    /// The members, in the order of their indexes.
    pub members: Vec<MemberRecord>,
    /// When the gang was placed.
    pub placed: UnixMillis,
    /// The log index of the command that placed the gang.
    pub placed_index: u64,
    /// When the start was committed. No agent is ordered to start a member before that.
    pub released: Option<UnixMillis>,
    /// Why the gang is being stopped, or `None` if it isn't.
    pub stop: Option<StopReason>,
}

impl GangRecord {
    /// Returns the desired state of every member.
    pub fn desired_state(&self) -> DesiredState {
        match (&self.stop, self.released) {
            (Some(_), _) => DesiredState::Stopped,
            (None, Some(_)) => DesiredState::Running,
            (None, None) => DesiredState::Held,
        }
    }

    /// Returns whether every member has ended.
    pub fn has_ended(&self) -> bool {
        self.members.iter().all(|m| m.outcome.is_some())
    }
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job waits for a placement.
    Waiting,
    /// The job's gang is placed.
    Placed(GangRecord),
    /// The job has ended.
    Ended {
        /// How it ended.
        outcome: JobOutcome,
        /// When it ended.
        at: UnixMillis,
        /// The workers of the last gang; empty if the job ended while it waited.
        workers: Vec<WorkerName>,
    },
}

/// The SHA-256 digest of a [`JobSpec`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpecDigest([u8; 32]);

impl SpecDigest {
    /// Computes the digest of a job's specification.
    pub fn from_spec(spec: &JobSpec) -> Self {
        let mut hasher = Sha256::new();
        // Each text is prefixed by its length, so that different specifications never produce the
        // same input.
        for text in [spec.class.as_str(), &spec.payload] {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        }
        let gang = &spec.gang;
        let declared_ms = spec.declared_run_ms.map_or(u64::MAX, |d| d.0);
        let numbers = [
            u64::from(gang.members),
            u64::from(gang.member.cores),
            gang.member.memory_mib,
            u64::from(gang.member.accelerators),
            gang.adjacency as u64,
            declared_ms,
        ];
        for number in numbers {
            hasher.update(number.to_be_bytes());
        }
        Self(hasher.finalize().into())
    }
}

/// A job and its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// The customer that owns the job.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// The submitted specification; its payload is dropped when the job ends.
    pub spec: JobSpec,
    /// The digest of the submitted specification, which distinguishes a resend from another request
    /// with the same key.
    pub digest: SpecDigest,
    /// The rule of the job's class at the time of acceptance.
    pub rule: ClassRule,
    /// When the job was accepted.
    pub accepted: UnixMillis,
    /// When a gang of the job was first released.
    pub first_start: Option<UnixMillis>,
    /// The number of the newest attempt; zero before the first.
    pub attempt: AttemptNumber,
    /// The number of attempts that failed.
    pub failures: u32,
    /// The current state.
    pub state: JobState,
}
