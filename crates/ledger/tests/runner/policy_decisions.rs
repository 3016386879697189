//! The decisions at work in the ledger: yields, limits, quarantine, guarantees and explanations.

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
/// Past the time in which a growing cluster admits everything.
const SETTLED_MS: u64 = 60_000;
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
    WorkerName::parse(&format!("w{number}")).expect("a name")
}

/// Returns the sample template under another name; its class `again` is urgent and `resume` bulk.
fn template(name: &str, guaranteed: Vec<GangShape>) -> CustomerTemplate {
    let mut template = samples::template(false);
    template.customer = CustomerName::parse(name).expect("a name");
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
                domain: DomainName::parse("d").expect("a name"),
                rack: RackName::parse("r").expect("a name"),
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
        simulation.now += SETTLED_MS;
        simulation
    }

    fn apply(&mut self, change: LedgerChange) -> CommandOutcome {
        let at = UnixMillis(self.now);
        let index = self.ledger.applied + 1;
        self.ledger.apply(index, LedgerCommand { at, change })
    }

    fn change_template(&mut self, template: CustomerTemplate) -> CommandOutcome {
        self.keys += 1;
        let request = RequestKey::parse(&format!("t{}", self.keys)).expect("a key");
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
            customer: CustomerName::parse(customer).expect("a name"),
            key: RequestKey::parse(&format!("k{}", self.keys)).expect("a key"),
            spec: JobSpec {
                class: ClassName::parse(class).expect("a name"),
                gang,
                declared_run_ms: None,
                payload: String::new(),
            },
        })
    }

    fn accepted(&mut self, customer: &str, class: &str, gang: GangShape) -> JobId {
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

    /// Reports every task of a worker in one phase.
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

#[test]
fn borrowed_work_yields_and_waits_again() {
    let templates = vec![template("a", vec![gang(2)]), template("b", Vec::new())];
    let mut simulation = PolicySimulation::new(2, templates);
    let studies: Vec<_> = (0..6)
        .map(|_| simulation.accepted("b", "resume", gang(1)))
        .collect();
    simulation.decide();
    for number in 0..2 {
        simulation.report(number, &TaskPhase::Held);
    }
    let urgent = simulation.accepted("a", "again", gang(1));
    simulation.decide();
    let stopped = studies
        .into_iter()
        .find(|job| simulation.stop_reason(*job).is_some());
    let stopped = stopped.expect("a study yields");
    let reason = StopReason::Preempted {
        in_favour_of: urgent,
    };
    assert_eq!(simulation.stop_reason(stopped), Some(reason));
    let now = UnixMillis(simulation.now);
    let told = simulation
        .ledger
        .explain(None, stopped, now)
        .expect("it is known");
    assert_eq!((told.stopped_for, told.preemptions), (Some(urgent), 1));
    let other = CustomerName::parse("a").expect("a name");
    assert_eq!(
        simulation.ledger.explain(Some(&other), stopped, now),
        None,
        "not for others to see"
    );
    let task = simulation
        .ledger
        .workers
        .values()
        .flat_map(|w| &w.tasks)
        .find(|t| t.job == stopped);
    let task = *task.expect("it holds a place");
    let on = simulation
        .ledger
        .workers
        .iter()
        .find(|(_, w)| w.tasks.contains(&task));
    let name = on.expect("a worker holds it").0.clone();
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

#[test]
fn a_gang_larger_than_any_place_is_refused() {
    let mut simulation = PolicySimulation::new(2, vec![template("a", Vec::new())]);
    let refused = CommandOutcome::Refused(RefusalReason::NeverFits);
    assert_eq!(simulation.submit("a", "resume", gang(7)), refused);
    simulation.accepted("a", "resume", gang(6));
}

#[test]
fn a_full_class_queue_and_a_high_rate_tell_when_to_come_back() {
    let mut limited = template("a", Vec::new());
    limited.rate_per_second = 1;
    let class = ClassName::parse("resume").expect("a name");
    limited
        .classes
        .get_mut(&class)
        .expect("a class")
        .queue_limit = Some(2);
    let mut simulation = PolicySimulation::new(1, vec![limited]);
    for _ in 0..2 {
        simulation.accepted("a", "resume", gang(1));
    }
    let full = simulation.submit("a", "resume", gang(1));
    assert!(matches!(
        full,
        CommandOutcome::Refused(RefusalReason::QueueFull { .. })
    ));
    for _ in 0..2 {
        simulation.accepted("a", "again", gang(1));
    }
    match simulation.submit("a", "again", gang(1)) {
        CommandOutcome::Refused(RefusalReason::RateExceeded { retry_after }) => {
            simulation.now += retry_after.0;
        }
        outcome => panic!("not refused: {outcome:?}"),
    }
    simulation.accepted("a", "again", gang(1));
}

#[test]
fn a_worker_that_fails_everything_gets_no_more_work() {
    let mut simulation = PolicySimulation::new(4, vec![template("a", Vec::new())]);
    for _ in 0..12 {
        simulation.accepted("a", "resume", gang(1));
    }
    simulation.decide();
    simulation.report(0, &TaskPhase::Held);
    simulation.report(0, &TaskPhase::Ended(TaskOutcome::Failed("disk".to_owned())));
    assert_eq!(simulation.ledger.quarantined().len(), 1);
    simulation.now += 1_000;
    simulation.decide();
    assert!(simulation.ledger.workers[&worker(0)].tasks.is_empty());
}

#[test]
fn a_job_that_fails_on_several_workers_ends_with_the_reasons() {
    let mut simulation = PolicySimulation::new(4, vec![template("a", Vec::new())]);
    let job = simulation.accepted("a", "again", gang(1));
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
        panic!("it has not ended");
    };
    let JobOutcome::Failed(reason) = outcome else {
        panic!("it has not failed: {outcome:?}");
    };
    assert_eq!(reason.matches("reason ").count(), 2, "{reason}");
    assert!(simulation.ledger.quarantined().is_empty());
}

#[test]
fn a_guarantee_beyond_the_workers_is_refused_and_a_smaller_one_accepted() {
    let mut simulation = PolicySimulation::new(3, vec![template("a", vec![gang(3)])]);
    match simulation.change_template(template("b", vec![gang(4)])) {
        CommandOutcome::Refused(RefusalReason::UnsatisfiableGuarantee { misfit }) => {
            assert_eq!((misfit.customer.as_str(), misfit.accelerators), ("a", 3));
        }
        outcome => panic!("not refused: {outcome:?}"),
    }
    let fits = simulation.change_template(template("b", vec![gang(3)]));
    assert!(matches!(fits, CommandOutcome::Changed { .. }));
    let less = simulation.change_template(template("a", Vec::new()));
    assert!(matches!(less, CommandOutcome::Changed { .. }));
}
