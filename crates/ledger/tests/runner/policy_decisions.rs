//! Scheduling decisions applied to the ledger: preemption, limits, quarantine, guarantees and
//! explanations.

use roseridge_ledger::{
    CommandOutcome,
    JobState,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    RefusalReason,
    StopReason,
    TemplateChange, //
};
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    ClassUrgency,
    CustomerName,
    CustomerTemplate,
    DomainName,
    GangShape,
    IncarnationId,
    JobId,
    JobOutcome,
    JobSpec,
    RackName,
    RequestKey,
    ResourceShape,
    TaskId,
    TaskOutcome,
    TaskPhase,
    TaskStatus,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_policy::{
    check_reclaim_plan,
    decide, //
};

use crate::samples;

const START_MS: u64 = 1_000;
/// Longer than the time after a new worker in which the ledger doesn't refuse oversized gangs.
const PAST_GROWTH_TIMEOUT_MS: u64 = 60_000;
const ACCELERATORS: u32 = 3;

struct PolicySimulation {
    ledger: LedgerState,
    now: u64,
    keys: u32,
}

fn gang(members: u16) -> GangShape {
    GangShape {
        members,
        member: ResourceShape {
            cores: 1,
            memory_mib: 1,
            accelerators: 1,
        },
        adjacency: AdjacencyRule::Any,
    }
}

fn worker(number: usize) -> WorkerName {
    WorkerName::parse(&format!("w{number}")).expect("a valid name")
}

/// Returns the sample template for another customer; the class `again` is urgent, all others are
/// bulk.
fn template(name: &str, guaranteed: Vec<GangShape>) -> CustomerTemplate {
    let mut template = samples::template(false);
    template.customer = CustomerName::parse(name).expect("a valid name");
    template.guaranteed = guaranteed;
    for (class, rule) in &mut template.classes {
        rule.urgency = match class.as_str() {
            "again" => ClassUrgency::Urgent,
            _ => ClassUrgency::Bulk,
        };
    }
    template
}

impl PolicySimulation {
    fn new(workers: usize, templates: Vec<CustomerTemplate>) -> Self {
        let ledger = LedgerState::default();
        let mut simulation = Self {
            ledger,
            now: START_MS,
            keys: 0,
        };
        for template in templates {
            let outcome = simulation.change_template(template);
            assert!(matches!(outcome, CommandOutcome::Changed { .. }));
        }
        for number in 0..workers {
            let shape = WorkerShape {
                domain: DomainName::parse("d").expect("a valid name"),
                rack: RackName::parse("r").expect("a valid name"),
                total: ResourceShape {
                    cores: 8,
                    memory_mib: 8,
                    accelerators: ACCELERATORS,
                },
                slots: 8,
                connections: 8,
            };
            simulation.apply(LedgerChange::AnnounceWorker {
                worker: worker(number),
                incarnation: IncarnationId(1),
                shape,
                found: Vec::new(),
                leaving: false,
            });
        }
        simulation.now += PAST_GROWTH_TIMEOUT_MS;
        simulation
    }

    fn apply(&mut self, change: LedgerChange) -> CommandOutcome {
        let at = UnixMillis(self.now);
        let index = self.ledger.applied + 1;
        self.ledger.apply(index, LedgerCommand { at, change })
    }

    fn change_template(&mut self, template: CustomerTemplate) -> CommandOutcome {
        self.keys += 1;
        let request = RequestKey::parse(&format!("t{}", self.keys)).expect("a valid key");
        let base = self.ledger.revision;
        self.apply(LedgerChange::ChangeTemplate(TemplateChange {
            request,
            base,
            template,
        }))
    }

    fn submit(&mut self, customer: &str, class: &str, gang: GangShape) -> CommandOutcome {
        self.keys += 1;
        self.apply(LedgerChange::Submit {
            customer: CustomerName::parse(customer).expect("a valid name"),
            key: RequestKey::parse(&format!("k{}", self.keys)).expect("a valid key"),
            spec: JobSpec {
                class: ClassName::parse(class).expect("a valid name"),
                gang,
                declared_run_ms: None,
                payload: String::new(),
            },
        })
    }

