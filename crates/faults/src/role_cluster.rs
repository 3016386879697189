//! A cluster whose roles can be measured apart: control replicas, one relay, many agents.

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
    LinkForwarder,
    LinkNetwork,
    PartThread, //
    cluster_config::{
        STOP_LIMIT,
        agent_cluster,
        entry_cluster,
        worker_name,
        worker_shape, //
    },
    entry_process::{
        EntryAddresses,
        entry_config,
        start_entry, //
    },
    link_forwarder::loopback,
    token_of,
};

/// The control replicas.
const REPLICAS: usize = 3;

/// What passed over the links of a role.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkCount {
    /// Bytes, without TCP/IP headers.
    pub bytes: f64,
    /// Pieces, each about one segment with data.
    pub pieces: f64,
}

/// Three control replicas, one relay that hosts none, and agents on one thread.
#[derive(Debug)]
pub struct RoleCluster {
    between: Vec<Vec<LinkForwarder>>,
    from_relay: Vec<LinkForwarder>,
    from_agents: LinkForwarder,
    relay: EntryAddresses,
    _threads: Vec<PartThread>,
    _network: LinkNetwork,
    _folder: TempDir,
}

impl RoleCluster {
    /// Starts every part, with the product's own intervals.
    ///
    /// # Panics
    ///
    /// Panics if there is no room for the data folders.
    pub fn start(agents: usize) -> Self {
        let network = LinkNetwork::start();
        let folder = tempfile::tempdir().expect("there is a temporary folder");
        let names: Vec<_> = (0..=REPLICAS).map(entry_cluster).collect();
        let mut between = vec![Vec::new(); REPLICAS + 1];
        for receiver in &names[..REPLICAS] {
            let links = network.shared_forwarders(&names, receiver);
            for (row, link) in between.iter_mut().zip(links) {
                row.push(link);
            }
        }
        let from_relay = between.split_off(REPLICAS).swap_remove(0);
        let from_agents = network.shared_forwarders(&[agent_cluster(0)], &names[REPLICAS]);
        let from_agents = from_agents[0].clone();
        let mut threads = Vec::new();
        let mut addresses = Vec::new();
        for (number, links) in between.iter().enumerate() {
            let (thread, at) = start_entry(control_config(number, folder.path(), links));
            threads.push(thread);
            addresses.push(at);
        }
        for links in between.iter().chain([&from_relay]) {
            for (link, at) in links.iter().zip(&addresses) {
                link.set_target(at.internal);
            }
        }
        let relay_config = EntryConfig {
            name: "relay".to_owned(),
            cluster: entry_cluster(REPLICAS),
            replica: None,
            ..control_config(0, folder.path(), &from_relay)
        };
        let (thread, relay) = start_entry(relay_config);
        threads.push(thread);
        from_agents.set_target(relay.internal);
        threads.extend(start_agents(agents, from_agents.address()));
        Self {
            between,
            from_relay,
            from_agents,
            relay,
            _threads: threads,
            _network: network,
            _folder: folder,
        }
    }

    /// Returns a client that shows the operator's token to the relay.
    pub fn operator(&self) -> CallerClient {
        CallerClient::new(vec![self.relay.operators], token_of("operator"))
    }

    /// Returns a client that shows a customer's token to the relay.
    pub fn caller(&self, customer: &str) -> CallerClient {
        CallerClient::new(vec![self.relay.callers], token_of(customer))
    }

    /// Returns the address at which agents reach the relay.
    pub fn relay_address(&self) -> SocketAddr {
        self.from_agents.address()
    }

    /// Returns what passed between the agents and the relay.
    pub fn agent_count(&self) -> LinkCount {
        count([&self.from_agents])
    }

    /// Returns what passed between the relay and the control replicas.
    pub fn relay_count(&self) -> LinkCount {
        count(&self.from_relay)
    }

    /// Returns what passed between one control replica and the others.
    pub fn control_count(&self, replica: usize) -> LinkCount {
        let sent = self.between[replica].iter();
        let received = self.between.iter().map(|row| &row[replica]);
        let others = sent.chain(received).enumerate();
        let own = [replica, REPLICAS + replica];
        count(
            others
                .filter(|(n, _)| !own.contains(n))
                .map(|(_, link)| link),
        )
    }
}

fn count<'a>(links: impl IntoIterator<Item = &'a LinkForwarder>) -> LinkCount {
    links
        .into_iter()
        .fold(LinkCount::default(), |sum, link| LinkCount {
            bytes: sum.bytes + link.bytes() as f64,
            pieces: sum.pieces + link.pieces() as f64,
        })
}

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
fn start_agents(count: usize, relay: SocketAddr) -> [PartThread; 2] {
    let (listeners, addresses): (Vec<_>, Vec<_>) = (0..count).map(|_| loopback()).unzip();
    let agents = PartThread::start("agents", move |stop| async move {
        for (number, listener) in listeners.into_iter().enumerate() {
            let listener = TcpListener::from_std(listener).expect("the listener can be polled");
            let running = run_agent(agent_config(number, relay), listener, stop.clone());
            compio::runtime::spawn(running).detach();
        }
        stop.wait().await;
    });
    let backends = PartThread::start("backends", move |stop| run_backends(addresses, stop));
    [agents, backends]
}

fn agent_config(number: usize, relay: SocketAddr) -> AgentConfig {
    AgentConfig {
        worker: worker_name(number),
        cluster: agent_cluster(0),
        relays: vec![relay],
        lease: Duration::from_millis(LeaseTiming::default().lease_ms),
        stop_limit: STOP_LIMIT,
    }
}

async fn run_backends(agents: Vec<SocketAddr>, stop: StopSignal) {
    let mut backends = Vec::new();
    for (number, agent) in agents.into_iter().enumerate() {
        let started = FakeBackend::start(worker_shape(number), agent).await;
        backends.push(started.expect("the backend server runs"));
    }
    stop.wait().await;
}
