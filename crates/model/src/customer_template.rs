//! The template of a customer: what it is guaranteed, its job classes and limits.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassName,
    CustomerName,
    DurationMs,
    GangShape, //
};

/// How urgent a class is; later variants are more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassUrgency {
    /// Work that can wait overnight and yields first.
    Bulk,
    /// Ordinary work.
    Normal,
    /// Work that must start within its start limit.
    Urgent,
}

/// The rules of one job class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// How urgent the class is.
    pub urgency: ClassUrgency,
    /// The longest wait from acceptance to start that is aimed at.
    pub start_within_ms: DurationMs,
    /// The run time that is assumed when a job declares none.
    pub expected_run_ms: DurationMs,
    /// Whether a task can be stopped and go on from a checkpoint.
    pub checkpointable: bool,
    /// Whether a job may be started again when its first run's end is unknown.
    pub idempotent: bool,
    /// Placements of a job that may fail before the job fails.
    pub attempt_limit: u32,
    /// How long an answer is kept for its caller.
    pub answer_retention_ms: DurationMs,
    /// The position in the order of yielding; lower positions are stopped first.
    #[serde(rename = "yield_order")]
    pub preemption_order: u32,
    /// Accepted jobs of the class that may wait at the same time, besides the customer's limit.
    #[serde(default)]
    pub queue_limit: Option<u32>,
    /// Jobs of the class that may be accepted in a second on average, besides the customer's limit.
    #[serde(default)]
    pub rate_per_second: Option<u32>,
}

/// The loss of machines that a guarantee must outlast.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum LossReserve {
    /// The loss of any one worker.
    #[default]
    Worker,
    /// The loss of any one failure domain.
    Domain,
}

/// Everything an operator sets for one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerTemplate {
    /// The customer.
    pub customer: CustomerName,
    /// The gangs that the customer can always have at once.
    pub guaranteed: Vec<GangShape>,
    /// The rank in which guarantees are kept when not all can be; lower ranks are kept longest.
    pub degrade_rank: u32,
    /// The loss that the guarantee must outlast.
    #[serde(default)]
    pub reserve: LossReserve,
    /// Accepted jobs that may wait at the same time.
    pub queue_limit: u32,
    /// Jobs that may be accepted in a second on average.
    pub rate_per_second: u32,
    /// The job classes.
    pub classes: BTreeMap<ClassName, ClassRule>,
}