    fn submit_accepted(&mut self, customer: &str, class: &str, gang: GangShape) -> JobId {
        match self.submit(customer, class, gang) {
            CommandOutcome::Accepted { job } => job,
            outcome => panic!("not accepted: {outcome:?}"),
        }
    }

    fn decide(&mut self) {
        let decisions = decide(&self.ledger.view(UnixMillis(self.now)));
        self.apply(LedgerChange::Decide(decisions));
        let view = self.ledger.view(UnixMillis(self.now));
        assert_eq!(check_reclaim_plan(&view), Ok(()));
    }

    /// Reports all tasks of a worker as being in one phase.
    fn report(&mut self, number: usize, phase: &TaskPhase) {
        let tasks: Vec<TaskId> = self.ledger.workers[&worker(number)]
            .tasks
            .iter()
            .copied()
            .collect();
        let status = |task| TaskStatus {
            task,
            phase: phase.clone(),
        };
        self.apply(LedgerChange::Report {
            worker: worker(number),
            incarnation: IncarnationId(1),
            statuses: tasks.into_iter().map(status).collect(),
            leaving: false,
        });
    }

    fn stop_reason(&self, job: JobId) -> Option<StopReason> {
        match &self.ledger.jobs[&job].state {
            JobState::Placed(gang) => gang.stop.clone(),
            _ => None,
        }
    }

    fn is_placed(&self, job: JobId) -> bool {
        matches!(self.ledger.jobs[&job].state, JobState::Placed(_))
    }
}

/// Guards against guaranteed work that waits behind borrowed resources: the borrowing job is
/// preempted, requeued and explained to its own customer only.
#[test]
fn borrowing_job_is_preempted_and_requeued() {
    let templates = vec![template("a", vec![gang(2)]), template("b", Vec::new())];
    let mut simulation = PolicySimulation::new(2, templates);
    let borrowers: Vec<_> = (0..6)
        .map(|_| simulation.submit_accepted("b", "resume", gang(1)))
        .collect();
    simulation.decide();
    for number in 0..2 {
        simulation.report(number, &TaskPhase::Held);
    }
    let urgent = simulation.submit_accepted("a", "again", gang(1));
    simulation.decide();
    let stopped = borrowers
        .into_iter()
        .find(|job| simulation.stop_reason(*job).is_some());
    let stopped = stopped.expect("a borrowing job is preempted");
    let reason = StopReason::Preempted {
        in_favour_of: urgent,
    };
    assert_eq!(simulation.stop_reason(stopped), Some(reason));
    let now = UnixMillis(simulation.now);
    let explanation = simulation
        .ledger
        .explain(None, stopped, now)
        .expect("the job is known");
    assert_eq!(
        (explanation.stopped_for, explanation.preemptions),
        (Some(urgent), 1)
    );
    let other = CustomerName::parse("a").expect("a valid name");
    assert_eq!(
        simulation.ledger.explain(Some(&other), stopped, now),
        None,
        "other customers cannot see the job"
    );
    let task = simulation
        .ledger
        .workers
        .values()
        .flat_map(|w| &w.tasks)
        .find(|t| t.job == stopped);
    let task = *task.expect("its member is placed");
    let holder = simulation
        .ledger
        .workers
        .iter()
        .find(|(_, w)| w.tasks.contains(&task));
    let name = holder.expect("a worker has the task").0.clone();
    simulation.apply(LedgerChange::Report {
        worker: name,
        incarnation: IncarnationId(1),
        statuses: vec![TaskStatus {
            task,
            phase: TaskPhase::Ended(TaskOutcome::Stopped),
        }],
        leaving: false,
    });
    assert_eq!(simulation.ledger.jobs[&stopped].state, JobState::Waiting);
    simulation.decide();
    assert!(simulation.is_placed(urgent));
}

/// Guards against a job that waits forever because its gang exceeds the whole cluster.
#[test]
fn gang_too_large_for_cluster_is_refused() {
    let mut simulation = PolicySimulation::new(2, vec![template("a", Vec::new())]);
    let refused = CommandOutcome::Refused(RefusalReason::NeverFits);
    assert_eq!(simulation.submit("a", "resume", gang(7)), refused);
    simulation.submit_accepted("a", "resume", gang(6));
}

