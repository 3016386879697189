//! A simulation of two ledger replicas with fake agents and a network that loses, duplicates and
//! reorders messages.

use roseridge_ledger::{
    CommandOutcome,
    JobState,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    TemplateChange, //
};
use roseridge_model::{
    ConfigRevision,
    IncarnationId,
    JobId,
    JobOutcome,
    RequestKey,
    TaskOutcome,
    TaskPhase,
    UnixMillis, //
};
use roseridge_policy::{
    PolicyDecision,
    decide, //
};

use crate::{
    fake_agent::FakeAgent,
    history_oracle::HistoryOracle,
    samples,
    simulation_step::SimulationStep, //
};

/// The time that passes in each iteration of [`LedgerSimulation::run_to_completion`], in
/// milliseconds. It lets retry backoffs and quarantines expire.
const COMPLETION_STEP_MS: u64 = 10_000;
/// The number of workers.
pub(crate) const WORKERS: usize = 3;

/// Two replicas of the ledger and their simulated surroundings.
pub(crate) struct LedgerSimulation {
    pub(crate) ledger: LedgerState,
    replica: LedgerState,
    pub(crate) oracle: HistoryOracle,
    agents: Vec<FakeAgent>,
    network: Vec<LedgerChange>,
    now: UnixMillis,
    last_incarnation: u64,
    changes: u64,
}

