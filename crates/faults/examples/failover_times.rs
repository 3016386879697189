//! Measures the time until an urgent job starts when the leader fails.
//!
//! Run it with `cargo run --release -p roseridge-faults --example failover_times`. With the name
//! of a failure, such as `Killed`, as its argument it measures only that kind.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use roseridge_faults::{
    CallerRequest,
    SmallCluster,
    TrafficDirection,
    min_median_max, //
};

/// The number of failures of each kind in a run.
const TRIALS: usize = 8;
/// The number of runs, each on a new cluster.
const RUNS: usize = 3;
/// The time that the cluster gets to stabilize before each failure.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The time for which a submission waits for the job to end, in milliseconds.
const WAIT_MS: u64 = 7_000;

/// The time limit for the start of urgent jobs, in milliseconds; later starts are printed.
const START_LIMIT_MS: f64 = 3_500.0;

/// The way in which the leader fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderFailure {
    None,
    Killed,
    Isolated,
    Stopped,
}

/// Returns the current time in milliseconds since the Unix epoch.
fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0.0, |d| d.as_secs_f64() * 1e3)
}

/// Returns the times from the failure until the job's start and until its answer, in milliseconds.
async fn run_trial(cluster: &mut SmallCluster, failure: LeaderFailure, key: &str) -> (f64, f64) {
    let operator = cluster.operator();
    operator.wait_until_ready(cluster.worker_count()).await;
    let leader = operator.leader().await;
    compio::time::sleep(SETTLE_TIME).await;
    let failed_ms = unix_ms();
    let started = Instant::now();
    match failure {
        LeaderFailure::None => {}
        LeaderFailure::Killed => cluster.kill_entry(leader),
        LeaderFailure::Isolated => cluster.isolate_entry(leader, TrafficDirection::Both),
        LeaderFailure::Stopped => cluster.request_entry_stop(leader),
    }
    let request = CallerRequest::new("tuglink", "replan", key).running(50);
    let caller = cluster.caller("tuglink");
    let reply = loop {
        let reply = caller.submit((leader + 1) % 3, &request, WAIT_MS).await;
        match reply {
            Some(reply) if reply.status == 200 => break reply,
            _ => compio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    let answer_ms = started.elapsed().as_secs_f64() * 1e3;
    let start = reply.body["first_start"].as_f64().unwrap_or(f64::NAN);
    if start - failed_ms > START_LIMIT_MS {
        let accepted = reply.body["accepted"].as_f64().unwrap_or(f64::NAN);
        println!(
            "{key}: accepted after {:.0} ms, started after {:.0} ms on {}, attempts {}",
            accepted - failed_ms,
            start - failed_ms,
            reply.body["workers"],
            reply.body["attempts"]
        );
    }
    cluster.heal_links();
    if failure == LeaderFailure::Stopped {
        let stopped = operator.poll("the entry has stopped", async |_| {
            (!cluster.is_entry_running(leader)).then_some(())
        });
        stopped.await;
    }
    cluster.start_missing();
    (start - failed_ms, answer_ms)
}

async fn measure() {
    let kinds = [
        LeaderFailure::None,
        LeaderFailure::Killed,
        LeaderFailure::Isolated,
        LeaderFailure::Stopped,
    ];
    let selected = std::env::args().nth(1);
    let is_selected = |name: &str| selected.as_deref().is_none_or(|selected| selected == name);
    for failure in kinds.into_iter().filter(|f| is_selected(&format!("{f:?}"))) {
        let mut starts = Vec::new();
        let mut answers = Vec::new();
        for run in 0..RUNS {
            let mut cluster = SmallCluster::start();
            for number in 0..TRIALS {
                let key = format!("{failure:?}-{run}-{number}").to_lowercase();
                let (start, answer) = run_trial(&mut cluster, failure, &key).await;
                starts.push(start);
                answers.push(answer);
            }
        }
        println!(
            "{failure:?}: start after {:.0?} ms, answer after {:.0?} ms (low, middle, high of {})",
            min_median_max(&starts),
            min_median_max(&answers),
            starts.len()
        );
    }
}

fn main() {
    roseridge_wire::block_on(measure()).expect("an event loop can be created");
}
