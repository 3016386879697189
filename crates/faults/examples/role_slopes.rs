//! Measures the cost of one more agent, and of one more job per second, for each role.
//!
//! Run it with `cargo run --release -p roseridge-faults --example role_slopes`. Bytes are counted
//! on the sockets, without headers. With the argument `rest` no jobs are run.

use std::time::{
    Duration,
    Instant, //
};

use futures::future::join_all;
use roseridge_faults::{
    CallerRequest,
    LineFit,
    LinkTraffic,
    RequestOutcome,
    RoleCluster,
    min_median_max,
    thread_cpu_seconds, //
};

/// The numbers of agents that are measured without jobs.
const AGENT_COUNTS: [usize; 3] = [10, 40, 160];
/// The number of agents while jobs run.
const LOADED_AGENTS: usize = 40;
/// The numbers of jobs per second that are measured.
const JOB_RATES: [u64; 3] = [0, 4, 12];
/// The number of runs for each size.
const RUNS: usize = 3;
/// The time that agents and connections get to stabilize before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The duration of a measurement.
const SAMPLE_TIME: Duration = Duration::from_secs(12);
/// The roles of the threads, in the order of [`RoleSample::cpu_seconds`].
const THREADS: [&str; 4] = ["leader", "follower", "relay", "agents"];

/// The traffic and processor time of each role, as totals or as rates per second.
#[derive(Debug, Clone, Copy)]
struct RoleSample {
    agents: LinkTraffic,
    relay: LinkTraffic,
    leader: LinkTraffic,
    follower: LinkTraffic,
    cpu_seconds: [f64; 4],
}

/// Reads the current totals.
fn read_sample(cluster: &RoleCluster, leader: usize) -> RoleSample {
    let follower = (leader + 1) % 3;
    let entry = |number: usize| thread_cpu_seconds(&format!("entry-{number}"));
    RoleSample {
        agents: cluster.agent_traffic(),
        relay: cluster.relay_traffic(),
        leader: cluster.control_traffic(leader),
        follower: cluster.control_traffic(follower),
        cpu_seconds: [
            entry(leader),
            entry(follower),
            thread_cpu_seconds("relay"),
            thread_cpu_seconds("agents"),
        ],
    }
}

/// Returns the traffic per second between two readings that are `span` seconds apart.
fn rate(before: LinkTraffic, after: LinkTraffic, span: f64) -> LinkTraffic {
    LinkTraffic {
        bytes: (after.bytes - before.bytes) / span,
        chunks: (after.chunks - before.chunks) / span,
    }
}

/// Returns the rates per second between two readings that are `span` seconds apart.
fn difference(before: &RoleSample, after: &RoleSample, span: f64) -> RoleSample {
    let mut cpu_seconds = [0.0; 4];
    for (number, share) in cpu_seconds.iter_mut().enumerate() {
        *share = (after.cpu_seconds[number] - before.cpu_seconds[number]) / span;
    }
    RoleSample {
        agents: rate(before.agents, after.agents, span),
        relay: rate(before.relay, after.relay, span),
        leader: rate(before.leader, after.leader, span),
        follower: rate(before.follower, after.follower, span),
        cpu_seconds,
    }
}

/// Submits jobs at a rate until [`SAMPLE_TIME`] is over; returns the number of jobs that completed.
async fn run_jobs(cluster: &RoleCluster, per_second: u64, name: &str) -> usize {
    let caller = cluster.caller("tuglink");
    let deadline = Instant::now() + SAMPLE_TIME;
    let mut submissions = Vec::new();
    let mut number = 0;
    while Instant::now() < deadline {
        if per_second == 0 {
            compio::time::sleep(SAMPLE_TIME).await;
            continue;
        }
        let request = CallerRequest::new("tuglink", "replan", format!("{name}-{number}"));
        let caller = caller.clone();
        submissions.push(compio::runtime::spawn(async move {
            caller.submit_until_final(0, request).await
        }));
        number += 1;
        compio::time::sleep(Duration::from_millis(1_000 / per_second)).await;
    }
    let ended = join_all(submissions).await.into_iter().flatten();
    ended
        .filter(|record| record.outcome == RequestOutcome::Done)
        .count()
}

