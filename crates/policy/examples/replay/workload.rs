//! Reproducible job arrivals and faults.

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

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// The size of a cluster and the rate and shape of its jobs.
#[derive(Debug, Clone)]
pub(crate) struct ReplaySize {
    pub(crate) name: &'static str,
    workers: usize,
    cores: u32,
    slots: u16,
    customers: usize,
    duration_hours: u64,
    /// The mean time between two arrivals in the whole cluster, in milliseconds: urgent, large,
    /// bulk.
    mean_intervals_ms: [u64; 3],
    /// The number of members of the largest gang, with 8 accelerators each.
    max_large_members: u16,
    /// The maximum number of members of a bulk gang.
    max_bulk_members: u16,
    /// The base run time of a bulk job, in hours.
    bulk_run_hours: u64,
}

impl ReplaySize {
    pub(crate) fn all() -> [Self; 3] {
        let small = Self {
            name: "tuglink",
            workers: 10,
            cores: 64,
            slots: 8,
            customers: 4,
            duration_hours: 24,
            mean_intervals_ms: [20_000, 70 * MINUTE_MS, 3 * MINUTE_MS],
            max_large_members: 3,
            max_bulk_members: 4,
            bulk_run_hours: 1,
        };
        let benali = Self {
            name: "benali",
            cores: 32,
            mean_intervals_ms: [40_000, 50 * MINUTE_MS, 4 * MINUTE_MS],
            ..small.clone()
        };
        let future = Self {
            name: "future",
            workers: 590,
            slots: 24,
            customers: 44,
            duration_hours: 30,
            mean_intervals_ms: [30_000, 4 * MINUTE_MS, 90_000],
            max_large_members: 8,
            max_bulk_members: 64,
            bulk_run_hours: 12,
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
    /// The time of its arrival, in milliseconds since the start of the replay.
    pub(crate) arrival: u64,
    /// The declared run time, in milliseconds.
    pub(crate) declared: u64,
    /// The actual run time, in milliseconds.
    pub(crate) real: u64,
    /// Whether it fails on every worker.
    pub(crate) faulty: bool,
    /// Whether no worker can hold it.
    pub(crate) never_fits: bool,
}

pub(crate) struct Workload {
    pub(crate) workers: Vec<(WorkerName, WorkerShape)>,
    pub(crate) templates: Vec<CustomerTemplate>,
    pub(crate) jobs: Vec<ReplayJob>,
    /// The duration of the replay, in milliseconds.
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
        ClassUrgency::Normal => 2 * HOUR_MS,
        ClassUrgency::Bulk => 8 * HOUR_MS,
    };
    ClassRule {
        urgency,
        start_within_ms: DurationMs(start_within),
        expected_run_ms: DurationMs(HOUR_MS),
        checkpointable,
        idempotent,
        attempt_limit: 3,
        answer_retention_ms: DurationMs(HOUR_MS),
        preemption_order: order,
        queue_limit: None,
        rate_per_second: None,
    }
}

impl Workload {
    pub(crate) fn new(size: &ReplaySize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let horizon = size.duration_hours * HOUR_MS;
        let mut workload = Self {
            workers: (0..size.workers).map(|n| worker(size, n)).collect(),
            templates: (0..size.customers).map(template).collect(),
            jobs: Vec::new(),
            horizon,
        };
        for (kind, mean_interval_ms) in size.mean_intervals_ms.into_iter().enumerate() {
            let mut at = 0;
            loop {
                at += (-(1.0 - rng.random::<f64>()).ln() * mean_interval_ms as f64) as u64;
                if at >= horizon * 9 / 10 {
                    break;
                }
                let job = job(&workload, size, kind, at, &mut rng);
                workload.jobs.push(job);
            }
        }
        for burst in 1..size.duration_hours / 3 {
            let (at, kind, count) = match burst % 2 {
                0 => (burst * 3 * HOUR_MS, 1, size.workers / 3),
                _ => (burst * 3 * HOUR_MS, 2, 30),
            };
            for _ in 0..count.min(40) {
                let job = job(&workload, size, kind, at, &mut rng);
                workload.jobs.push(job);
            }
        }
        workload.jobs.sort_by_key(|j| j.arrival);
        workload
    }

    /// Returns the losses and recoveries of a worker and a rack, and a cancellation of waiting bulk
    /// jobs.
    pub(crate) fn faults(&self) -> Vec<(u64, ReplayEvent)> {
        let mut faults = vec![(10 * HOUR_MS, ReplayEvent::Cancel)];
        for (worker, at, hours) in [(4, 5, 1), (6, 13, 2), (7, 13, 2), (8, 13, 2)] {
            faults.push((at * HOUR_MS, ReplayEvent::LoseWorker(worker)));
            faults.push(((at + hours) * HOUR_MS, ReplayEvent::RecoverWorker(worker)));
        }
        faults
    }

