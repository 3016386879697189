//! A small cluster on a virtual clock: what the decisions say happens at once.

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

/// The accelerators of each worker, and the workers of each rack.
pub(crate) const ACCELERATORS: u32 = 4;
pub(crate) const RACK: usize = 2;
/// The longest time that [`SmallCluster::drain`] gives, in milliseconds.
const DRAIN_MS: u64 = 48 * 3_600_000;

#[derive(Debug, Clone)]
pub(crate) struct SmallJob {
    pub(crate) customer: CustomerName,
    pub(crate) class: ClassName,
    pub(crate) gang: GangShape,
    pub(crate) accepted: u64,
    pub(crate) places: Vec<usize>,
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
    last: u64,
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
    let classes = classes.map(|(n, r)| (ClassName::parse(n).expect("a name"), r));
    CustomerTemplate {
        customer: CustomerName::parse(name).expect("a name"),
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
                domain: DomainName::parse("d").expect("a name"),
                rack: RackName::parse(&format!("r{}", n / RACK)).expect("a name"),
                total: gang(1, ACCELERATORS, AdjacencyRule::Any).member,
                slots: 8,
                connections: 8,
            };
            (WorkerName::parse(&format!("w{n}")).expect("a name"), shape)
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
            last: 0,
        };
        for worker in &mut cluster.workers {
            worker.1.total.memory_mib = 64;
        }
        cluster
    }

    pub(crate) fn free(&self, worker: usize) -> (ResourceShape, u16) {
        let shape = &self.workers[worker].1;
        let held = self
            .jobs
            .values()
            .flat_map(|j| j.places.iter().map(move |p| (p, j)));
        held.filter(|(place, _)| **place == worker).fold(
            (shape.total, shape.slots),
            |(free, slots), (_, job)| {
                assert!(
                    free.can_hold(&job.gang.member) && slots > 0,
                    "a worker is overfull"
                );
                (free.minus(&job.gang.member), slots - 1)
            },
        )
    }

    pub(crate) fn view(&self) -> ClusterView<'_> {
        let rule = |job: &SmallJob| &self.templates[&job.customer].classes[&job.class];
        let placed = self.jobs.iter().filter(|(_, j)| !j.places.is_empty());
        ClusterView {
            now: UnixMillis(self.now),
            templates: &self.templates,
            memory: &self.memory,
            workers: (0..self.workers.len())
                .map(|n| WorkerView {
                    free: self.free(n).0,
                    free_slots: self.free(n).1,
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
                    workers: job.places.clone(),
                    declared_run: Some(DurationMs(job.run_ms)),
                    placed: UnixMillis(job.placed),
                    released: true,
                    stopping: job.stopping,
                })
                .collect(),
        }
    }

    pub(crate) fn submit(&mut self, customer: &str, class: &str, gang: GangShape) -> JobId {
        self.last += 1;
        let job = SmallJob {
            customer: CustomerName::parse(customer).expect("a name"),
            class: ClassName::parse(class).expect("a name"),
            gang,
            accepted: self.now,
            places: Vec::new(),
            placed: 0,
            stopping: false,
            run_ms: 600_000,
        };
        self.jobs.insert(JobId(self.last), job);
        self.waiting.insert(JobId(self.last));
        JobId(self.last)
    }

    /// Returns whether a gang could ever start.
    pub(crate) fn admits(&self, customer: &str, class: &str, gang: &GangShape) -> bool {
        let workers: Vec<_> = self.workers.iter().map(|(n, w)| (n, w)).collect();
        let customer = CustomerName::parse(customer).expect("a name");
        let class = ClassName::parse(class).expect("a name");
        can_ever_start(&self.templates, &workers, &customer, &class, gang)
    }

    /// Takes one round of decisions, follows it and checks that the reclaim plan holds.
    pub(crate) fn decide(&mut self) -> Vec<PolicyDecision> {
        let decisions = decide(&self.view());
        for decision in decisions.clone() {
            match decision {
                PolicyDecision::Plan(plan) => self.memory.plan = plan,
                PolicyDecision::Preempt { job, in_favour_of } => {
                    self.memory.record_preemption(job, in_favour_of);
                    self.jobs.get_mut(&job).expect("a job").stopping = true;
                }
                PolicyDecision::Place { job, workers } => self.place(job, &workers),
            }
        }
        let broken = check_reclaim_plan(&self.view());
        assert_eq!(broken, Ok(()), "after {decisions:?}");
        decisions
    }

    fn place(&mut self, job: JobId, names: &[WorkerName]) {
        let find = |name| self.workers.iter().position(|(n, _)| n == name);
        let places: Vec<_> = names.iter().map(|n| find(n).expect("a worker")).collect();
        self.memory.record_placement(job);
        assert!(self.waiting.remove(&job), "only waiting jobs are placed");
        let (now, live) = (self.now, &self.live);
        let record = self.jobs.get_mut(&job).expect("a job");
        assert_eq!(
            places.len(),
            usize::from(record.gang.members),
            "a gang is placed whole"
        );
        assert!(
            places.iter().all(|p| live[*p]),
            "only live workers get work"
        );
        let together = |group: &dyn Fn(usize) -> usize| {
            places
                .windows(2)
                .all(|pair| group(pair[0]) == group(pair[1]))
        };
        assert!(match record.gang.adjacency {
            AdjacencyRule::Worker => together(&|p| p),
            AdjacencyRule::Rack => together(&|p| p / RACK),
            AdjacencyRule::Domain | AdjacencyRule::Any => true,
        });
        (record.places, record.placed) = (places, now);
        self.view();
    }

    /// Ends the stops that were asked for.
    pub(crate) fn finish_stops(&mut self) {
        for (id, job) in &mut self.jobs {
            if std::mem::take(&mut job.stopping) {
                job.places.clear();
                self.waiting.insert(*id);
            }
        }
    }

    pub(crate) fn end(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.waiting.remove(&job);
        self.memory.forget_job(job);
    }

    /// Queues again, or ends, what stood on a worker that is lost.
    pub(crate) fn lose(&mut self, worker: usize) {
        self.live[worker] = false;
        let hit = self.jobs.iter().filter(|(_, j)| j.places.contains(&worker));
        for id in hit.map(|(id, _)| *id).collect::<Vec<_>>() {
            let job = self.jobs.get_mut(&id).expect("a job");
            if self.templates[&job.customer].classes[&job.class].idempotent {
                (job.places, job.stopping) = (Vec::new(), false);
                self.waiting.insert(id);
                let customer = job.customer.clone();
                self.memory
                    .schedule_retry(&customer, id, UnixMillis(self.now));
            } else {
                self.end(id);
            }
        }
    }

    pub(crate) fn is_placed(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|j| !j.places.is_empty() && !j.stopping)
    }

    /// Decides, with stops that end, until a job is placed; returns whether it is within some rounds.
    pub(crate) fn settles(&mut self, job: JobId, rounds: usize) -> bool {
        (0..rounds).any(|_| {
            self.decide();
            self.finish_stops();
            self.now += 500;
            self.is_placed(job)
        })
    }

    /// Lets time pass in steps of a minute, with runs that end, until every job has ended.
    pub(crate) fn drain(&mut self) {
        let until = self.now + DRAIN_MS;
        while !self.jobs.is_empty() && self.now < until {
            self.decide();
            self.finish_stops();
            self.now += 60_000;
            let over = |j: &SmallJob| !j.places.is_empty() && self.now >= j.placed + j.run_ms;
            let ended = self.jobs.iter().filter(|(_, j)| over(j)).map(|(id, _)| *id);
            for job in ended.collect::<Vec<_>>() {
                self.end(job);
            }
        }
        assert!(self.jobs.is_empty(), "starved: {:?}", self.jobs);
    }
}
