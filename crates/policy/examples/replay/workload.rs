//! Reproducible arrivals and faults.

use rand::{
    Rng,
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
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
    LossReserve,
    RackName,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};

use crate::ReplayEvent;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

/// One size of a cluster and what it is asked for.
#[derive(Debug, Clone)]
pub(crate) struct ReplaySize {
    pub(crate) name: &'static str,
    workers: usize,
    cores: u32,
    slots: u16,
    customers: usize,
    hours: u64,
    /// Mean time between two jobs of the whole cluster, in milliseconds: urgent, large, bulk.
    gaps: [u64; 3],
    /// The largest gang, in members of eight accelerators, and the members of a bulk gang.
    large: u16,
    bulk: u16,
    bulk_hours: u64,
}

impl ReplaySize {
    pub(crate) fn all() -> [Self; 3] {
        let small = Self {
            name: "tuglink",
            workers: 10,
            cores: 64,
            slots: 8,
            customers: 4,
            hours: 24,
            gaps: [20_000, 70 * MINUTE, 3 * MINUTE],
            large: 3,
            bulk: 4,
            bulk_hours: 1,
        };
        let benali = Self {
            name: "benali",
            cores: 32,
            gaps: [40_000, 50 * MINUTE, 4 * MINUTE],
            ..small.clone()
        };
        let future = Self {
            name: "future",
            workers: 590,
            slots: 24,
            customers: 44,
            hours: 30,
            gaps: [30_000, 4 * MINUTE, 90_000],
            large: 8,
            bulk: 64,
            bulk_hours: 12,
            ..small.clone()
        };
        [small, benali, future]
    }
}

#[derive(Debug, Clone)]
pub(crate) struct ReplayJob {
    pub(crate) customer: CustomerName,
    pub(crate) class: ClassName,
    pub(crate) gang: GangShape,
    pub(crate) arrival: u64,
    pub(crate) declared: u64,
    pub(crate) real: u64,
    pub(crate) faulty: bool,
    pub(crate) hopeless: bool,
}

pub(crate) struct Workload {
    pub(crate) workers: Vec<(WorkerName, WorkerShape)>,
    pub(crate) templates: Vec<CustomerTemplate>,
    pub(crate) jobs: Vec<ReplayJob>,
    pub(crate) horizon: u64,
}

fn gang(members: u16, accelerators: u32, adjacency: AdjacencyRule) -> GangShape {
    let member = ResourceShape {
        cores: 2 + 3 * accelerators,
        memory_mib: 2_048 + 12_000 * u64::from(accelerators),
        accelerators,
    };
    GangShape {
        members,
        member,
        adjacency,
    }
}

fn rule(urgency: ClassUrgency, checkpointable: bool, idempotent: bool, order: u32) -> ClassRule {
    let start_within = match urgency {
        ClassUrgency::Urgent => 3_500,
        ClassUrgency::Normal => 2 * HOUR,
        ClassUrgency::Bulk => 8 * HOUR,
    };
    ClassRule {
        urgency,
        start_within_ms: DurationMs(start_within),
        expected_run_ms: DurationMs(HOUR),
        checkpointable,
        idempotent,
        attempt_limit: 3,
        answer_retention_ms: DurationMs(HOUR),
        preemption_order: order,
        queue_limit: None,
        rate_per_second: None,
    }
}

impl Workload {
    pub(crate) fn new(size: &ReplaySize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let horizon = size.hours * HOUR;
        let mut workload = Self {
            workers: (0..size.workers).map(|n| worker(size, n)).collect(),
            templates: (0..size.customers).map(template).collect(),
            jobs: Vec::new(),
            horizon,
        };
        for (kind, gap) in size.gaps.into_iter().enumerate() {
            let mut at = 0;
            loop {
                at += (-(1.0 - rng.random::<f64>()).ln() * gap as f64) as u64;
                if at >= horizon * 9 / 10 {
                    break;
                }
                let job = job(&workload, size, kind, at, &mut rng);
                workload.jobs.push(job);
            }
        }
        for burst in 1..size.hours / 3 {
            let (at, kind, count) = match burst % 2 {
                0 => (burst * 3 * HOUR, 1, size.workers / 3),
                _ => (burst * 3 * HOUR, 2, 30),
            };
            for _ in 0..count.min(40) {
                let job = job(&workload, size, kind, at, &mut rng);
                workload.jobs.push(job);
            }
        }
        workload.jobs.sort_by_key(|j| j.arrival);
        workload
    }

    /// Losses of a worker and a rack, and a wave of cancellations.
    pub(crate) fn faults(&self) -> Vec<(u64, ReplayEvent)> {
        let mut faults = vec![(10 * HOUR, ReplayEvent::Cancel)];
        for (worker, at, hours) in [(4, 5, 1), (6, 13, 2), (7, 13, 2), (8, 13, 2)] {
            faults.push((at * HOUR, ReplayEvent::Lose(worker)));
            faults.push(((at + hours) * HOUR, ReplayEvent::Return(worker)));
        }
        faults
    }

    /// One worker fails everything for three hours.
    pub(crate) fn is_bad(&self, worker: usize, at: u64) -> bool {
        worker == 1 && (16 * HOUR..19 * HOUR).contains(&at)
    }
}

