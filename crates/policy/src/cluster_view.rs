//! What the decisions are taken from.

use std::collections::BTreeMap;

use roseridge_model::{
    ClassName,
    ClassRule,
    CustomerName,
    CustomerTemplate,
    DurationMs,
    GangShape,
    JobId,
    ResourceShape,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};

use crate::PolicyMemory;

/// One worker and what is free on it.
#[derive(Debug, Clone)]
pub struct WorkerView<'a> {
    /// The worker.
    pub name: &'a WorkerName,
    /// What it offers and where it stands.
    pub shape: &'a WorkerShape,
    /// What no task holds.
    pub free: ResourceShape,
    /// The slots that no task holds.
    pub free_slots: u16,
    /// Whether it may receive new work.
    pub schedulable: bool,
}

/// One job that waits for places.
#[derive(Debug, Clone)]
pub struct WaitingJob<'a> {
    /// The job.
    pub job: JobId,
    /// Whose job it is.
    pub customer: &'a CustomerName,
    /// Its class.
    pub class: &'a ClassName,
    /// The rules of its class.
    pub rule: &'a ClassRule,
    /// What it needs.
    pub gang: &'a GangShape,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// The run time that its caller declared.
    pub declared_run: Option<DurationMs>,
}

/// One gang that holds places.
#[derive(Debug, Clone)]
pub struct PlacedGang<'a> {
    /// The job.
    pub job: JobId,
    /// Whose job it is.
    pub customer: &'a CustomerName,
    /// Its class.
    pub class: &'a ClassName,
    /// The rules of its class.
    pub rule: &'a ClassRule,
    /// What it holds.
    pub gang: &'a GangShape,
    /// The workers of its members that have not ended yet, as positions in
    /// [`ClusterView::workers`].
    pub workers: Vec<usize>,
    /// The run time that its caller declared.
    pub declared_run: Option<DurationMs>,
    /// When its places were given.
    pub placed: UnixMillis,
    /// Whether its members were told to start.
    pub released: bool,
    /// Whether it is being stopped already.
    pub stopping: bool,
}

impl<'a> WorkerView<'a> {
    /// Returns an open worker on which nothing runs.
    pub fn empty(name: &'a WorkerName, shape: &'a WorkerShape) -> Self {
        Self {
            name,
            shape,
            free: shape.total,
            free_slots: shape.slots,
            schedulable: true,
        }
    }
}

impl WaitingJob<'_> {
    /// Returns the run time that the caller declared, or the one expected of the class.
    pub fn run(&self) -> DurationMs {
        self.declared_run.unwrap_or(self.rule.expected_run_ms)
    }

    /// Returns the time by which the job should have started.
    pub fn latest_start(&self) -> UnixMillis {
        self.accepted.plus(self.rule.start_within_ms)
    }
}

impl PlacedGang<'_> {
    /// Returns the run time that the caller declared, or the one expected of the class.
    pub fn run(&self) -> DurationMs {
        self.declared_run.unwrap_or(self.rule.expected_run_ms)
    }
}

/// Everything that the decisions are taken from.
#[derive(Debug, Clone)]
pub struct ClusterView<'a> {
    /// The time.
    pub now: UnixMillis,
    /// The templates in force.
    pub templates: &'a BTreeMap<CustomerName, CustomerTemplate>,
    /// What earlier rounds left.
    pub memory: &'a PolicyMemory,
    /// The workers, in the order of their names.
    pub workers: Vec<WorkerView<'a>>,
    /// The waiting jobs, in the order of their numbers.
    pub waiting: Vec<WaitingJob<'a>>,
    /// The placed gangs, in the order of their job numbers.
    pub placed: Vec<PlacedGang<'a>>,
}
