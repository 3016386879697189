//! The input of a scheduling pass: the state of workers, jobs and gangs at one time.

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

/// A worker and its free resources.
#[derive(Debug, Clone)]
pub struct WorkerView<'a> {
    /// The name of the worker.
    pub name: &'a WorkerName,
    /// Its total resources and its location.
    pub shape: &'a WorkerShape,
    /// The resources that no task holds.
    pub free: ResourceShape,
    /// The number of slots that no task holds.
    pub free_slots: u16,
    /// Whether it may receive new work.
    pub schedulable: bool,
}

/// A job that waits to be placed.
#[derive(Debug, Clone)]
pub struct WaitingJob<'a> {
    /// The job.
    pub job: JobId,
    /// The customer that owns the job.
    pub customer: &'a CustomerName,
    /// Its class.
    pub class: &'a ClassName,
    /// The rules of its class.
    pub rule: &'a ClassRule,
    /// The gang shape that it needs.
    pub gang: &'a GangShape,
    /// The time at which it was accepted.
    pub accepted: UnixMillis,
    /// The run time that its caller declared.
    pub declared_run: Option<DurationMs>,
}

/// A gang that holds resources on workers.
#[derive(Debug, Clone)]
pub struct PlacedGang<'a> {
    /// The job.
    pub job: JobId,
    /// The customer that owns the job.
    pub customer: &'a CustomerName,
    /// Its class.
    pub class: &'a ClassName,
    /// The rules of its class.
    pub rule: &'a ClassRule,
    /// The shape of the gang.
    pub gang: &'a GangShape,
    /// The workers of those of its members that have not ended, as positions in
    /// [`ClusterView::workers`].
    pub workers: Vec<usize>,
    /// The run time that its caller declared.
    pub declared_run: Option<DurationMs>,
    /// The time at which it was placed.
    pub placed: UnixMillis,
    /// Whether its members have been released to start.
    pub released: bool,
    /// Whether it is already being stopped.
    pub stopping: bool,
}

impl<'a> WorkerView<'a> {
    /// Returns the view of a schedulable worker on which nothing runs.
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
    /// Returns the run time that the caller declared, or else the expected run time of the class.
    pub fn run_time(&self) -> DurationMs {
        self.declared_run.unwrap_or(self.rule.expected_run_ms)
    }

    /// Returns the time by which the job should start according to its class.
    pub fn latest_start(&self) -> UnixMillis {
        self.accepted.plus(self.rule.start_within_ms)
    }
}

impl PlacedGang<'_> {
    /// Returns the run time that the caller declared, or else the expected run time of the class.
    pub fn run_time(&self) -> DurationMs {
        self.declared_run.unwrap_or(self.rule.expected_run_ms)
    }
}

/// The input of a scheduling pass.
#[derive(Debug, Clone)]
pub struct ClusterView<'a> {
    /// The current time.
    pub now: UnixMillis,
    /// The templates in force.
    pub templates: &'a BTreeMap<CustomerName, CustomerTemplate>,
    /// The state that earlier passes left.
    pub memory: &'a PolicyMemory,
    /// The workers, ordered by name.
    pub workers: Vec<WorkerView<'a>>,
    /// The waiting jobs, ordered by id.
    pub waiting: Vec<WaitingJob<'a>>,
    /// The placed gangs, ordered by job id.
    pub placed: Vec<PlacedGang<'a>>,
}
