//! Where a revision of the configuration has arrived.

use roseridge_model::{
    ConfigRevision,
    DurationMs, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What kind of place a revision arrives at.
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

/// One place and the revision that it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutTarget {
    /// What kind of place it is.
    pub kind: RolloutTargetKind,
    /// Its name.
    pub name: String,
    /// The revision that it is known to have.
    pub revision: ConfigRevision,
    /// How long ago it was heard.
    pub age: DurationMs,
    /// How long after its acceptance the revision in force arrived, if this leader saw both.
    pub after: Option<DurationMs>,
}

/// Where the revision in force has arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutView {
    /// The revision in force.
    pub revision: ConfigRevision,
    /// The control replicas, and the entries and agents that were heard lately.
    #[serde(rename = "places")]
    pub targets: Vec<RolloutTarget>,
}
