//! Measures the throughput and latency of requests through three entries whose control replicas
//! sync their logs to disk, with agents and fake backend servers.
//!
//!     cargo run --release --example load -- RUN_MS SECONDS RATE [RATE ...]
//!
//! Requests are sent at each rate for some seconds, independently of the responses. The latency of
//! a request is measured from the time at which it was due. All components run in this process and
//! communicate over the loopback interface.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    env,
    error::Error,
    fs,
    net::{
        SocketAddr,
        TcpListener as StdListener, //
    },
    path::Path,
    rc::Rc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use compio::net::TcpListener;
use cyper::Client;
use hdrhistogram::Histogram;
use roseridge_agent::{
    AgentConfig,
    run_agent, //
};
use roseridge_control::{
    FlowTiming,
    LeaseTiming,
    ReplicaConfig,
    StateLimits, //
};
use roseridge_entry::{
    EntryConfig,
    EntryListeners,
    run_entry, //
};
use roseridge_fake::{
    FakeBackend,
    FakePayload, //
};
use roseridge_model::{
    CustomerName,
    CustomerTemplate,
    DomainName,
    DurationMs,
    RackName,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::{
    TokenEntry,
    TokenHash,
    default_templates, //
};
use roseridge_shutdown::stop_pair;

const CLUSTER: &str = "load";
const TOKEN: &str = "load-token";
const WORKERS: usize = 10;
const SLOTS: u16 = 8;
/// The time that a caller waits for a job in one request, in milliseconds.
const WAIT_MS: u64 = 10_000;
/// The maximum number of jobs that wait at the same time.
const QUEUE_LIMIT: u32 = 100;

type AnyError = Box<dyn Error + Send + Sync>;

/// The run time of each task in milliseconds, and the time in seconds for which each rate lasts.
#[derive(Debug, Clone, Copy)]
struct LoadPlan {
    run_ms: u64,
    seconds: u64,
}

/// The responses at one rate: latencies in microseconds of completed and of refused requests, and
/// the number of other results by status code, with 0 for requests without a valid response.
struct RateResult {
    done: Histogram<u64>,
    refused: Histogram<u64>,
    others: BTreeMap<u16, u64>,
    last_done: Instant,
}

fn main() -> Result<(), AnyError> {
    env_logger::init();
    let arguments: Vec<u64> = env::args()
        .skip(1)
        .map(|a| a.parse())
        .collect::<Result<_, _>>()?;
    let [run_ms, seconds, rates @ ..] = &arguments[..] else {
        return Err("usage: load RUN_MS SECONDS RATE [RATE ...]".into());
    };
    let plan = LoadPlan {
        run_ms: *run_ms,
        seconds: *seconds,
    };
    let folder = env::temp_dir().join(format!("roseridge-load-{}", std::process::id()));
    let result = measure(&folder, plan, rates);
    fs::remove_dir_all(&folder)?;
    result
}

fn measure(folder: &Path, plan: LoadPlan, rates: &[u64]) -> Result<(), AnyError> {
    let callers = start_cluster(folder)?;
    roseridge_wire::block_on(async move {
        let client = Client::new()?;
        wait_until_ready(&client, callers[0], plan).await?;
        println!(
            "{WORKERS} workers, {SLOTS} slots each, tasks of {} ms, {} s per rate",
            plan.run_ms, plan.seconds
        );
        println!(
            "{:>8} {:>8} {:>8} {:>7} {:>26} {:>26}",
            "offered",
            "done/s",
            "refused",
            "others",
            "done p50/p99/p99.9 ms",
            "refused p50/p99/p99.9 ms"
        );
        for (rate_index, rate) in rates.iter().enumerate() {
            run_rate(&client, &callers, (rate_index, *rate), plan).await?;
            compio::time::sleep(Duration::from_secs(1)).await;
        }
        Ok(())
    })?
}

fn listener() -> Result<(StdListener, SocketAddr), AnyError> {
    let listener = StdListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Starts three entries, each in its own thread, and all workers in one further thread.
fn start_cluster(folder: &Path) -> Result<Vec<SocketAddr>, AnyError> {
    let mut sockets = Vec::new();
    let mut callers = Vec::new();
    let mut replicas = BTreeMap::new();
    for number in 1..=3 {
        let (caller, operator, internal) = (listener()?, listener()?, listener()?);
        callers.push(caller.1);
        replicas.insert(ReplicaId(number), internal.1);
        sockets.push((caller.0, operator.0, internal.0));
    }
    for (sockets, id) in sockets.into_iter().zip(replicas.keys().copied()) {
        let config = entry_config(folder, id, &replicas)?;
        thread::spawn(move || {
            roseridge_wire::block_on(async move {
                let listeners = EntryListeners {
                    callers: TcpListener::from_std(sockets.0)?,
                    operators: TcpListener::from_std(sockets.1)?,
                    internal: TcpListener::from_std(sockets.2)?,
                };
                let (_running, stop) = stop_pair();
                run_entry(config, listeners, stop).await?;
                Ok::<_, AnyError>(())
            })
        });
    }
    let relays: Vec<_> = replicas.into_values().collect();
    thread::spawn(move || roseridge_wire::block_on(run_workers(relays)));
    Ok(callers)
}

fn load_template() -> Result<CustomerTemplate, AnyError> {
    let mut template = default_templates().remove(0);
    template.customer = CustomerName::parse("load")?;
    template.guaranteed = Vec::new();
    template.queue_limit = QUEUE_LIMIT;
    template.rate_per_second = 1_000_000;
    for rule in template.classes.values_mut() {
        rule.answer_retention_ms = DurationMs(2_000);
    }
    Ok(template)
}

fn entry_config(
    folder: &Path,
    id: ReplicaId,
    replicas: &BTreeMap<ReplicaId, SocketAddr>,
) -> Result<EntryConfig, AnyError> {
    let customer = TokenEntry {
        name: CustomerName::parse("load")?,
        token: TokenHash::new("load", TOKEN),
    };
    Ok(EntryConfig {
        name: format!("entry-{id}"),
        cluster: CLUSTER.to_owned(),
        control: replicas.values().copied().collect(),
        replica: Some(ReplicaConfig {
            id,
            replicas: replicas.clone(),
            cluster: CLUSTER.to_owned(),
            data_folder: folder.join(format!("replica-{id}")),
            faults: Default::default(),
            timing: ReplicaTiming::default(),
            lease: LeaseTiming::default(),
            group: None,
            flows: FlowTiming::default(),
            state: StateLimits::default(),
            initial_templates: vec![load_template()?],
        }),
        customers: vec![customer],
        operators: Vec::new(),
    })
}

async fn run_workers(relays: Vec<SocketAddr>) -> Result<(), AnyError> {
    let mut backends = Vec::new();
    for number in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut relays = relays.clone();
        relays.rotate_left(number % 3);
        let config = AgentConfig {
            worker: WorkerName::parse(&format!("worker-{number}"))?,
            cluster: CLUSTER.to_owned(),
            relays,
            lease: Duration::from_millis(LeaseTiming::default().lease_ms),
            stop_limit: Duration::from_secs(5),
        };
        let (handle, stop) = stop_pair();
        compio::runtime::spawn(run_agent(config, listener, stop)).detach();
        let shape = WorkerShape {
            domain: DomainName::parse(&format!("domain-{}", number % 3))?,
            rack: RackName::parse(&format!("rack-{}", number / 3))?,
            total: ResourceShape {
                cores: 64,
                memory_mib: 130_000,
                accelerators: 8,
            },
            slots: SLOTS,
            connections: 60,
        };
        backends.push((FakeBackend::start(shape, address).await?, handle));
    }
    std::future::pending().await
}

async fn wait_until_ready(
    client: &Client,
    entry: SocketAddr,
    plan: LoadPlan,
) -> Result<(), AnyError> {
    for number in 0..600 {
        let key = format!("ready-{number}");
        if let Ok(200) = submit(client, entry, &key, plan).await {
            return Ok(());
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("the cluster did not become ready".into())
}

async fn submit(
    client: &Client,
    entry: SocketAddr,
    key: &str,
    plan: LoadPlan,
) -> Result<u16, AnyError> {
    let payload = FakePayload {
        run_ms: plan.run_ms,
        answer: key.to_owned(),
        fail: None,
    };
    let body = serde_json::json!({
        "class": "replan",
        "gang": {"members": 1, "member": {"cores": 1, "memory_mib": 1_024, "accelerators": 1}},
        "payload": payload.to_text(),
    });
    let url = format!("http://{entry}/v1/jobs?wait_ms={WAIT_MS}");
    let request = client.post(url)?.bearer_auth(TOKEN)?;
    let request = request.header("Idempotency-Key", key)?.json(&body)?;
    let response = request.send().await?;
    let status = response.status().as_u16();
    let text = response.text().await?;
    match status {
        200 if !text.contains(key) => {
            Err(format!("the answer belongs to another request: {text}").into())
        }
        _ => Ok(status),
    }
}

/// Sends requests at a rate for some seconds and prints the results.
async fn run_rate(
    client: &Client,
    callers: &[SocketAddr],
    (rate_index, rate): (usize, u64),
    plan: LoadPlan,
) -> Result<(), AnyError> {
    let start = Instant::now();
    let result = Rc::new(RefCell::new(RateResult {
        done: Histogram::new(3)?,
        refused: Histogram::new(3)?,
        others: BTreeMap::new(),
        last_done: start,
    }));
    let mut running = Vec::new();
    for number in 0..rate * plan.seconds {
        let due = start + Duration::from_secs_f64(number as f64 / rate as f64);
        let delay = due.saturating_duration_since(Instant::now());
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        let entry = callers[(number % callers.len() as u64) as usize];
        let (client, result) = (client.clone(), Rc::clone(&result));
        running.push(compio::runtime::spawn(async move {
            let key = format!("round-{rate_index}-{number}");
            let status = submit(&client, entry, &key, plan).await.unwrap_or_default();
            result.borrow_mut().record(status, due);
        }));
    }
    for request in running {
        let _ = request.await;
    }
    result.borrow().print(rate, start);
    Ok(())
}

impl RateResult {
    fn record(&mut self, status: u16, due: Instant) {
        let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        match status {
            200 => {
                count(&mut self.done, micros);
                self.last_done = Instant::now();
            }
            429 | 503 => count(&mut self.refused, micros),
            other => *self.others.entry(other).or_default() += 1,
        }
    }

    fn print(&self, rate: u64, start: Instant) {
        let duration = self.last_done.duration_since(start).as_secs_f64();
        let millis_at = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
        let quantiles = |h| {
            format!(
                "{:.1}/{:.1}/{:.1}",
                millis_at(h, 0.5),
                millis_at(h, 0.99),
                millis_at(h, 0.999)
            )
        };
        println!(
            "{rate:>8} {:>8.1} {:>8} {:>7} {:>26} {:>26}",
            self.done.len() as f64 / duration,
            self.refused.len(),
            format!("{:?}", self.others),
            quantiles(&self.done),
            quantiles(&self.refused),
        );
    }
}

fn count(histogram: &mut Histogram<u64>, micros: u64) {
    // The histogram resizes automatically, so that no value is out of range.
    histogram.record(micros).unwrap_or_default();
}
