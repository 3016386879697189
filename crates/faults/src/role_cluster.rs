//! A cluster whose roles are measured separately: control replicas, one relay and many agents.

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use compio::net::TcpListener;
use roseridge_agent::{
    AgentConfig,
    run_agent, //
};
use roseridge_control::LeaseTiming;
use roseridge_entry::EntryConfig;
use roseridge_fake::FakeBackend;
use roseridge_shutdown::StopSignal;
use tempfile::TempDir;

use crate::{
    CallerClient,
    ClusterShape,
    ComponentThread,
    LinkForwarder,
    LinkNetwork,
    cluster_config::{
        AGENT_STOP_TIMEOUT,
        agent_cluster_name,
        entry_cluster_name,
        worker_name,
        worker_shape, //
    },
    entry_process::{
        EntryAddresses,
        entry_config,
        start_entry, //
    },
    link_forwarder::loopback,
    token_for, //
};

/// The number of control replicas.
const REPLICAS: usize = 3;

/// The traffic on the links of a role.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkTraffic {
    /// The number of bytes, without TCP/IP headers.
    pub bytes: f64,
    /// The number of chunks, each about one TCP segment with data.
    pub chunks: f64,
}

/// Three control replicas, one relay without a replica, and agents that share one thread.
///
/// All components are killed when this value is dropped.
#[derive(Debug)]
pub struct RoleCluster {
    replica_links: Vec<Vec<LinkForwarder>>,
    relay_links: Vec<LinkForwarder>,
    agent_links: LinkForwarder,
    relay: EntryAddresses,
    _threads: Vec<ComponentThread>,
    _network: LinkNetwork,
    _folder: TempDir,
}

impl RoleCluster {
    /// Starts all components with the product's default timing.
    ///
    /// # Panics
    ///
    /// Panics if the temporary folder can't be created.
    pub fn start(agents: usize) -> Self {
        let network = LinkNetwork::start();
        let folder = tempfile::tempdir().expect("the temporary folder can be created");
        let names: Vec<_> = (0..=REPLICAS).map(entry_cluster_name).collect();
        let mut replica_links = vec![Vec::new(); REPLICAS + 1];
        for receiver in &names[..REPLICAS] {
            let links = network.shared_forwarders(&names, receiver);
            for (row, link) in replica_links.iter_mut().zip(links) {
                row.push(link);
            }
        }
        let relay_links = replica_links.split_off(REPLICAS).swap_remove(0);
        let agent_links = network.shared_forwarders(&[agent_cluster_name(0)], &names[REPLICAS]);
        let agent_links = agent_links[0].clone();
        let mut threads = Vec::new();
        let mut addresses = Vec::new();
        for (number, links) in replica_links.iter().enumerate() {
            let (thread, address) = start_entry(control_config(number, folder.path(), links));
            threads.push(thread);
            addresses.push(address);
        }
        for links in replica_links.iter().chain([&relay_links]) {
            for (link, address) in links.iter().zip(&addresses) {
                link.set_target(address.internal);
            }
        }
        let relay_config = EntryConfig {
            name: "relay".to_owned(),
            cluster: entry_cluster_name(REPLICAS),
            replica: None,
            ..control_config(0, folder.path(), &relay_links)
        };
        let (thread, relay) = start_entry(relay_config);
        threads.push(thread);
        agent_links.set_target(relay.internal);
        threads.extend(start_agents(agents, agent_links.address()));
        Self {
            replica_links,
            relay_links,
            agent_links,
            relay,
            _threads: threads,
            _network: network,
            _folder: folder,
        }
    }

    /// Returns a client of the relay that authenticates as the operator.
    pub fn operator(&self) -> CallerClient {
        CallerClient::new(vec![self.relay.operators], token_for("operator"))
    }

    /// Returns a client of the relay that authenticates as a customer.
    pub fn caller(&self, customer: &str) -> CallerClient {
        CallerClient::new(vec![self.relay.callers], token_for(customer))
    }

    /// Returns the address at which agents reach the relay.
    pub fn relay_address(&self) -> SocketAddr {
        self.agent_links.address()
    }

    /// Returns the traffic between the agents and the relay so far.
    pub fn agent_traffic(&self) -> LinkTraffic {
        total_traffic([&self.agent_links])
    }

    /// Returns the traffic between the relay and the control replicas so far.
    pub fn relay_traffic(&self) -> LinkTraffic {
        total_traffic(&self.relay_links)
    }

    /// Returns the traffic between one control replica and the others so far.
    pub fn control_traffic(&self, replica: usize) -> LinkTraffic {
        let sent = self.replica_links[replica].iter();
        let received = self.replica_links.iter().map(|row| &row[replica]);
        let others = sent.chain(received).enumerate();
        let self_links = [replica, REPLICAS + replica];
        total_traffic(
            others
                .filter(|(n, _)| !self_links.contains(n))
                .map(|(_, link)| link),
        )
    }
}

/// Returns the sum of the traffic on the links.
fn total_traffic<'a>(links: impl IntoIterator<Item = &'a LinkForwarder>) -> LinkTraffic {
    links
        .into_iter()
        .fold(LinkTraffic::default(), |sum, link| LinkTraffic {
            bytes: sum.bytes + link.bytes() as f64,
            chunks: sum.chunks + link.chunks() as f64,
        })
}

/// Returns the configuration of a control replica that reaches the replicas through the links.
fn control_config(number: usize, folder: &Path, links: &[LinkForwarder]) -> EntryConfig {
    let replicas: Vec<_> = links.iter().map(LinkForwarder::address).collect();
    let shape = ClusterShape {
        lease: LeaseTiming::default(),
        ..ClusterShape::default()
    };
    let folder = folder.join(format!("replica-{number}"));
    entry_config(number, &folder, &shape, &replicas)
}

/// Starts all agents on one thread and all backend servers on another.
fn start_agents(count: usize, relay: SocketAddr) -> [ComponentThread; 2] {
    let (listeners, addresses): (Vec<_>, Vec<_>) = (0..count).map(|_| loopback()).unzip();
    let agents = ComponentThread::start("agents", move |stop| async move {
        for (number, listener) in listeners.into_iter().enumerate() {
            let listener = TcpListener::from_std(listener)
                .expect("the listener can be registered with the event loop");
            let running = run_agent(agent_config(number, relay), listener, stop.clone());
            compio::runtime::spawn(running).detach();
        }
        stop.wait().await;
    });
    let backends = ComponentThread::start("backends", move |stop| run_backends(addresses, stop));
    [agents, backends]
}

/// Returns the configuration of an agent; all agents share one cluster name, since they share a
/// link.
fn agent_config(number: usize, relay: SocketAddr) -> AgentConfig {
    AgentConfig {
        worker: worker_name(number),
        cluster: agent_cluster_name(0),
        relays: vec![relay],
        lease: Duration::from_millis(LeaseTiming::default().lease_ms),
        stop_limit: AGENT_STOP_TIMEOUT,
    }
}

/// Runs a backend server for each agent until the stop signal.
async fn run_backends(agents: Vec<SocketAddr>, stop: StopSignal) {
    let mut backends = Vec::new();
    for (number, agent) in agents.into_iter().enumerate() {
        let started = FakeBackend::start(worker_shape(number), agent).await;
        backends.push(started.expect("the backend server starts"));
    }
    stop.wait().await;
}