    /// Returns whether a worker fails all tasks: one worker does so for 3 hours.
    pub(crate) fn is_failing(&self, worker: usize, at: u64) -> bool {
        worker == 1 && (16 * HOUR_MS..19 * HOUR_MS).contains(&at)
    }
}

fn worker(size: &ReplaySize, index: usize) -> (WorkerName, WorkerShape) {
    let name = WorkerName::parse(&format!("w{index:03}")).expect("a valid name");
    let rack = index / 3;
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

fn template(index: usize) -> CustomerTemplate {
    let mut guaranteed = vec![gang(4, 1, AdjacencyRule::Any)];
    match index % 4 {
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
        customer: CustomerName::parse(&format!("c{index:02}")).expect("a valid name"),
        guaranteed,
        degrade_rank: u32::try_from(index).unwrap_or_default(),
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
    // The first quarter of the customers submits half of the jobs, and its share of the other half.
    let customers = workload.templates.len();
    let large_customers = (customers / 4).max(1);
    let customer = match rng.random_bool(0.5) {
        true => rng.random_range(0..large_customers),
        false => rng.random_range(0..customers),
    };
    let (class, shape, base) = match (kind, rng.random_range(0..10)) {
        (0, 0..3) => ("payment", gang(1, 1, AdjacencyRule::Any), 5_000),
        (0, _) => ("replan", gang(1, 1, AdjacencyRule::Any), 4_000),
        (1, 0..4) => ("long", gang(1, 8, AdjacencyRule::Worker), HOUR_MS),
        (1, 4) if size.max_large_members > 3 => (
            "long",
            gang(size.max_large_members, 8, AdjacencyRule::Domain),
            6 * HOUR_MS,
        ),
        (1, _) => (
            "long",
            gang(size.max_large_members.min(3), 8, AdjacencyRule::Rack),
            HOUR_MS,
        ),
        (_, 0..5) => ("study", bulk_gang(size, rng), size.bulk_run_hours * HOUR_MS),
        (_, 5..8) => (
            "export",
            bulk_gang(size, rng),
            size.bulk_run_hours * HOUR_MS / 2,
        ),
        _ => ("ledger", gang(1, 1, AdjacencyRule::Any), 10 * MINUTE_MS),
    };
    let never_fits = kind == 2 && rng.random_bool(0.02);
    let shape = match never_fits {
        true => gang(2, 8, AdjacencyRule::Worker),
        false => shape,
    };
    let real = (base as f64 * rng.random_range(0.3..1.6)) as u64;
    let declaration_error = 10f64.powf(rng.random_range(-1.0..1.0));
    ReplayJob {
        customer: workload.templates[customer].customer.clone(),
        class: ClassName::parse(class).expect("a valid name"),
        gang: shape,
        arrival: at,
        declared: ((real as f64 * declaration_error) as u64).max(1),
        real,
        faulty: kind == 2 && rng.random_bool(0.02),
        never_fits,
    }
}

fn bulk_gang(size: &ReplaySize, rng: &mut impl Rng) -> GangShape {
    let members = rng.random_range(1..=size.max_bulk_members);
    let accelerators = u32::from(size.max_bulk_members <= 8 || rng.random_bool(0.4));
    gang(members, accelerators, AdjacencyRule::Any)
}

/// Returns the number of free accelerators, and the number of those in entirely free workers and
/// racks, each counted half.
pub(crate) fn unfragmented_capacity(
    workers: &[(WorkerName, WorkerShape)],
    free: &[(ResourceShape, u16)],
    live: &[bool],
) -> (f64, f64) {
    let (mut all, mut unfragmented, mut rack_sum, mut rack_is_free) = (0, 0, 0, true);
    for index in 0..workers.len() {
        let shape = &workers[index].1;
        let available = if live[index] {
            free[index].0.accelerators
        } else {
            0
        };
        let is_free = available == shape.total.accelerators;
        all += available;
        rack_sum += available;
        rack_is_free &= is_free;
        unfragmented += if is_free { available } else { 0 };
        let is_last_in_rack = workers
            .get(index + 1)
            .is_none_or(|next| next.1.rack != shape.rack);
        if is_last_in_rack {
            unfragmented += if rack_is_free && rack_sum > 8 {
                rack_sum
            } else {
                0
            };
            (rack_sum, rack_is_free) = (0, true);
        }
    }
    (f64::from(all), f64::from(unfragmented) / 2.0)
}
