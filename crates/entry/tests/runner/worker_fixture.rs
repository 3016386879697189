//! An agent and its fake backend server on the loopback interface.

use std::{
    net::SocketAddr,
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
use roseridge_fake::FakeBackend;
use roseridge_model::{
    DomainName,
    RackName,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};
use roseridge_shutdown::{
    StopHandle,
    stop_pair, //
};

use crate::entry_fixture::CLUSTER;

/// A running agent and its backend server.
pub(crate) struct WorkerFixture {
    pub(crate) backend: FakeBackend,
    pub(crate) stop: StopHandle,
    running: JoinHandle<Result<(), AgentError>>,
    address: SocketAddr,
    relays: Vec<SocketAddr>,
}

fn config(relays: &[SocketAddr]) -> AgentConfig {
    AgentConfig {
        worker: WorkerName::parse("worker-1").expect("a valid name"),
        cluster: CLUSTER.to_owned(),
        relays: relays.to_vec(),
        lease: Duration::from_secs(10),
        stop_limit: Duration::from_secs(60),
    }
}

impl WorkerFixture {
    /// Starts a worker whose agent uses these relays.
    pub(crate) async fn start(relays: &[SocketAddr]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let shape = WorkerShape {
            domain: DomainName::parse("domain").expect("a valid name"),
            rack: RackName::parse("rack").expect("a valid name"),
            total: ResourceShape {
                cores: 64,
                memory_mib: 130_000,
                accelerators: 8,
            },
            slots: 8,
            connections: 60,
        };
        let (stop, signal) = stop_pair();
        let running = compio::runtime::spawn(run_agent(config(relays), listener, signal));
        let backend = FakeBackend::start(shape, address).await;
        Self {
            backend: backend.expect("a backend server"),
            stop,
            running,
            address,
            relays: relays.to_vec(),
        }
    }

    /// Kills the agent and returns its backend server, which keeps running.
    pub(crate) fn kill_agent(self) -> FakeBackend {
        drop(self.running);
        self.backend
    }

    /// Kills the agent and starts a new incarnation of it at the same address.
    pub(crate) async fn restart_agent(self) -> Self {
        drop(self.running);
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                // The killed agent's listener is still being closed.
                Err(_) => compio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let (stop, signal) = stop_pair();
        let agent = run_agent(config(&self.relays), listener, signal);
        Self {
            stop,
            running: compio::runtime::spawn(agent),
            ..self
        }
    }

    /// Waits until the agent has stopped and returns the number of starts of each task.
    pub(crate) async fn wait_for_stop(self) -> Vec<u32> {
        let result = self.running.await.expect("the agent does not panic");
        result.expect("the agent stops without an error");
        self.backend
            .start_counts()
            .into_iter()
            .map(|(_, n)| n)
            .collect()
    }
}
