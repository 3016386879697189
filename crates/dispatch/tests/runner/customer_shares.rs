//! The shares of customers that compete, and the promise that both schedulers keep.

use proptest::prelude::*;
use roseridge_dispatch::CustomerShare;
use roseridge_flow::{
    RunOutcome,
    TaskPhase, //
};
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    ClassRule,
    ClassUrgency,
    CustomerTemplate,
    DomainName,
    DurationMs,
    FlowId,
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
    WorkerView, //
};

use crate::small_site::{
    SmallSite,
    customer,
    step, //
};

/// The time between two scheduling passes, in milliseconds.
const PASS_MS: u64 = 1_000;
/// The run time of every task, in milliseconds.
const RUN_MS: u64 = 8_000;
/// The number of passes in the window over which the shares hold.
const WINDOW_PASSES: u64 = 30;
const TEN_CUSTOMERS: [u32; 10] = [0; 10];

/// Ends the tasks that have run for their time, decides, and advances the clock by one pass.
fn run_pass(site: &mut SmallSite) {
    let mut ended = Vec::new();
    for (id, flow) in site.flows.open_flows() {
        for (index, task) in (0..).zip(&flow.rounds[0].steps[0].tasks) {
            match task.phase {
                TaskPhase::Placed { at, .. } if site.now.since(at).0 >= RUN_MS => {
                    ended.push((id.0, index));
                }
                _ => {}
            }
        }
    }
    for (flow, index) in ended {
        site.end_run(flow, index, RunOutcome::Done);
    }
    site.decide();
    site.advance_clock(PASS_MS);
}

/// Returns the number of tasks of a customer that have been placed.
fn started_tasks(site: &SmallSite, number: usize) -> usize {
    let flows = site.flows.flows.values();
    let own = flows.filter(|flow| flow.customer == Some(customer(number)));
    let tasks = own.flat_map(|flow| &flow.rounds[0].steps[0].tasks);
    tasks.filter(|task| task.last_run > 0).count()
}

fn share_of(site: &SmallSite, number: usize) -> CustomerShare {
    let mut shares = site.shares().into_iter();
    let share = shares.find(|s| s.customer == Some(customer(number)));
    share.expect("the customer has work")
}

/// Guards against one customer's backlog postponing the work of all others, and against idle workers
/// while a customer beyond its share could use them.
#[test]
fn burst_of_one_customer_does_not_postpone_the_others() {
    let mut site = SmallSite::with_guarantees(&[10], &TEN_CUSTOMERS);
    // The burst is 960 s of work, and each of its flows is worth more for its work than those below.
    for flow in 0..40 {
        site.submit(flow, 1, 0, vec![step(3, 8)]);
    }
    run_pass(&mut site);
    assert_eq!(started_tasks(&site, 0), 10, "idle workers are used");
    for owner in 1..10 {
        site.submit(100 + owner as u64, 1, owner, vec![step(4, 8)]);
    }
    assert!(share_of(&site, 0).exceeds_entitlement());
    // The flows of the others are due after 49 s: three times two waves of 8 s, plus 1 s.
    for _ in 0..49 {
        run_pass(&mut site);
    }
    let started: Vec<_> = (0..10).map(|owner| started_tasks(&site, owner)).collect();
    assert_eq!(
        &started[1..],
        [4; 9],
        "started tasks by customer: {started:?}"
    );
}

/// Guards against a share that is reserved for a customer that doesn't ask for it.
#[test]
fn share_that_is_not_asked_for_goes_to_the_others() {
    let mut site = SmallSite::new(&[10]);
    for flow in 0..20 {
        site.submit(flow, 1, 0, vec![step(4, 8)]);
        site.submit(100 + flow, 1, 1, vec![step(4, 8)]);
    }
    site.submit(200, 1, 2, vec![step(1, 8)]);
    let [first, second, small] = [0, 1, 2].map(|owner| share_of(&site, owner));
    assert_eq!(small.entitled, small.open);
    assert!((first.entitled - second.entitled).abs() < 1e-6);
    // Ten workers for 30 s, of which 85 percent are usable.
    let total = first.entitled + second.entitled + small.entitled;
    assert!((total - 255.0).abs() < 1e-6, "{total}");
}

