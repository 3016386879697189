//! Measures the time that a configuration change takes to reach the last agent.
//!
//! Run it with `cargo run --release -p roseridge-faults --example change_slopes`. The agents are
//! simulated: each keeps one exchange with the relay open, as a real agent does.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_faults::{
    ComponentThread,
    LineFit,
    RoleCluster,
    agent_cluster_name,
    min_median_max, //
};
use roseridge_ledger::TemplateChange;
use roseridge_model::{
    ConfigRevision,
    DomainName,
    IncarnationId,
    RackName,
    RequestKey,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};
use roseridge_settings::default_templates;
use roseridge_wire::{
    AgentReport,
    RpcLink, //
};

/// The numbers of agents that are measured.
const AGENT_COUNTS: [usize; 4] = [10, 40, 160, 590];
/// The number of changes in a run.
const CHANGES: u32 = 6;
/// The number of runs for each number of agents.
const RUNS: usize = 3;
/// The timeout of one exchange with the relay.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay before each change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Returns the report of a simulated agent; its shape is included until the relay knows the worker.
fn report(number: usize, sequence: u64, is_known: bool, revision: u64) -> AgentReport {
    let shape = WorkerShape {
        domain: DomainName::parse("domain-0").expect("the name is valid"),
        rack: RackName::parse(&format!("rack-{}", number / 3)).expect("the name is valid"),
        total: ResourceShape {
            cores: 64,
            memory_mib: 130_000,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    };
    AgentReport {
        worker: WorkerName::parse(&format!("worker-{number}")).expect("the name is valid"),
        incarnation: IncarnationId(1),
        sequence,
        known_orders: 0,
        known_revision: ConfigRevision(revision),
        announce: (!is_known).then_some(shape),
        statuses: Vec::new(),
        leaving: false,
    }
}

/// Exchanges reports with the relay until it is dropped, and stores the latest revision received.
async fn simulate_agent(number: usize, relay: SocketAddr, seen_revisions: Arc<Vec<AtomicU64>>) {
    let link = RpcLink::new(relay, &agent_cluster_name(0));
    let mut is_known = false;
    for sequence in 1.. {
        let revision = seen_revisions[number].load(Ordering::SeqCst);
        let report = report(number, sequence, is_known, revision);
        match link.exchange(report, EXCHANGE_TIMEOUT).await {
            Ok(orders) => {
                is_known = orders.known && (is_known || orders.renewed > 0);
                seen_revisions[number].fetch_max(orders.revision.0, Ordering::SeqCst);
            }
            Err(_) => compio::time::sleep(Duration::from_millis(150)).await,
        }
    }
}

/// Starts simulated agents on one thread.
fn start_simulated_agents(
    count: usize,
    relay: SocketAddr,
    seen_revisions: &Arc<Vec<AtomicU64>>,
) -> ComponentThread {
    let seen_revisions = Arc::clone(seen_revisions);
    ComponentThread::start("agents", move |stop| async move {
        for number in 0..count {
            compio::runtime::spawn(simulate_agent(number, relay, Arc::clone(&seen_revisions)))
                .detach();
        }
        stop.wait().await;
    })
}

/// Waits until every agent has received at least the given revision.
async fn wait_until_seen(seen_revisions: &[AtomicU64], revision: u64) {
    while seen_revisions
        .iter()
        .any(|s| s.load(Ordering::SeqCst) < revision)
    {
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns for each change the time until it was accepted and until it reached the last agent.
///
/// Both times are in milliseconds.
async fn run_changes(agents: usize) -> Vec<(f64, f64)> {
    let cluster = RoleCluster::start(0);
    let seen_revisions: Arc<Vec<_>> = Arc::new((0..agents).map(|_| AtomicU64::new(0)).collect());
    let _agents = start_simulated_agents(agents, cluster.relay_address(), &seen_revisions);
    let operator = cluster.operator();
    operator.wait_until_ready(agents).await;
    let mut revision = operator.status().await["revision"].as_u64().unwrap_or(0);
    wait_until_seen(&seen_revisions, revision).await;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        compio::time::sleep(CHANGE_INTERVAL).await;
        let mut template = default_templates().swap_remove(0);
        template.queue_limit = 400 + number;
        let change = TemplateChange {
            request: RequestKey::parse(&format!("change-{number}")).expect("the key is valid"),
            base: ConfigRevision(revision),
            template,
        };
        let started = Instant::now();
        let reply = operator.submit_template_change(0, &change).await;
        let accepted = started.elapsed();
        assert!(reply.as_ref().is_some_and(|r| r.status == 200), "{reply:?}");
        revision += 1;
        wait_until_seen(&seen_revisions, revision).await;
        let millis = |span: Duration| span.as_secs_f64() * 1e3;
        times.push((millis(accepted), millis(started.elapsed())));
    }
    times
}

async fn measure() {
    let mut points = Vec::new();
    for agents in AGENT_COUNTS {
        let mut accepted = Vec::new();
        let mut rollout_times = Vec::new();
        for _ in 0..RUNS {
            let times = run_changes(agents).await;
            accepted.extend(times.iter().map(|t| t.0));
            rollout_times.extend(times.iter().map(|t| t.1));
        }
        points.extend(rollout_times.iter().map(|ms| (agents as f64, *ms)));
        println!(
            "{agents} agents: accepted {:.1?} ms, at the last agent {:.1?} ms (low, middle, high)",
            min_median_max(&accepted),
            min_median_max(&rollout_times)
        );
    }
    let fit = LineFit::from_points(&points);
    println!(
        "time to the last agent, ms: slope {:.4} +- {:.4} an agent, base {:.0}, R2 {:.4}",
        fit.slope, fit.slope_error, fit.intercept, fit.r_squared
    );
}

fn main() {
    roseridge_wire::block_on(measure()).expect("an event loop can be created");
}