/// Guards against refusals for load that are wrong or give no usable retry delay.
#[test]
fn queue_and_rate_refusals_carry_retry_delay() {
    let mut limited = template("a", Vec::new());
    limited.rate_per_second = 1;
    let class = ClassName::parse("resume").expect("a valid name");
    limited
        .classes
        .get_mut(&class)
        .expect("the class exists")
        .queue_limit = Some(2);
    let mut simulation = PolicySimulation::new(1, vec![limited]);
    for _ in 0..2 {
        simulation.submit_accepted("a", "resume", gang(1));
    }
    let full = simulation.submit("a", "resume", gang(1));
    assert!(matches!(
        full,
        CommandOutcome::Refused(RefusalReason::QueueFull { .. })
    ));
    for _ in 0..2 {
        simulation.submit_accepted("a", "again", gang(1));
    }
    match simulation.submit("a", "again", gang(1)) {
        CommandOutcome::Refused(RefusalReason::RateExceeded { retry_after }) => {
            simulation.now += retry_after.0;
        }
        outcome => panic!("not refused: {outcome:?}"),
    }
    simulation.submit_accepted("a", "again", gang(1));
}

/// Guards against a broken worker that fails quickly and therefore receives ever more jobs.
#[test]
fn worker_whose_tasks_all_fail_is_quarantined() {
    let mut simulation = PolicySimulation::new(4, vec![template("a", Vec::new())]);
    for _ in 0..12 {
        simulation.submit_accepted("a", "resume", gang(1));
    }
    simulation.decide();
    simulation.report(0, &TaskPhase::Held);
    simulation.report(0, &TaskPhase::Ended(TaskOutcome::Failed("disk".to_owned())));
    assert_eq!(simulation.ledger.quarantined().len(), 1);
    simulation.now += 1_000;
    simulation.decide();
    assert!(simulation.ledger.workers[&worker(0)].tasks.is_empty());
}

/// Guards against the quarantine of healthy workers by a job that fails everywhere, and against a
/// job outcome that omits earlier failures.
#[test]
fn job_failed_on_several_workers_reports_all_reasons() {
    let mut simulation = PolicySimulation::new(4, vec![template("a", Vec::new())]);
    let job = simulation.submit_accepted("a", "again", gang(1));
    while simulation.ledger.jobs[&job].state == JobState::Waiting {
        simulation.now += 10_000;
        simulation.decide();
        for number in 0..4 {
            simulation.report(number, &TaskPhase::Held);
            let reason = format!("reason {number}");
            simulation.report(number, &TaskPhase::Ended(TaskOutcome::Failed(reason)));
        }
    }
    let JobState::Ended { outcome, .. } = &simulation.ledger.jobs[&job].state else {
        panic!("the job has not ended");
    };
    let JobOutcome::Failed(reason) = outcome else {
        panic!("the job has not failed: {outcome:?}");
    };
    assert_eq!(reason.matches("reason ").count(), 2, "{reason}");
    assert!(simulation.ledger.quarantined().is_empty());
}

/// Guards against guarantees that can't be satisfied after the loss of a worker.
#[test]
fn guarantee_above_cluster_capacity_is_refused() {
    let mut simulation = PolicySimulation::new(3, vec![template("a", vec![gang(3)])]);
    match simulation.change_template(template("b", vec![gang(4)])) {
        CommandOutcome::Refused(RefusalReason::UnsatisfiableGuarantee { misfit }) => {
            assert_eq!((misfit.customer.as_str(), misfit.accelerators), ("a", 3));
        }
        outcome => panic!("not refused: {outcome:?}"),
    }
    let fits = simulation.change_template(template("b", vec![gang(3)]));
    assert!(matches!(fits, CommandOutcome::Changed { .. }));
    let smaller = simulation.change_template(template("a", Vec::new()));
    assert!(matches!(smaller, CommandOutcome::Changed { .. }));
}
