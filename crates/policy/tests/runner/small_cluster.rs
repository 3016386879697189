//! A small simulated cluster on a virtual clock that applies decisions immediately.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    AdjacencyRule,
    ClassName,
    ClassRule,
    ClassUrgency,
    CustomerName,
    CustomerTemplate,
    DomainName,
    DurationMs,
    GangShape,
    JobId,
    LossReserve,
    RackName,
    ResourceShape,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_policy::{
    ClusterView,
    PlacedGang,
    PolicyDecision,
    PolicyMemory,
    WaitingJob,
    WorkerView,
    can_ever_start,
    check_reclaim_plan,
    decide, //
};

/// The number of accelerators of each worker.
pub(crate) const WORKER_ACCELERATORS: u32 = 4;
/// The number of workers in each rack.
pub(crate) const WORKERS_PER_RACK: usize = 2;
/// The simulated time within which [`SmallCluster::run_to_completion`] must end all jobs, in
/// milliseconds.
const MAX_COMPLETION_MS: u64 = 48 * 3_600_000;

#[derive(Debug, Clone)]
pub(crate) struct SmallJob {
    pub(crate) customer: CustomerName,
    pub(crate) class: ClassName,
    pub(crate) gang: GangShape,
    pub(crate) accepted: u64,
    pub(crate) placement: Vec<usize>,
    pub(crate) placed: u64,
    pub(crate) stopping: bool,
    pub(crate) run_ms: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct SmallCluster {
    pub(crate) now: u64,
    pub(crate) workers: Vec<(WorkerName, WorkerShape)>,
    pub(crate) live: Vec<bool>,
    pub(crate) templates: BTreeMap<CustomerName, CustomerTemplate>,
    pub(crate) memory: PolicyMemory,
    pub(crate) jobs: BTreeMap<JobId, SmallJob>,
    pub(crate) waiting: BTreeSet<JobId>,
    last_job: u64,
}

pub(crate) fn gang(members: u16, accelerators: u32, adjacency: AdjacencyRule) -> GangShape {
    let member = ResourceShape {
        cores: accelerators,
        memory_mib: 1,
        accelerators,
    };
    GangShape {
        members,
        member,
        adjacency,
    }
}

fn rule(urgency: ClassUrgency, checkpointable: bool, idempotent: bool) -> ClassRule {
    let minutes = match urgency {
        ClassUrgency::Urgent => 0,
        ClassUrgency::Normal => 60,
        ClassUrgency::Bulk => 240,
    };
    ClassRule {
        urgency,
        start_within_ms: DurationMs(minutes * 60_000 + 3_500),
        expected_run_ms: DurationMs(600_000),
        checkpointable,
        idempotent,
        attempt_limit: 3,
        answer_retention_ms: DurationMs(60_000),
        preemption_order: 0,
        queue_limit: None,
        rate_per_second: None,
    }
}

pub(crate) fn template(name: &str, rank: u32, guaranteed: Vec<GangShape>) -> CustomerTemplate {
    let classes = [
        ("urgent", rule(ClassUrgency::Urgent, false, true)),
        ("payment", rule(ClassUrgency::Urgent, false, false)),
        ("long", rule(ClassUrgency::Normal, true, true)),
        ("study", rule(ClassUrgency::Bulk, true, true)),
        ("once", rule(ClassUrgency::Bulk, false, false)),
    ];
    let classes = classes.map(|(n, r)| (ClassName::parse(n).expect("a valid name"), r));
    CustomerTemplate {
        customer: CustomerName::parse(name).expect("a valid name"),
        guaranteed,
        degrade_rank: rank,
        reserve: LossReserve::Worker,
        queue_limit: 100,
        rate_per_second: 100,
        classes: classes.into(),
    }
}

impl SmallCluster {
    pub(crate) fn new(workers: usize, templates: Vec<CustomerTemplate>) -> Self {
        let worker = |n: usize| {
            let shape = WorkerShape {
                domain: DomainName::parse("d").expect("a valid name"),
                rack: RackName::parse(&format!("r{}", n / WORKERS_PER_RACK)).expect("a valid name"),
                total: gang(1, WORKER_ACCELERATORS, AdjacencyRule::Any).member,
                slots: 8,
                connections: 8,
            };
            (
                WorkerName::parse(&format!("w{n}")).expect("a valid name"),
                shape,
            )
        };
        let mut cluster = Self {
            now: 1_000,
            workers: (0..workers).map(worker).collect(),
            live: vec![true; workers],
            templates: templates
                .into_iter()
                .map(|t| (t.customer.clone(), t))
                .collect(),
            memory: PolicyMemory::default(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            last_job: 0,
        };
        for worker in &mut cluster.workers {
            worker.1.total.memory_mib = 64;
        }
        cluster
    }

    /// Returns the free resources and slots of a worker.
    pub(crate) fn free_resources(&self, worker: usize) -> (ResourceShape, u16) {
        let shape = &self.workers[worker].1;
        let held = self
            .jobs
            .values()
            .flat_map(|j| j.placement.iter().map(move |p| (p, j)));
        held.filter(|(place, _)| **place == worker).fold(
            (shape.total, shape.slots),
            |(free, slots), (_, job)| {
                assert!(
                    free.can_hold(&job.gang.member) && slots > 0,
                    "a worker is overcommitted"
                );
                (free.minus(&job.gang.member), slots - 1)
            },
        )
    }

    pub(crate) fn view(&self) -> ClusterView<'_> {
        let rule = |job: &SmallJob| &self.templates[&job.customer].classes[&job.class];
        let placed = self.jobs.iter().filter(|(_, j)| !j.placement.is_empty());
        ClusterView {
            now: UnixMillis(self.now),
            templates: &self.templates,
            memory: &self.memory,
            workers: (0..self.workers.len())
                .map(|n| WorkerView {
                    free: self.free_resources(n).0,
                    free_slots: self.free_resources(n).1,
                    schedulable: self.live[n],
                    ..WorkerView::empty(&self.workers[n].0, &self.workers[n].1)
                })
                .collect(),
            waiting: self
                .waiting
                .iter()
                .map(|id| (id, &self.jobs[id]))
                .map(|(id, job)| WaitingJob {
                    job: *id,
                    customer: &job.customer,
                    class: &job.class,
                    rule: &self.templates[&job.customer].classes[&job.class],
                    gang: &job.gang,
                    accepted: UnixMillis(job.accepted),
                    declared_run: Some(DurationMs(job.run_ms)),
                })
                .collect(),
            placed: placed
                .map(|(id, job)| PlacedGang {
                    job: *id,
                    customer: &job.customer,
                    class: &job.class,
                    rule: rule(job),
                    gang: &job.gang,
                    workers: job.placement.clone(),
                    declared_run: Some(DurationMs(job.run_ms)),
                    placed: UnixMillis(job.placed),
                    released: true,
                    stopping: job.stopping,
                })
                .collect(),
        }
    }