/// Guards against shares that change the order of a customer that competes with nobody.
#[test]
fn order_of_a_single_customer_ignores_shares() {
    let mut site = SmallSite::with_guarantees(&[2], &TEN_CUSTOMERS);
    for flow in 0..40 {
        site.submit(flow, 1, 0, vec![step(1, 8)]);
    }
    let places = site.decide().places;
    let flows: Vec<_> = places.iter().map(|p| p.tasks[0].0.flow).collect();
    // Thirty of the flows can't be on time any more and are postponed, the first of equals first.
    assert_eq!(flows, [FlowId(30), FlowId(31)]);
}

/// Guards against work in the window that is counted wrongly, or still counted after the window.
#[test]
fn work_counts_while_it_is_in_the_window() {
    let mut site = SmallSite::new(&[4]);
    for flow in 0..10 {
        site.submit(flow, 1, 0, vec![step(2, 8)]);
    }
    for _ in 0..13 {
        run_pass(&mut site);
    }
    // Four workers have run for 13 s.
    let used = share_of(&site, 0).used;
    assert!((used - 52.0).abs() < 8.0, "{used}");
    (0..10).for_each(|flow| site.cancel(flow));
    site.advance_clock(40_000);
    site.submit(100, 1, 1, vec![step(1, 8)]);
    let shares = site.shares().into_iter();
    let used: f64 = shares.map(|share| share.used).sum();
    assert!(used < 1e-9, "{used}");
}

/// The demand of a customer in tasks that need a whole worker, and its guarantee in whole workers.
#[derive(Debug, Clone, Copy)]
struct CustomerDemand {
    tasks: usize,
    guaranteed: u32,
}

/// Replays a window of the flows' scheduler, and returns the tasks that each customer has started and the
/// number that its share covers.
fn replay_flows(workers: usize, demands: &[CustomerDemand]) -> Vec<(usize, usize)> {
    let guaranteed: Vec<_> = demands.iter().map(|d| d.guaranteed * 8).collect();
    let mut site = SmallSite::with_guarantees(&[workers], &guaranteed);
    for (owner, demand) in demands.iter().enumerate() {
        for task in 0..demand.tasks {
            site.submit((owner * 100 + task) as u64, 1, owner, vec![step(1, 8)]);
        }
    }
    let shares = site.shares();
    for _ in 0..WINDOW_PASSES {
        run_pass(&mut site);
    }
    let started = (0..demands.len()).map(|owner| {
        let share = shares.iter().find(|s| s.customer == Some(customer(owner)));
        let entitled = share.map_or(0.0, |s| s.entitled / (RUN_MS as f64 / 1_000.0));
        (started_tasks(&site, owner), entitled as usize)
    });
    started.collect()
}

