//! The cluster of the demo: three entries with control replicas, and six agents with fake backend
//! servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use compio::{
    net::TcpListener,
    runtime::JoinHandle, //
};
use roseridge_agent::{
    AgentConfig,
    AgentError,
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
    EntryError,
    EntryListeners,
    run_entry, //
};
use roseridge_fake::FakeBackend;
use roseridge_model::{
    CustomerName,
    DomainName,
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
use roseridge_shutdown::{
    StopHandle,
    stop_pair, //
};
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        DemoFailedSnafu,
        SystemFailedSnafu, //
    },
    commands::listen,
};

const CLUSTER_NAME: &str = "demo";
const ENTRY_COUNT: u64 = 3;
const WORKER_COUNT: usize = 6;
const WORKERS_PER_RACK: usize = 3;
/// The maximum time for which a stopping agent waits for its tasks.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// The running components of the demo.
pub(crate) struct DemoCluster {
    /// The addresses at which callers reach the entries.
    pub(crate) callers: Vec<SocketAddr>,
    backends: Vec<FakeBackend>,
    entries: Vec<(StopHandle, JoinHandle<Result<(), EntryError>>)>,
    agents: Vec<(StopHandle, JoinHandle<Result<(), AgentError>>)>,
}

/// Returns the token of a demo customer.
pub(crate) fn demo_token(customer: &str) -> String {
    format!("{customer}-demo-token")
}

impl DemoCluster {
    /// Starts all components, with the data folders of the replicas in the given folder.
    pub(crate) async fn start(folder: &Path) -> Result<Self, CliError> {
        let mut cluster = Self {
            callers: Vec::new(),
            backends: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
        };
        let internal = cluster.start_entries(folder).await?;
        for number in 0..WORKER_COUNT {
            cluster.start_worker(number, &internal).await?;
        }
        Ok(cluster)
    }

    async fn start_entries(&mut self, folder: &Path) -> Result<Vec<SocketAddr>, CliError> {
        let mut listeners = Vec::new();
        let mut replicas = BTreeMap::new();
        for number in 1..=ENTRY_COUNT {
            let (callers, address) = listen_on_loopback().await?;
            self.callers.push(address);
            let (internal, address) = listen_on_loopback().await?;
            replicas.insert(ReplicaId(number), address);
            listeners.push(EntryListeners {
                callers,
                operators: listen_on_loopback().await?.0,
                internal,
            });
        }
        for (listeners, id) in listeners.into_iter().zip(replicas.keys()) {
            let config = entry_config(folder, *id, &replicas)?;
            let (handle, stop) = stop_pair();
            let running = compio::runtime::spawn(run_entry(config, listeners, stop));
            self.entries.push((handle, running));
        }
        Ok(replicas.into_values().collect())
    }

    async fn start_worker(&mut self, number: usize, relays: &[SocketAddr]) -> Result<(), CliError> {
        let (listener, address) = listen_on_loopback().await?;
        let domain = number / WORKERS_PER_RACK;
        let mut relays = relays.to_vec();
        relays.rotate_left(domain);
        let config = AgentConfig {
            worker: valid_name(WorkerName::parse(&format!("worker-{number}")))?,
            cluster: CLUSTER_NAME.to_owned(),
            relays,
            lease: Duration::from_millis(LeaseTiming::default().lease_ms),
            stop_limit: STOP_LIMIT,
        };
        let shape = WorkerShape {
            domain: valid_name(DomainName::parse(&format!("domain-{domain}")))?,
            rack: valid_name(RackName::parse(&format!("rack-{domain}")))?,
            total: ResourceShape {
                cores: 64,
                memory_mib: 130_000,
                accelerators: 8,
            },
            slots: 8,
            connections: 60,
        };
        let (handle, stop) = stop_pair();
        let running = compio::runtime::spawn(run_agent(config, listener, stop));
        self.agents.push((handle, running));
        let backend = FakeBackend::start(shape, address).await;
        let backend = backend.map_err(|error| CliError::DemoFailed {
            message: error.to_string(),
        })?;
        self.backends.push(backend);
        Ok(())
    }

    /// Returns the maximum number of starts of any task.
    pub(crate) fn max_start_count(&self) -> u32 {
        let start_counts = self.backends.iter().flat_map(FakeBackend::start_counts);
        start_counts
            .map(|(_, count)| count)
            .max()
            .unwrap_or_default()
    }

    /// Stops the agents, then the entries, each gracefully.
    pub(crate) async fn stop(self) -> Result<(), CliError> {
        for (handle, _) in &self.agents {
            handle.stop();
        }
        for (_, running) in self.agents {
            let result = running.await.map_err(|_| abnormal_end_error())?;
            result.map_err(|error| CliError::DemoFailed {
                message: error.to_string(),
            })?;
        }
        for (handle, _) in &self.entries {
            handle.stop();
        }
        for (_, running) in self.entries {
            running.await.map_err(|_| abnormal_end_error())??;
        }
        Ok(())
    }
}

/// Returns the error for a component whose task ended without a result.
fn abnormal_end_error() -> CliError {
    CliError::DemoFailed {
        message: "a component ended abnormally".to_owned(),
    }
}

fn entry_config(
    folder: &Path,
    id: ReplicaId,
    replicas: &BTreeMap<ReplicaId, SocketAddr>,
) -> Result<EntryConfig, CliError> {
    let mut customers = Vec::new();
    for template in default_templates() {
        let token = demo_token(template.customer.as_str());
        customers.push(TokenEntry {
            token: TokenHash::new(template.customer.as_str(), &token),
            name: template.customer,
        });
    }
    let operator = TokenEntry {
        name: valid_name(CustomerName::parse("operator"))?,
        token: TokenHash::new("operator", &demo_token("operator")),
    };
    Ok(EntryConfig {
        name: format!("entry-{id}"),
        cluster: CLUSTER_NAME.to_owned(),
        control: replicas.values().copied().collect(),
        replica: Some(ReplicaConfig {
            id,
            replicas: replicas.clone(),
            cluster: CLUSTER_NAME.to_owned(),
            data_folder: folder.join(format!("replica-{id}")),
            faults: Default::default(),
            timing: ReplicaTiming::default(),
            lease: LeaseTiming::default(),
            group: None,
            flows: FlowTiming::default(),
            state: StateLimits::default(),
            initial_templates: default_templates(),
        }),
        customers,
        operators: vec![operator],
    })
}

/// Returns a parsed name, or the error for a name that is invalid.
fn valid_name<T>(parsed: Result<T, roseridge_model::names::NameError>) -> Result<T, CliError> {
    parsed.map_err(|error| CliError::DemoFailed {
        message: error.to_string(),
    })
}

/// Opens a listener on a free loopback port and returns it with its address.
async fn listen_on_loopback() -> Result<(TcpListener, SocketAddr), CliError> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr().context(SystemFailedSnafu {
        operation: "reading a listener's address",
    })?;
    match address.port() {
        0 => DemoFailedSnafu {
            message: "a listener has no port",
        }
        .fail(),
        _ => Ok((listener, address)),
    }
}