    pub(crate) fn submit(&mut self, customer: &str, class: &str, gang: GangShape) -> JobId {
        self.last_job += 1;
        let job = SmallJob {
            customer: CustomerName::parse(customer).expect("a valid name"),
            class: ClassName::parse(class).expect("a valid name"),
            gang,
            accepted: self.now,
            placement: Vec::new(),
            placed: 0,
            stopping: false,
            run_ms: 600_000,
        };
        self.jobs.insert(JobId(self.last_job), job);
        self.waiting.insert(JobId(self.last_job));
        JobId(self.last_job)
    }

    /// Returns whether a gang could ever start.
    pub(crate) fn can_ever_start(&self, customer: &str, class: &str, gang: &GangShape) -> bool {
        let workers: Vec<_> = self.workers.iter().map(|(n, w)| (n, w)).collect();
        let customer = CustomerName::parse(customer).expect("a valid name");
        let class = ClassName::parse(class).expect("a valid name");
        can_ever_start(&self.templates, &workers, &customer, &class, gang)
    }

    /// Runs a scheduling pass, applies its decisions and checks that all guarantees can be
    /// reclaimed.
    pub(crate) fn decide(&mut self) -> Vec<PolicyDecision> {
        let decisions = decide(&self.view());
        for decision in decisions.clone() {
            match decision {
                PolicyDecision::Plan(plan) => self.memory.plan = plan,
                PolicyDecision::Preempt { job, in_favour_of } => {
                    self.memory.record_preemption(job, in_favour_of);
                    self.jobs.get_mut(&job).expect("a known job").stopping = true;
                }
                PolicyDecision::Place { job, workers } => self.place(job, &workers),
            }
        }
        let result = check_reclaim_plan(&self.view());
        assert_eq!(result, Ok(()), "after {decisions:?}");
        decisions
    }