/// Replays the same window on the jobs' scheduler, and returns the jobs that each customer has started.
fn replay_jobs(workers: usize, demands: &[CustomerDemand]) -> Vec<usize> {
    let gang = GangShape {
        members: 1,
        member: ResourceShape {
            cores: 1,
            memory_mib: 1,
            accelerators: 1,
        },
        adjacency: AdjacencyRule::Any,
    };
    let class = ClassName::parse("long").expect("the name is valid");
    let rule = ClassRule {
        urgency: ClassUrgency::Normal,
        start_within_ms: DurationMs(3_600_000),
        expected_run_ms: DurationMs(RUN_MS),
        checkpointable: true,
        idempotent: true,
        attempt_limit: 3,
        answer_retention_ms: DurationMs(60_000),
        preemption_order: 0,
        queue_limit: None,
        rate_per_second: None,
    };
    let templates = demands.iter().enumerate().map(|(owner, demand)| {
        let template = CustomerTemplate {
            customer: customer(owner),
            guaranteed: vec![gang; demand.guaranteed as usize],
            degrade_rank: 0,
            reserve: LossReserve::Worker,
            queue_limit: 100,
            rate_per_second: 100,
            classes: [(class.clone(), rule.clone())].into(),
        };
        (customer(owner), template)
    });
    let templates = templates.collect();
    let shape = WorkerShape {
        domain: DomainName::parse("d").expect("the name is valid"),
        rack: RackName::parse("r").expect("the name is valid"),
        total: gang.member,
        slots: 1,
        connections: 8,
    };
    let names: Vec<_> = (0..workers)
        .map(|n| WorkerName::parse(&format!("w{n:02}")).expect("the name is valid"))
        .collect();
    let owners: Vec<_> = demands
        .iter()
        .enumerate()
        .flat_map(|(owner, demand)| vec![(owner, customer(owner)); demand.tasks])
        .collect();
    let mut memory = PolicyMemory::default();
    // The place and the start of each job.
    let mut placed = vec![None::<(usize, u64)>; owners.len()];
    for pass in 0..WINDOW_PASSES {
        let now_ms = 1_000_000 + pass * PASS_MS;
        let is_running = |(_, at): &(usize, u64)| now_ms < at + RUN_MS;
        let jobs = || (1..).map(JobId).zip(&owners).zip(&placed);
        let running = jobs().filter_map(|(job, at)| Some((job, (*at).filter(is_running)?)));
        let running: Vec<_> = running.collect();
        let view = ClusterView {
            now: UnixMillis(now_ms),
            templates: &templates,
            memory: &memory,
            workers: names
                .iter()
                .enumerate()
                .map(|(number, name)| {
                    let mut worker = WorkerView::empty(name, &shape);
                    if running.iter().any(|(_, (place, _))| *place == number) {
                        (worker.free, worker.free_slots) = (ResourceShape::default(), 0);
                    }
                    worker
                })
                .collect(),
            waiting: jobs()
                .filter(|(_, at)| at.is_none())
                .map(|((job, (_, owner)), _)| WaitingJob {
                    job,
                    customer: owner,
                    class: &class,
                    rule: &rule,
                    gang: &gang,
                    accepted: UnixMillis(1_000_000),
                    declared_run: None,
                })
                .collect(),
            placed: running
                .iter()
                .map(|((job, (_, owner)), (place, at))| PlacedGang {
                    job: *job,
                    customer: owner,
                    class: &class,
                    rule: &rule,
                    gang: &gang,
                    workers: vec![*place],
                    declared_run: None,
                    placed: UnixMillis(*at),
                    released: true,
                    stopping: false,
                })
                .collect(),
        };
        for decision in roseridge_policy::decide(&view) {
            match decision {
                PolicyDecision::Plan(plan) => memory.plan = plan,
                PolicyDecision::Place { job, workers } => {
                    let place = names.iter().position(|name| *name == workers[0]);
                    placed[job.0 as usize - 1] = place.map(|place| (place, now_ms));
                }
                PolicyDecision::Preempt { .. } => {}
            }
        }
    }
    let started = |owner| {
        let jobs = owners.iter().zip(&placed);
        jobs.filter(|((number, _), at)| *number == owner && at.is_some())
            .count()
    };
    (0..demands.len()).map(started).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(1), cases: 32, ..ProptestConfig::default() })]

    /// Guards against halves of the product that treat competing customers differently: within a window,
    /// both start as many tasks of each customer as its share covers, except for one that is rounded off.
    #[test]
    fn both_schedulers_serve_the_share_of_every_customer(
        workers in 6..12usize,
        demands in prop::collection::vec((0..60usize, 0..2u32), 2..5),
    ) {
        let demands: Vec<_> = demands
            .into_iter()
            .map(|(tasks, guaranteed)| CustomerDemand { tasks, guaranteed })
            .collect();
        let flows = replay_flows(workers, &demands);
        let jobs = replay_jobs(workers, &demands);
        for (owner, (started, entitled)) in flows.iter().enumerate() {
            prop_assert!(started + 1 >= *entitled, "flows of {}: {:?}", owner, flows);
            prop_assert!(jobs[owner] + 1 >= *entitled, "jobs of {}: {:?} {:?}", owner, jobs, flows);
        }
    }
}