/// Runs a new cluster, and prints and returns the rates of one measurement.
async fn take_sample(agents: usize, per_second: u64, run: usize) -> RoleSample {
    let cluster = RoleCluster::start(agents);
    let operator = cluster.operator();
    operator.wait_until_ready(agents).await;
    compio::time::sleep(SETTLE_TIME).await;
    let leader = operator.leader().await;
    let before = read_sample(&cluster, leader);
    let started = Instant::now();
    let done = run_jobs(&cluster, per_second, &format!("job-{run}")).await;
    let span = started.elapsed().as_secs_f64();
    let after = read_sample(&cluster, leader);
    let same_leader = operator.leader().await == leader;
    let sample = difference(&before, &after, span);
    println!(
        "{agents} agents, {per_second} jobs/s, run {run}: {done} done, one leader: {same_leader}, \
         B/s agents {:.0} relay {:.0} leader {:.0} follower {:.0}, cpu % {:.2} {:.2} {:.2} {:.2}",
        sample.agents.bytes,
        sample.relay.bytes,
        sample.leader.bytes,
        sample.follower.bytes,
        100.0 * sample.cpu_seconds[0],
        100.0 * sample.cpu_seconds[1],
        100.0 * sample.cpu_seconds[2],
        100.0 * sample.cpu_seconds[3],
    );
    sample
}

/// Prints a line fitted to the points, its value for 590 agents or jobs per second, and for each
/// size the minimum, median and maximum.
fn print_fit(what: &str, points: &[(f64, f64)]) {
    let fit = LineFit::from_points(points);
    let mut spread = Vec::new();
    for size in points.chunks(RUNS) {
        let values: Vec<_> = size.iter().map(|p| p.1).collect();
        let (min, median, max) = min_median_max(&values);
        spread.push(format!("{}: {min:.3}..{median:.3}..{max:.3}", size[0].0));
    }
    println!(
        "{what}: slope {:.4} +- {:.4}, base {:.3}, R2 {:.4}, at 590: {:.2}; {}",
        fit.slope,
        fit.slope_error,
        fit.intercept,
        fit.r_squared,
        fit.predict(590.0),
        spread.join(", ")
    );
}

/// Prints a fit for the traffic on each link and the processor time of each role.
fn print_fits(samples: &[(f64, RoleSample)]) {
    let points_of = |value: &dyn Fn(&RoleSample) -> f64| -> Vec<(f64, f64)> {
        samples
            .iter()
            .map(|(x, sample)| (*x, value(sample)))
            .collect()
    };
    print_fit("agents<->relay bytes/s", &points_of(&|s| s.agents.bytes));
    print_fit("agents<->relay pieces/s", &points_of(&|s| s.agents.chunks));
    print_fit("relay<->leader bytes/s", &points_of(&|s| s.relay.bytes));
    print_fit("relay<->leader pieces/s", &points_of(&|s| s.relay.chunks));
    print_fit(
        "leader<->followers bytes/s",
        &points_of(&|s| s.leader.bytes),
    );
    print_fit(
        "leader<->followers pieces/s",
        &points_of(&|s| s.leader.chunks),
    );
    print_fit("follower bytes/s", &points_of(&|s| s.follower.bytes));
    for (number, name) in THREADS.iter().enumerate() {
        print_fit(
            &format!("{name} cpu %"),
            &points_of(&|s| 100.0 * s.cpu_seconds[number]),
        );
    }
}

async fn measure() {
    let mut samples = Vec::new();
    for agents in AGENT_COUNTS {
        for run in 0..RUNS {
            samples.push((agents as f64, take_sample(agents, 0, run).await));
        }
    }
    println!("-- by agents, at rest");
    print_fits(&samples);
    if std::env::args().any(|argument| argument == "rest") {
        return;
    }
    let mut samples = Vec::new();
    for per_second in JOB_RATES {
        for run in 0..RUNS {
            samples.push((
                per_second as f64,
                take_sample(LOADED_AGENTS, per_second, run).await,
            ));
        }
    }
    println!("-- by jobs a second, at {LOADED_AGENTS} agents");
    print_fits(&samples);
}

fn main() {
    roseridge_wire::block_on(measure()).expect("an event loop can be created");
}
