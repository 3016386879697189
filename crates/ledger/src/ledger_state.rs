//! The whole state and the entry point of every command.

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
    CustomerTally,
    JobRecord,
    LedgerChange,
    LedgerCommand,
    PolicyState, //
};

/// What the ledger keeps of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRecord {
    /// What it offers.
    pub shape: WorkerShape,
    /// The agent's life that is in force.
    pub incarnation: IncarnationId,
    /// Whether the lease is held; a lost worker comes back by announcing itself.
    pub live: bool,
    /// Whether it receives no new work because it leaves.
    pub leaving: bool,
    /// The tasks that hold places on it.
    pub tasks: BTreeSet<TaskId>,
    /// The index of the last command that changed its orders.
    pub orders_index: u64,
    /// Earlier lives of the agent, newest last, which never come back.
    pub retired: Vec<IncarnationId>,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerState {
    /// The index of the last command applied.
    pub applied: u64,
    /// The newest time that a command carried.
    pub now: UnixMillis,
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// The templates.
    pub templates: BTreeMap<CustomerName, CustomerTemplate>,
    /// The answers to operators' changes, by their keys.
    pub template_requests: BTreeMap<RequestKey, (crate::TemplateChange, CommandOutcome)>,
    /// The jobs.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// The jobs that callers' keys stand for.
    pub keys: BTreeMap<(CustomerName, RequestKey), JobId>,
    /// The workers.
    pub workers: BTreeMap<WorkerName, WorkerRecord>,
    /// What the scheduling decisions rest on besides.
    pub policy: PolicyState,
    /// What operators asked for workers.
    pub drains: BTreeMap<WorkerName, crate::DrainRecord>,
    /// The flows and the backend servers that run them.
    pub flows: FlowState,
    pub(crate) last_job: JobId,
    /// What each customer's jobs add up to.
    pub(crate) tallies: BTreeMap<CustomerName, CustomerTally>,
    /// The jobs that have not ended.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// When to look at a job again: a hold that may have taken too long, or a job to forget.
    pub(crate) timers: BTreeSet<(UnixMillis, JobId)>,
}

impl LedgerState {
    /// Applies the command at a log index.
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
            LedgerChange::Decide(decisions) => self.follow_decisions(decisions),
            LedgerChange::AnnounceWorker {
                worker,
                incarnation,
                shape,
                found,
                leaving,
            } => {
                let life = (incarnation, leaving);
                self.announce_worker(worker, life, shape, found)
            }
            LedgerChange::Report {
                worker,
                incarnation,
                statuses,
                leaving,
            } => self.take_report(&worker, incarnation, statuses, leaving),
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

    /// Returns how many jobs of a customer wait for places.
    pub fn waiting_jobs(&self, customer: &CustomerName) -> usize {
        self.tallies.get(customer).map_or(0, |t| t.waiting)
    }

    /// Notes that the orders of a worker changed with the command that is being applied.
    pub(crate) fn touch_orders(&mut self, worker: &WorkerName) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.orders_index = self.applied;
        }
    }
}
