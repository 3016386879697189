//! An agent and its fake backend server, as two processes of a small cluster.

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
    LinkForwarder,
    PartThread, //
    cluster_config::{
        STOP_LIMIT,
        agent_cluster,
        worker_name,
        worker_shape, //
    },
    link_forwarder::loopback,
};

/// The time between two looks at the flag that a backend server leaves.
const FLAG_PAUSE: Duration = Duration::from_millis(50);

/// One worker: its agent, its backend server and the link by which the latter announces itself.
#[derive(Debug)]
pub(crate) struct WorkerProcess {
    number: usize,
    relays: Vec<SocketAddr>,
    lease: Duration,
    announce: LinkForwarder,
    leaving: Arc<AtomicBool>,
    pub(crate) probe: TestHooks,
    pub(crate) agent: Option<PartThread>,
    pub(crate) backend: Option<PartThread>,
}

impl WorkerProcess {
    pub(crate) fn start(
        number: usize,
        shape: &ClusterShape,
        relays: Vec<SocketAddr>,
        announce: LinkForwarder,
        probe: TestHooks,
    ) -> Self {
        let mut worker = Self {
            number,
            relays,
            lease: Duration::from_millis(shape.lease.lease_ms),
            announce,
            leaving: Arc::default(),
            probe,
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
            cluster: agent_cluster(self.number),
            relays: self.relays.clone(),
            lease: self.lease,
            stop_limit: STOP_LIMIT,
        };
        let (listener, address) = loopback();
        let name = format!("agent-{}", self.number);
        let thread = PartThread::start(&name, move |stop| async move {
            let listener = TcpListener::from_std(listener).expect("the listener can be polled");
            let result = run_agent(config, listener, stop).await;
            result.expect("the agent runs");
        });
        self.announce.set_target(address);
        self.agent = Some(thread);
    }

    /// Starts the backend server; it knows nothing of the tasks of an earlier life.
    pub(crate) fn start_backend(&mut self) {
        let shape = worker_shape(self.number);
        let agent = self.announce.address();
        let probe = self.probe.clone();
        let leaving = Arc::new(AtomicBool::new(false));
        self.leaving = Arc::clone(&leaving);
        let name = format!("backend-{}", self.number);
        let thread = PartThread::start(&name, move |stop| async move {
            let started = FakeBackend::start_with_hooks(shape, agent, probe).await;
            let backend = started.expect("the backend server runs");
            while !stop.sleep(FLAG_PAUSE).await {
                if leaving.load(Ordering::SeqCst) {
                    backend.leave();
                }
            }
        });
        self.backend = Some(thread);
    }

    pub(crate) fn kill_agent(&mut self) {
        self.agent = None;
    }

    /// Kills the backend server and with it every task that it runs.
    pub(crate) fn kill_backend(&mut self) {
        self.backend = None;
        self.probe.event_log.end_open_tasks(&self.probe.label);
    }

    /// Lets the backend server announce that it leaves.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }
}