    fn place(&mut self, job: JobId, names: &[WorkerName]) {
        let find = |name| self.workers.iter().position(|(n, _)| n == name);
        let placement: Vec<_> = names
            .iter()
            .map(|n| find(n).expect("a known worker"))
            .collect();
        self.memory.record_placement(job);
        assert!(self.waiting.remove(&job), "only waiting jobs are placed");
        let (now, live) = (self.now, &self.live);
        let record = self.jobs.get_mut(&job).expect("a known job");
        assert_eq!(
            placement.len(),
            usize::from(record.gang.members),
            "all members of a gang are placed"
        );
        assert!(
            placement.iter().all(|p| live[*p]),
            "only live workers receive jobs"
        );
        let share_group = |group: &dyn Fn(usize) -> usize| {
            placement
                .windows(2)
                .all(|pair| group(pair[0]) == group(pair[1]))
        };
        assert!(match record.gang.adjacency {
            AdjacencyRule::Worker => share_group(&|p| p),
            AdjacencyRule::Rack => share_group(&|p| p / WORKERS_PER_RACK),
            AdjacencyRule::Domain | AdjacencyRule::Any => true,
        });
        (record.placement, record.placed) = (placement, now);
        self.view();
    }

    /// Completes all requested stops and queues the stopped jobs again.
    pub(crate) fn complete_stops(&mut self) {
        for (id, job) in &mut self.jobs {
            if std::mem::take(&mut job.stopping) {
                job.placement.clear();
                self.waiting.insert(*id);
            }
        }
    }

    pub(crate) fn end_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.waiting.remove(&job);
        self.memory.forget_job(job);
    }

    /// Marks a worker as lost; jobs on it are queued again if they are idempotent, and end
    /// otherwise.
    pub(crate) fn lose_worker(&mut self, worker: usize) {
        self.live[worker] = false;
        let affected = self
            .jobs
            .iter()
            .filter(|(_, j)| j.placement.contains(&worker));
        for id in affected.map(|(id, _)| *id).collect::<Vec<_>>() {
            let job = self.jobs.get_mut(&id).expect("a known job");
            if self.templates[&job.customer].classes[&job.class].idempotent {
                (job.placement, job.stopping) = (Vec::new(), false);
                self.waiting.insert(id);
                let customer = job.customer.clone();
                self.memory
                    .schedule_retry(&customer, id, UnixMillis(self.now));
            } else {
                self.end_job(id);
            }
        }
    }

    /// Returns whether a job is placed and not being stopped.
    pub(crate) fn is_placed(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|j| !j.placement.is_empty() && !j.stopping)
    }

    /// Runs at most `passes` scheduling passes, completing all stops after each, and returns
    /// whether the job is placed by then.
    pub(crate) fn is_placed_within(&mut self, job: JobId, passes: usize) -> bool {
        (0..passes).any(|_| {
            self.decide();
            self.complete_stops();
            self.now += 500;
            self.is_placed(job)
        })
    }

    /// Advances time in steps of a minute, ending jobs whose run time has passed, until all jobs
    /// have ended.
    pub(crate) fn run_to_completion(&mut self) {
        let until = self.now + MAX_COMPLETION_MS;
        while !self.jobs.is_empty() && self.now < until {
            self.decide();
            self.complete_stops();
            self.now += 60_000;
            let has_completed =
                |j: &SmallJob| !j.placement.is_empty() && self.now >= j.placed + j.run_ms;
            let ended = self
                .jobs
                .iter()
                .filter(|(_, j)| has_completed(j))
                .map(|(id, _)| *id);
            for job in ended.collect::<Vec<_>>() {
                self.end_job(job);
            }
        }
        assert!(self.jobs.is_empty(), "jobs were starved: {:?}", self.jobs);
    }
}