fn worker(size: &ReplaySize, number: usize) -> (WorkerName, WorkerShape) {
    let name = WorkerName::parse(&format!("w{number:03}")).expect("a valid name");
    let rack = number / 3;
    let shape = WorkerShape {
        domain: DomainName::parse(&format!("d{}", rack % 3)).expect("a valid name"),
        rack: RackName::parse(&format!("r{rack}")).expect("a valid name"),
        total: ResourceShape {
            cores: size.cores,
            memory_mib: 130_000,
            accelerators: 8,
        },
        slots: size.slots,
        connections: 60,
    };
    (name, shape)
}

fn template(number: usize) -> CustomerTemplate {
    let mut guaranteed = vec![gang(4, 1, AdjacencyRule::Any)];
    match number % 4 {
        0 => guaranteed.push(gang(3, 8, AdjacencyRule::Rack)),
        1 => guaranteed.push(gang(1, 8, AdjacencyRule::Worker)),
        _ => {}
    }
    let classes = [
        ("replan", rule(ClassUrgency::Urgent, false, true, 3)),
        ("payment", rule(ClassUrgency::Urgent, false, false, 4)),
        ("long", rule(ClassUrgency::Normal, true, true, 2)),
        ("study", rule(ClassUrgency::Bulk, true, true, 1)),
        ("export", rule(ClassUrgency::Bulk, false, true, 0)),
        ("ledger", rule(ClassUrgency::Bulk, false, false, 5)),
    ];
    let classes = classes.map(|(n, r)| (ClassName::parse(n).expect("a valid name"), r));
    CustomerTemplate {
        customer: CustomerName::parse(&format!("c{number:02}")).expect("a valid name"),
        guaranteed,
        degrade_rank: u32::try_from(number).unwrap_or_default(),
        reserve: LossReserve::Worker,
        queue_limit: 10_000,
        rate_per_second: 1_000,
        classes: classes.into(),
    }
}

fn job(
    workload: &Workload,
    size: &ReplaySize,
    kind: usize,
    at: u64,
    rng: &mut impl Rng,
) -> ReplayJob {
    // A few customers are large: half of the work is of the first quarter.
    let customers = workload.templates.len();
    let few = (customers / 4).max(1);
    let customer = match rng.random_bool(0.5) {
        true => rng.random_range(0..few),
        false => rng.random_range(0..customers),
    };
    let (class, shape, base) = match (kind, rng.random_range(0..10)) {
        (0, 0..3) => ("payment", gang(1, 1, AdjacencyRule::Any), 5_000),
        (0, _) => ("replan", gang(1, 1, AdjacencyRule::Any), 4_000),
        (1, 0..4) => ("long", gang(1, 8, AdjacencyRule::Worker), HOUR),
        (1, 4) if size.large > 3 => ("long", gang(size.large, 8, AdjacencyRule::Domain), 6 * HOUR),
        (1, _) => (
            "long",
            gang(size.large.min(3), 8, AdjacencyRule::Rack),
            HOUR,
        ),
        (_, 0..5) => ("study", bulk_gang(size, rng), size.bulk_hours * HOUR),
        (_, 5..8) => ("export", bulk_gang(size, rng), size.bulk_hours * HOUR / 2),
        _ => ("ledger", gang(1, 1, AdjacencyRule::Any), 10 * MINUTE),
    };
    let hopeless = kind == 2 && rng.random_bool(0.02);
    let shape = match hopeless {
        true => gang(2, 8, AdjacencyRule::Worker),
        false => shape,
    };
    let real = (base as f64 * rng.random_range(0.3..1.6)) as u64;
    let off = 10f64.powf(rng.random_range(-1.0..1.0));
    ReplayJob {
        customer: workload.templates[customer].customer.clone(),
        class: ClassName::parse(class).expect("a valid name"),
        gang: shape,
        arrival: at,
        declared: ((real as f64 * off) as u64).max(1),
        real,
        faulty: kind == 2 && rng.random_bool(0.02),
        hopeless,
    }
}

fn bulk_gang(size: &ReplaySize, rng: &mut impl Rng) -> GangShape {
    let members = rng.random_range(1..=size.bulk);
    let accelerators = u32::from(size.bulk <= 8 || rng.random_bool(0.4));
    gang(members, accelerators, AdjacencyRule::Any)
}

/// Returns the free accelerators, and those in whole workers and racks, each counted half.
pub(crate) fn whole_room(
    workers: &[(WorkerName, WorkerShape)],
    free: &[(ResourceShape, u16)],
    live: &[bool],
) -> (f64, f64) {
    let (mut all, mut whole, mut rack_sum, mut rack_whole) = (0, 0, 0, true);
    for number in 0..workers.len() {
        let shape = &workers[number].1;
        let available = if live[number] {
            free[number].0.accelerators
        } else {
            0
        };
        let is_whole = available == shape.total.accelerators;
        all += available;
        rack_sum += available;
        rack_whole &= is_whole;
        whole += if is_whole { available } else { 0 };
        let ends = workers
            .get(number + 1)
            .is_none_or(|next| next.1.rack != shape.rack);
        if ends {
            whole += if rack_whole && rack_sum > 8 {
                rack_sum
            } else {
                0
            };
            (rack_sum, rack_whole) = (0, true);
        }
    }
    (f64::from(all), f64::from(whole) / 2.0)
}
