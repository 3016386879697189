//! The template of a customer: its guarantee, job classes and limits.

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

/// The urgency of a job class; later variants are more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassUrgency {
    /// Work that can wait overnight and is preempted first.
    Bulk,
    /// Ordinary work.
    Normal,
    /// Work that must start within [`ClassRule::start_within_ms`].
    Urgent,
}

/// The rules of one job class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The urgency of the class.
    pub urgency: ClassUrgency,
    /// The objective for the longest wait from acceptance to start.
    pub start_within_ms: DurationMs,
    /// The run time that is assumed if a job declares none.
    pub expected_run_ms: DurationMs,
    /// Whether a stopped task can resume from a checkpoint.
    pub checkpointable: bool,
    /// Whether a job may be started again if the outcome of its run is unknown.
    pub idempotent: bool,
    /// The number of failed attempts after which a job fails.
    pub attempt_limit: u32,
    /// The time for which an answer is kept for its caller.
    pub answer_retention_ms: DurationMs,
    /// The position in the order of preemption; lower positions are preempted first.
    #[serde(rename = "yield_order")]
    pub preemption_order: u32,
    /// The maximum number of waiting jobs of the class, in addition to the customer's limit.
    #[serde(default)]
    pub queue_limit: Option<u32>,
    /// The maximum average number of accepted jobs of the class per second, in addition to the
    /// customer's limit.
    #[serde(default)]
    pub rate_per_second: Option<u32>,
}

/// The loss of instances that a guarantee must tolerate.
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

/// The settings of an operator for one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerTemplate {
    /// The customer.
    pub customer: CustomerName,
    /// The guaranteed shapes: gangs that the customer can always run at the same time.
    pub guaranteed: Vec<GangShape>,
    /// The rank of the guarantee when not all can be kept; lower ranks are degraded last.
    pub degrade_rank: u32,
    /// The loss that the guarantee must tolerate.
    #[serde(default)]
    pub reserve: LossReserve,
    /// The maximum number of waiting jobs.
    pub queue_limit: u32,
    /// The maximum average number of accepted jobs per second.
    pub rate_per_second: u32,
    /// The job classes, by name.
    pub classes: BTreeMap<ClassName, ClassRule>,
}
