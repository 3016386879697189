//! The records of backend servers and of the runs on them.

use std::collections::BTreeMap;

use roseridge_model::{
    DomainName,
    DurationMs,
    InstanceName,
    QueueKey,
    RackName,
    RunKey,
    ServiceName,
    TaskShape,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::StopCause;

/// The resources and the location of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendProfile {
    /// The instance; at most one incarnation at a time is in force on it.
    pub instance: InstanceName,
    /// The kind of backend server.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The rack, or `None` if it is unknown.
    pub rack: Option<RackName>,
    /// All labels of the worker.
    pub labels: Vec<String>,
    /// Its total resources.
    pub shape: TaskShape,
}

/// The status of a backend server, which decides whether tasks are placed on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendStatus {
    /// It takes new work.
    Ready,
    /// It takes no new work and is about to leave.
    Draining {
        /// The time from which it may be gone.
        until: UnixMillis,
    },
    /// Its lease expired; it may return.
    Lost {
        /// The time of the change to this status.
        since: UnixMillis,
    },
    /// This incarnation has ended and can't return.
    Ended {
        /// The time of the change to this status.
        since: UnixMillis,
    },
}

/// A run that uses resources of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// The resources that it uses.
    pub shape: TaskShape,
    /// The time of its placement.
    pub placed: UnixMillis,
    /// The cause for which it was ordered to stop, if it was.
    pub stop: Option<StopCause>,
}

/// The result of one run that was done or failed on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// The time at which its end was recorded.
    pub at: UnixMillis,
    /// The queue of its flow.
    pub queue: QueueKey,
    /// The run; its task distinguishes repeated failures of one task from failures of many tasks.
    pub run: RunKey,
    /// The time from its placement to its recorded end.
    pub took: DurationMs,
    /// The run time that its caller estimated.
    pub estimate: DurationMs,
    /// Whether the run was done; otherwise it failed.
    pub done: bool,
    /// Whether the task is a member of a gang.
    pub in_gang: bool,
}

/// The record of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendRecord {
    /// Its resources and its location.
    pub profile: BackendProfile,
    /// Its status.
    #[serde(rename = "presence")]
    pub status: BackendStatus,
    /// The runs that use its resources.
    pub runs: BTreeMap<RunKey, RunRecord>,
    /// The log index of the last change to its orders.
    pub orders_index: u64,
    /// The number of the last acknowledged completion.
    pub ends_seen: u64,
    /// The results of its last runs, oldest first.
    #[serde(rename = "marks")]
    pub results: Vec<RunResult>,
}

/// The maximum number of run results that are kept for one backend server.
const MAX_RESULTS: usize = 16;

impl BackendRecord {
    pub(crate) fn new(profile: BackendProfile) -> Self {
        Self {
            profile,
            status: BackendStatus::Ready,
            runs: BTreeMap::new(),
            orders_index: 0,
            ends_seen: 0,
            results: Vec::new(),
        }
    }

    /// Returns whether the backend server holds a lease, as far as this state records it.
    pub fn has_lease(&self) -> bool {
        self.lease_end().is_none()
    }

    /// Returns the time at which its lease was recorded as ended, or `None` while it holds one.
    pub fn lease_end(&self) -> Option<UnixMillis> {
        match self.status {
            BackendStatus::Lost { since } | BackendStatus::Ended { since } => Some(since),
            BackendStatus::Ready | BackendStatus::Draining { .. } => None,
        }
    }

    /// Returns the free resources; a run that is being stopped still counts as using its own.
    pub fn free(&self) -> TaskShape {
        let shapes = self.runs.values().map(|run| run.shape);
        let used = shapes.fold(TaskShape::default(), |sum, shape| sum.plus(&shape));
        self.profile.shape.minus(&used)
    }

    /// Adds the result of a run and drops the oldest one beyond [`MAX_RESULTS`].
    pub(crate) fn record_result(&mut self, result: RunResult) {
        if self.results.len() >= MAX_RESULTS {
            self.results.remove(0);
        }
        self.results.push(result);
    }
}
