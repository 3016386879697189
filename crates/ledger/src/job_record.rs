//! What the ledger keeps of one job.

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

/// The longest time from a placement to the release; the places are given up after it.
pub const HOLD_LIMIT: DurationMs = DurationMs(10_000);

/// Why a gang is stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its caller cancelled it.
    Cancelled,
    /// It makes room for another job.
    Yielded {
        /// The job that it makes room for.
        in_favour_of: JobId,
    },
    /// One of its members failed, was lost or could not be held.
    MemberEnded {
        /// The member.
        member: u16,
    },
    /// A worker of one of its members leaves, and it can go on elsewhere.
    WorkerLeaving,
    /// Its members were not all held within [`HOLD_LIMIT`].
    HoldTimeout,
}

/// One member of a placed gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Where the member is placed.
    pub worker: WorkerName,
    /// The agent's life that answers for it.
    pub incarnation: IncarnationId,
    /// Whether the agent holds the member at the barrier.
    pub held: bool,
    /// How the member ended.
    pub end: Option<TaskOutcome>,
}

/// The members of a gang that holds places.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangRecord {
    /// The members.
    pub members: Vec<MemberRecord>,
    /// When the places were given.
    pub placed: UnixMillis,
    /// The index of the command that gave the places.
    pub placed_index: u64,
    /// When the start was committed; only then may any agent be told to start.
    pub released: Option<UnixMillis>,
    /// Why the gang is being stopped.
    pub stop: Option<StopReason>,
}

impl GangRecord {
    /// Returns the state that each member is wanted in.
    pub fn desired(&self) -> DesiredState {
        match (&self.stop, self.released) {
            (Some(_), _) => DesiredState::Stopped,
            (None, Some(_)) => DesiredState::Running,
            (None, None) => DesiredState::Held,
        }
    }

    /// Returns whether every member has ended.
    pub fn is_over(&self) -> bool {
        self.members.iter().all(|m| m.end.is_some())
    }
}

/// Where a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// It waits for places.
    Waiting,
    /// Its gang holds places.
    Placed(GangRecord),
    /// It is over.
    Ended {
        /// How it ended.
        outcome: JobOutcome,
        /// When it ended.
        at: UnixMillis,
        /// Where its last gang was placed.
        workers: Vec<WorkerName>,
    },
}

/// The SHA-256 of a job's description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpecDigest([u8; 32]);

impl SpecDigest {
    /// Returns the digest of a job's description.
    pub fn of(spec: &JobSpec) -> Self {
        let mut hasher = Sha256::new();
        // Each text is preceded by its length, so that two descriptions never read alike.
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

/// Everything that is kept of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// Whose job it is.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: RequestKey,
    /// What was asked for; the payload is dropped when the job ends.
    pub spec: JobSpec,
    /// The digest of what was asked for, which tells a resend from another request.
    pub digest: SpecDigest,
    /// The rule of the class when the job was accepted.
    pub rule: ClassRule,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// When it was first started.
    pub first_start: Option<UnixMillis>,
    /// The number of the newest attempt; zero before the first.
    pub attempt: AttemptNumber,
    /// Attempts that failed.
    pub failures: u32,
    /// Where it stands.
    pub state: JobState,
}
