//! The replicated state, and the function that applies commands to it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::FlowState;
use roseridge_model::{
    ConfigRevision,
    CustomerName,
    CustomerTemplate,
    IncarnationId,
    JobId,
    RequestKey,
    TaskId,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CommandOutcome,
    CustomerCounters,
    JobRecord,
    LedgerChange,
    LedgerCommand,
    PolicyState, //
};

/// The record of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRecord {
    /// The location, resources and slots that the worker offers.
    pub shape: WorkerShape,
    /// The current incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Whether the lease is valid; a lost worker becomes live again when it is announced
    /// again.
    pub live: bool,
    /// Whether the worker is leaving and receives no new work.
    pub leaving: bool,
    /// The tasks that hold resources on the worker.
    pub tasks: BTreeSet<TaskId>,
    /// The log index of the last command that changed the orders for the worker.
    pub orders_index: u64,
    /// Earlier incarnations of the agent, newest last, whose messages are refused.
    pub retired: Vec<IncarnationId>,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerState {
    /// The log index of the last applied command.
    pub applied: u64,
    /// The latest time that any command carried.
    pub now: UnixMillis,
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// The current templates.
    pub templates: BTreeMap<CustomerName, CustomerTemplate>,
    /// The latest template changes and their outcomes, by request key.
    pub template_requests: BTreeMap<RequestKey, (crate::TemplateChange, CommandOutcome)>,
    /// The jobs, including ended ones within their retention.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// The jobs by the idempotency keys of their submissions.
    pub keys: BTreeMap<(CustomerName, RequestKey), JobId>,
    /// The workers.
    pub workers: BTreeMap<WorkerName, WorkerRecord>,
    /// The state behind scheduling decisions, besides jobs and workers.
    pub policy: PolicyState,
    /// The drain state of workers.
    pub drains: BTreeMap<WorkerName, crate::DrainRecord>,
    /// The flows and the backend servers that run them.
    pub flows: FlowState,
    /// The id of the newest job.
    pub(crate) last_job: JobId,
    /// Counters over each customer's jobs.
    #[serde(rename = "tallies")]
    pub(crate) customer_counters: BTreeMap<CustomerName, CustomerCounters>,
    /// The jobs that have not ended.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// When to check a job again, because its hold may have timed out or its retention may be over.
    pub(crate) timers: BTreeSet<(UnixMillis, JobId)>,
}

impl LedgerState {
    /// Applies the command at a log index, which also becomes the index of the state.
    pub fn apply(&mut self, index: u64, command: LedgerCommand) -> CommandOutcome {
        self.applied = index;
        self.now = self.now.max(command.at);
        match command.change {
            LedgerChange::Submit {
                customer,
                key,
                spec,
            } => self.submit(customer, key, spec),
            LedgerChange::Cancel { customer, job } => self.cancel(&customer, job),
            LedgerChange::Decide(decisions) => self.apply_decisions(decisions),
            LedgerChange::AnnounceWorker {
                worker,
                incarnation,
                shape,
                found,
                leaving,
            } => {
                let agent = (incarnation, leaving);
                self.announce_worker(worker, agent, shape, found)
            }
            LedgerChange::Report {
                worker,
                incarnation,
                statuses,
                leaving,
            } => self.apply_report(&worker, incarnation, statuses, leaving),
            LedgerChange::LoseWorker {
                worker,
                incarnation,
            } => self.lose_worker(&worker, incarnation),
            LedgerChange::ChangeTemplate(change) => self.change_template(change),
            LedgerChange::Expire => self.expire(),
            LedgerChange::DrainWorker(change) => self.drain_worker(change),
            LedgerChange::Flow(change) => {
                CommandOutcome::Flow(self.flows.apply(index, self.now, change))
            }
        }
    }

    /// Returns the number of a customer's jobs that wait for a placement.
    pub fn waiting_job_count(&self, customer: &CustomerName) -> usize {
        self.customer_counters
            .get(customer)
            .map_or(0, |c| c.waiting)
    }

    /// Marks the orders for a worker as changed by the current command.
    pub(crate) fn mark_orders_changed(&mut self, worker: &WorkerName) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.orders_index = self.applied;
        }
    }
}