impl LedgerSimulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            ledger: LedgerState::default(),
            replica: LedgerState::default(),
            oracle: HistoryOracle::default(),
            agents: (0..WORKERS).map(|_| FakeAgent::default()).collect(),
            network: Vec::new(),
            now: UnixMillis(1_000),
            last_incarnation: 0,
            changes: 0,
        };
        simulation.change_template(false);
        for worker in 0..WORKERS {
            simulation.restart_agent(worker, false);
            simulation.apply_step(&SimulationStep::Announce { worker });
            simulation.deliver_all();
        }
        simulation
    }

    /// Applies one step; every command in it is checked by the oracle and on both replicas.
    pub(crate) fn apply_step(&mut self, step: &SimulationStep) {
        match *step {
            SimulationStep::Submit {
                key,
                class,
                members,
            } => self.submit(key, class, members),
            SimulationStep::Cancel { job } => {
                let job = self.pick_job(job);
                let customer = samples::customer();
                self.apply(LedgerChange::Cancel { customer, job });
            }
            SimulationStep::Decide => {
                let decisions = decide(&self.ledger.view(self.now));
                self.apply(LedgerChange::Decide(decisions));
            }
            SimulationStep::Preempt { job } => {
                let job = self.pick_job(job);
                let in_favour_of = JobId(0);
                let decision = PolicyDecision::Preempt { job, in_favour_of };
                self.apply(LedgerChange::Decide(vec![decision]));
            }
            SimulationStep::FollowOrders { worker } => self.follow_orders(worker),
            SimulationStep::Finish {
                worker,
                pick,
                fails,
            } => self.finish(worker, pick, fails),
            SimulationStep::Report { worker, leaving } => self.report(worker, leaving),
            SimulationStep::Announce { worker } => self.announce(worker),
            SimulationStep::Deliver { pick } => {
                if let Some(index) = self.pick_message(pick) {
                    let change = self.network.remove(index);
                    self.apply(change);
                }
            }
            SimulationStep::Duplicate { pick } => {
                if let Some(index) = self.pick_message(pick) {
                    let change = self.network[index].clone();
                    self.network.push(change);
                }
            }
            SimulationStep::Drop { pick } => {
                if let Some(index) = self.pick_message(pick) {
                    self.network.remove(index);
                }
            }
            SimulationStep::RestartAgent {
                worker,
                loses_tasks,
            } => self.restart_agent(worker, loses_tasks),
            SimulationStep::LoseWorker { worker } => self.lose_worker(worker),
            SimulationStep::ChangeTemplate { once_is_idempotent } => {
                self.change_template(once_is_idempotent);
            }
            SimulationStep::ReloadSnapshot => self.reload_snapshot(),
            SimulationStep::PassTime { millis } => self.now.0 += millis,
            SimulationStep::Expire => {
                self.apply(LedgerChange::Expire);
            }
        }
    }

    /// Runs all agents and the network without faults, and checks that every job ends.
    ///
    /// Agents of leaving workers are restarted with a new incarnation.
    pub(crate) fn run_to_completion(&mut self) {
        self.deliver_all();
        for worker in 0..WORKERS {
            if self.ledger.workers[&samples::worker(worker)].leaving {
                self.restart_agent(worker, false);
            }
            self.announce(worker);
        }
        for _ in 0..60 {
            self.restart_retired_agents();
            let mut jobs = self.ledger.jobs.values();
            if jobs.any(|j| !matches!(j.state, JobState::Ended { .. })) {
                self.now.0 += COMPLETION_STEP_MS;
            }
            self.apply_step(&SimulationStep::Decide);
            for worker in 0..WORKERS {
                self.follow_orders(worker);
                self.finish_all(worker);
                self.report(worker, false);
            }
            self.deliver_all();
        }
        let all_jobs = self.ledger.jobs.iter();
        let open: Vec<_> = all_jobs
            .filter(|(_, j)| !matches!(j.state, JobState::Ended { .. }))
            .collect();
        assert!(open.is_empty(), "never ended: {open:?}");
    }

    /// Applies a change to both replicas, checks that they agree and returns the outcome.
    pub(crate) fn apply(&mut self, change: LedgerChange) -> CommandOutcome {
        let command = LedgerCommand {
            at: self.now,
            change,
        };
        let index = self.ledger.applied + 1;
        let outcome = self.ledger.apply(index, command.clone());
        let replica_outcome = self.replica.apply(index, command.clone());
        assert_eq!(outcome, replica_outcome, "replicas differ on {command:?}");
        assert_eq!(self.ledger, self.replica, "replicas differ");
        self.oracle.observe(&command.change, &outcome, &self.ledger);
        outcome
    }

    /// Lets all agents exchange orders and reports with the ledger until only running tasks remain.
    pub(crate) fn synchronize_agents(&mut self) {
        for _ in 0..4 {
            for worker in 0..WORKERS {
                self.announce(worker);
                self.deliver_all();
                self.follow_orders(worker);
                self.report(worker, false);
                self.deliver_all();
            }
        }
    }

    /// Returns the name of a job's state.
    pub(crate) fn state_name(&self, job: JobId) -> &'static str {
        match &self.ledger.jobs[&job].state {
            JobState::Waiting => "waiting",
            JobState::Placed(gang) if gang.stop.is_some() => "stopping",
            JobState::Placed(gang) if gang.released.is_some() => "running",
            JobState::Placed(_) => "preparing",
            JobState::Ended { outcome, .. } => match outcome {
                JobOutcome::Done(_) | JobOutcome::AnswersDropped => "done",
                JobOutcome::Failed(_) => "failed",
                JobOutcome::NotRun(_) => "not run",
                JobOutcome::Cancelled => "cancelled",
                JobOutcome::Unknown(_) => "unknown",
            },
        }
    }

    /// Ends the first task of a worker with the given outcome.
    pub(crate) fn end_first_task(&mut self, worker: usize, end: TaskOutcome) {
        let phase = self.agents[worker].tasks.values_mut().next();
        *phase.expect("the worker has a task") = TaskPhase::Ended(end);
    }

    /// Ends and reports the first task of a worker with an answer that the oracle would reject.
    pub(crate) fn end_without_oracle(&mut self, worker: usize, end: TaskOutcome) {
        self.oracle = HistoryOracle::default();
        self.end_first_task(worker, end);
        self.report(worker, false);
        self.deliver_all();
        self.follow_orders(worker);
    }

    /// Restarts the agents whose incarnation the ledger has retired.
    fn restart_retired_agents(&mut self) {
        for worker in 0..WORKERS {
            let incarnation = IncarnationId(self.agents[worker].incarnation);
            let record = &self.ledger.workers[&samples::worker(worker)];
            if record.retired.contains(&incarnation) {
                self.restart_agent(worker, false);
                self.announce(worker);
            }
        }
    }

    fn submit(&mut self, key: u8, class: usize, members: u16) {
        self.apply(LedgerChange::Submit {
            customer: samples::customer(),
            key: samples::key(key),
            spec: samples::spec(class, members),
        });
    }

    /// Submits a gang of two members that don't fit on one worker together.
    pub(crate) fn submit_spread(&mut self) {
        let mut spec = samples::spec(0, 2);
        spec.gang.member.cores = 2;
        self.apply(LedgerChange::Submit {
            customer: samples::customer(),
            key: samples::key(0),
            spec,
        });
    }

    /// Lets every agent except one follow its orders and report.
    pub(crate) fn synchronize_except(&mut self, excluded: usize) {
        for worker in (0..WORKERS).filter(|w| *w != excluded) {
            self.follow_orders(worker);
            self.report(worker, false);
        }
        self.deliver_all();
    }

    fn pick_job(&self, pick: u64) -> JobId {
        JobId(1 + pick % (self.ledger.jobs.len() as u64 + 1))
    }

    fn pick_message(&self, pick: usize) -> Option<usize> {
        pick.checked_rem(self.network.len())
    }

    fn deliver_all(&mut self) {
        for change in std::mem::take(&mut self.network) {
            self.apply(change);
        }
    }

    /// Applies the current orders to an agent's tasks, if its incarnation is current and its lease
    /// valid.
    fn follow_orders(&mut self, worker: usize) {
        let name = samples::worker(worker);
        let agent = &mut self.agents[worker];
        let record = &self.ledger.workers[&name];
        if !record.live || record.incarnation.0 != agent.incarnation {
            return;
        }
        let orders = self.ledger.orders_for(&name, 0);
        let count = orders.len();
        assert!(
            count <= usize::from(samples::SLOTS),
            "more orders than slots"
        );
        for task in agent.apply_orders(&orders) {
            self.oracle.record_start(task);
        }
    }

    fn finish(&mut self, worker: usize, pick: usize, fails: bool) {
        self.agents[worker].finish(pick, fails);
    }

    fn finish_all(&mut self, worker: usize) {
        for _ in 0..self.agents[worker].tasks.len() {
            self.finish(worker, 0, false);
        }
    }

    fn report(&mut self, worker: usize, leaving: bool) {
        self.network.push(LedgerChange::Report {
            worker: samples::worker(worker),
            incarnation: IncarnationId(self.agents[worker].incarnation),
            statuses: self.agents[worker].statuses(),
            leaving,
        });
    }

    fn announce(&mut self, worker: usize) {
        self.network.push(LedgerChange::AnnounceWorker {
            worker: samples::worker(worker),
            incarnation: IncarnationId(self.agents[worker].incarnation),
            shape: samples::shape(),
            found: self.agents[worker].statuses(),
            leaving: false,
        });
    }

    fn restart_agent(&mut self, worker: usize, loses_tasks: bool) {
        self.last_incarnation += 1;
        let agent = &mut self.agents[worker];
        agent.incarnation = self.last_incarnation;
        if loses_tasks {
            agent.tasks.clear();
        }
    }

    /// Loses a worker. The agent's lease expires by its own clock before it expires at the leader.
    fn lose_worker(&mut self, worker: usize) {
        self.agents[worker].lose_lease();
        let name = samples::worker(worker);
        let incarnation = self.ledger.workers[&name].incarnation;
        self.apply(LedgerChange::LoseWorker {
            worker: name,
            incarnation,
        });
    }

    fn change_template(&mut self, once_is_idempotent: bool) {
        self.changes += 1;
        let request = RequestKey::parse(&format!("change-{}", self.changes)).expect("a valid key");
        let base: ConfigRevision = self.ledger.revision;
        self.apply(LedgerChange::ChangeTemplate(TemplateChange {
            request,
            base,
            template: samples::template(once_is_idempotent),
        }));
    }

    /// Serializes one replica and loads it again, as from a snapshot.
    fn reload_snapshot(&mut self) {
        let bytes = postcard::to_stdvec(&self.ledger).expect("the state can be serialized");
        let read: LedgerState =
            postcard::from_bytes(&bytes).expect("the state can be deserialized");
        assert_eq!(read, self.ledger);
        self.ledger = read;
    }
}
