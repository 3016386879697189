//! What is kept of a backend server and of the runs on it.

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

/// What a backend server offers and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendProfile {
    /// The instance; one life at a time is in force on it.
    pub instance: InstanceName,
    /// The kind of backend server.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The rack, if it is known.
    pub rack: Option<RackName>,
    /// All labels.
    pub labels: Vec<String>,
    /// What it offers altogether.
    pub shape: TaskShape,
}

/// Whether a backend server can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendStatus {
    /// It takes work.
    Ready,
    /// It takes no new work and leaves.
    Draining {
        /// When it may be gone.
        until: UnixMillis,
    },
    /// Its lease ended; it may come back.
    Lost {
        /// When.
        since: UnixMillis,
    },
    /// This life has ended.
    Ended {
        /// When.
        since: UnixMillis,
    },
}

/// A run that takes room on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// What it takes.
    pub shape: TaskShape,
    /// When it was placed.
    pub placed: UnixMillis,
    /// Why it is to stop, if it is.
    pub stop: Option<StopCause>,
}

/// How one run on a backend server went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// When it ended.
    pub at: UnixMillis,
    /// The queue of its flow.
    pub queue: QueueKey,
    /// The task's place in its flow, to tell one task's failures from many tasks'.
    pub run: RunKey,
    /// How long it took from its placement.
    pub took: DurationMs,
    /// What its caller estimated.
    pub estimate: DurationMs,
    /// Whether it was done; otherwise it failed.
    pub done: bool,
    /// Whether the task was one of a gang.
    pub in_gang: bool,
}

/// What is kept of one life of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendRecord {
    /// What it offers and where it is.
    pub profile: BackendProfile,
    /// Whether it can be used.
    #[serde(rename = "presence")]
    pub status: BackendStatus,
    /// The runs that take room on it.
    pub runs: BTreeMap<RunKey, RunRecord>,
    /// The index of the last change of its orders.
    pub orders_index: u64,
    /// The number of the last end that was taken note of.
    pub ends_seen: u64,
    /// How its last runs went, oldest first.
    #[serde(rename = "marks")]
    pub results: Vec<RunResult>,
}

/// The most marks that are kept of one backend server.
const MAX_MARKS: usize = 16;

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

    /// Returns whether the backend server holds a lease as far as is known.
    pub fn has_lease(&self) -> bool {
        matches!(
            self.status,
            BackendStatus::Ready | BackendStatus::Draining { .. }
        )
    }

    /// Returns what no run takes; a run that is being stopped still takes its room.
    pub fn free(&self) -> TaskShape {
        let shapes = self.runs.values().map(|run| run.shape);
        let used = shapes.fold(TaskShape::default(), |sum, shape| sum.plus(&shape));
        self.profile.shape.minus(&used)
    }

    pub(crate) fn record_result(&mut self, result: RunResult) {
        if self.results.len() >= MAX_MARKS {
            self.results.remove(0);
        }
        self.results.push(result);
    }
}
