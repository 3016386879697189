//! Starts an agent and its fake backend server as two processes of a small cluster.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use compio::net::TcpListener;
use roseridge_agent::{
    AgentConfig,
    run_agent, //
};
use roseridge_fake::{
    FakeBackend,
    TestHooks, //
};

use crate::{
    ClusterShape,
    ComponentThread,
    LinkForwarder,
    cluster_config::{
        AGENT_STOP_TIMEOUT,
        agent_cluster_name,
        worker_name,
        worker_shape, //
    },
    link_forwarder::loopback, //
};

/// The interval at which a backend server's thread polls whether it is to announce that it leaves.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One worker: its agent, its backend server and the link on which the latter announces itself.
#[derive(Debug)]
pub(crate) struct WorkerProcess {
    number: usize,
    relays: Vec<SocketAddr>,
    lease: Duration,
    announce_link: LinkForwarder,
    is_leaving: Arc<AtomicBool>,
    pub(crate) hooks: TestHooks,
    pub(crate) agent: Option<ComponentThread>,
    pub(crate) backend: Option<ComponentThread>,
}

impl WorkerProcess {
    /// Starts the agent and the backend server of a worker.
    pub(crate) fn start(
        number: usize,
        shape: &ClusterShape,
        relays: Vec<SocketAddr>,
        announce_link: LinkForwarder,
        hooks: TestHooks,
    ) -> Self {
        let mut worker = Self {
            number,
            relays,
            lease: Duration::from_millis(shape.lease.lease_ms),
            announce_link,
            is_leaving: Arc::default(),
            hooks,
            agent: None,
            backend: None,
        };
        worker.start_agent();
        worker.start_backend();
        worker
    }

    /// Starts the agent on a free port.
    pub(crate) fn start_agent(&mut self) {
        let config = AgentConfig {
            worker: worker_name(self.number),
            cluster: agent_cluster_name(self.number),
            relays: self.relays.clone(),
            lease: self.lease,
            stop_limit: AGENT_STOP_TIMEOUT,
        };
        let (listener, address) = loopback();
        let name = format!("agent-{}", self.number);
        let thread = ComponentThread::start(&name, move |stop| async move {
            let listener = TcpListener::from_std(listener)
                .expect("the listener can be registered with the event loop");
            let result = run_agent(config, listener, stop).await;
            result.expect("the agent stops without an error");
        });
        self.announce_link.set_target(address);
        self.agent = Some(thread);
    }

    /// Starts the backend server, without any tasks of an earlier incarnation.
    pub(crate) fn start_backend(&mut self) {
        let shape = worker_shape(self.number);
        let agent = self.announce_link.address();
        let hooks = self.hooks.clone();
        let is_leaving = Arc::new(AtomicBool::new(false));
        self.is_leaving = Arc::clone(&is_leaving);
        let name = format!("backend-{}", self.number);
        let thread = ComponentThread::start(&name, move |stop| async move {
            let started = FakeBackend::start_with_hooks(shape, agent, hooks).await;
            let backend = started.expect("the backend server starts");
            while !stop.sleep(LEAVING_POLL_INTERVAL).await {
                if is_leaving.load(Ordering::SeqCst) {
                    backend.leave();
                }
            }
        });
        self.backend = Some(thread);
    }

    /// Kills the agent.
    pub(crate) fn kill_agent(&mut self) {
        self.agent = None;
    }

    /// Kills the backend server and records the end of all its tasks.
    pub(crate) fn kill_backend(&mut self) {
        self.backend = None;
        self.hooks.event_log.end_open_tasks(&self.hooks.label);
    }

    /// Makes the backend server announce that it is leaving.
    pub(crate) fn announce_leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }
}
