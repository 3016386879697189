//! The rollout of a configuration revision.

use roseridge_model::{
    ConfigRevision,
    DurationMs, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The kind of process that receives a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutTargetKind {
    /// A control replica.
    Replica,
    /// An entry.
    Entry,
    /// The agent of a worker.
    Worker,
}

/// One process that receives revisions, and the revision that it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutTarget {
    /// The kind of the process.
    pub kind: RolloutTargetKind,
    /// The name of the process.
    pub name: String,
    /// The newest revision that it is known to have.
    pub revision: ConfigRevision,
    /// The time since the last contact.
    pub age: DurationMs,
    /// The time from the acceptance of the revision in force to its arrival, if this leader
    /// observed both.
    pub after: Option<DurationMs>,
}

/// The rollout of the revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutView {
    /// The revision in force.
    pub revision: ConfigRevision,
    /// The control replicas, and the entries and agents with recent contact.
    #[serde(rename = "places")]
    pub targets: Vec<RolloutTarget>,
}
