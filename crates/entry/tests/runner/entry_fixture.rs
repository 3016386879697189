//! An entry on the loopback interface, with or without a control replica in its process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use compio::{
    net::TcpListener,
    runtime::JoinHandle, //
};
use cyper::Client;
use hyper::Method;
use roseridge_control::{
    FlowTiming,
    LeaseTiming,
    ReplicaConfig,
    StateLimits, //
};
use roseridge_entry::{
    EntryConfig,
    EntryError,
    EntryListeners,
    run_entry, //
};
use roseridge_model::CustomerName;
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::{
    TokenEntry,
    TokenHash,
    default_templates, //
};
use roseridge_shutdown::{
    StopHandle,
    stop_pair, //
};
use roseridge_testutils::UnansweredAddress;
use tempfile::TempDir;

/// The cluster of the entries under test.
pub(crate) const CLUSTER: &str = "test";
/// The maximum number of polls for an expected response, with a pause of [`POLL_INTERVAL`] after
/// each.
const MAX_POLLS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry.
pub(crate) struct EntryFixture {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) internal: SocketAddr,
    pub(crate) stop: StopHandle,
    pub(crate) running: JoinHandle<Result<(), EntryError>>,
    folder: TempDir,
    _absent_replicas: Vec<UnansweredAddress>,
}

/// The response of an entry.
#[derive(Debug)]
pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) headers: hyper::HeaderMap,
}

/// Runs a test on an event loop with timers.
pub(crate) fn run(test: impl Future<Output = ()>) {
    roseridge_wire::block_on(test).expect("an event loop");
}

async fn loopback() -> (TcpListener, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn token(name: &str) -> TokenEntry {
    TokenEntry {
        name: CustomerName::parse(name).expect("a valid name"),
        token: TokenHash::new("salt", &format!("{name}-token")),
    }
}

fn entry_config(control: Vec<SocketAddr>, replica: Option<ReplicaConfig>) -> EntryConfig {
    EntryConfig {
        name: "entry-1".to_owned(),
        cluster: CLUSTER.to_owned(),
        control,
        replica,
        customers: vec![token("tuglink"), token("benali"), token("stranger")],
        operators: vec![token("operator")],
    }
}

impl EntryFixture {
    /// Starts an entry whose replica is the only one of the control group.
    pub(crate) async fn start() -> Self {
        Self::start_in_group(1).await
    }

    /// Starts an entry in a control group of `group` replicas, of which only the entry's runs.
    pub(crate) async fn start_in_group(group: u64) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (callers, callers_address) = loopback().await;
        let (operators, operators_address) = loopback().await;
        let (internal, internal_address) = loopback().await;
        let mut replicas = BTreeMap::from([(ReplicaId(1), internal_address)]);
        let absent_replicas: Vec<_> = (2..=group).map(|_| UnansweredAddress::reserve()).collect();
        for (id, unanswered) in (2..).zip(&absent_replicas) {
            replicas.insert(ReplicaId(id), unanswered.address());
        }
        let control = replicas.values().copied().collect();
        let replica = ReplicaConfig {
            id: ReplicaId(1),
            replicas,
            cluster: CLUSTER.to_owned(),
            data_folder: folder.path().join("replica"),
            faults: Default::default(),
            timing: ReplicaTiming::default(),
            lease: LeaseTiming::default(),
            group: None,
            flows: FlowTiming::default(),
            state: StateLimits::default(),
            initial_templates: default_templates(),
        };
        let config = entry_config(control, Some(replica));
        let listeners = EntryListeners {
            callers,
            operators,
            internal,
        };
        let (stop, signal) = stop_pair();
        let running = compio::runtime::spawn(run_entry(config, listeners, signal));
        Self {
            callers: callers_address,
            operators: operators_address,
            internal: internal_address,
            stop,
            running,
            folder,
            _absent_replicas: absent_replicas,
        }
    }

    /// Starts an entry without a replica that uses the replica of this entry.
    pub(crate) async fn start_without_replica(&self) -> Self {
        let (callers, callers_address) = loopback().await;
        let (operators, operators_address) = loopback().await;
        let (internal, internal_address) = loopback().await;
        let config = entry_config(vec![self.internal], None);
        let listeners = EntryListeners {
            callers,
            operators,
            internal,
        };
        let (stop, signal) = stop_pair();
        let running = compio::runtime::spawn(run_entry(config, listeners, signal));
        Self {
            callers: callers_address,
            operators: operators_address,
            internal: internal_address,
            stop,
            running,
            folder: tempfile::tempdir().expect("a temporary folder"),
            _absent_replicas: Vec::new(),
        }
    }

    /// Polls a path on the operators' listener until the response contains a text.
    pub(crate) async fn wait_for_text(&self, path: &str, text: &str) {
        let mut last_body = String::new();
        for _ in 0..MAX_POLLS {
            last_body = send(self.operators, Method::GET, path, "", None).await.body;
            if last_body.contains(text) {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{path} returned {last_body}, expected {text}");
    }

    /// Stops the entry and waits until it has stopped.
    pub(crate) async fn finish(self) {
        self.stop.stop();
        let result = self.running.await.expect("the entry does not panic");
        result.expect("the entry stops without an error");
        drop(self.folder);
    }
}

/// Sends one request, without a token if `token` is empty.
pub(crate) async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: Option<String>,
) -> TestReply {
    send_keyed(to, method, path, token, ("key-1", body)).await
}

/// Sends one request, with an idempotency key if it has a body.
pub(crate) async fn send_keyed(
    to: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    (key, body): (&str, Option<String>),
) -> TestReply {
    let client = Client::new().expect("a client");
    let url = format!("http://{to}{path}");
    let mut builder = client.request(method, url).expect("a request");
    if !token.is_empty() {
        builder = builder.bearer_auth(token).expect("a token");
    }
    if let Some(body) = body {
        builder = builder
            .header("Idempotency-Key", key)
            .expect("a header")
            .body(body);
    }
    let response = builder.send().await.expect("a response");
    TestReply {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body: response.text().await.expect("a body"),
    }
}
