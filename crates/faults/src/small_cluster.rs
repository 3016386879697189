//! A small cluster of entries, agents and backend servers, and the links between them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use roseridge_fake::{
    FaultInjector,
    TaskEventLog,
    TestHooks, //
};
use tempfile::TempDir;

use crate::{
    CallerClient,
    ClusterShape,
    ComponentThread,
    LinkFlow,
    LinkForwarder,
    LinkNetwork,
    cluster_config::{
        agent_cluster_name,
        entry_cluster_name,
        worker_name, //
    },
    entry_process::{
        entry_config,
        start_entry, //
    },
    token_for,
    worker_process::WorkerProcess, //
};

/// The delay between a kill and the next start, so that a write in progress reaches the file.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// The direction in which the traffic of an isolated process is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficDirection {
    /// The bytes that the process sends.
    Out,
    /// The bytes that are sent to the process.
    In,
    /// The bytes in both directions.
    Both,
}

/// One entry: its thread if it runs, its data folder and the links through which clients reach it.
#[derive(Debug)]
struct EntryHandle {
    folder: PathBuf,
    thread: Option<ComponentThread>,
    was_killed: bool,
    callers: LinkForwarder,
    operators: LinkForwarder,
}

/// A running small cluster; all components are killed when this value is dropped.
#[derive(Debug)]
pub struct SmallCluster {
    shape: ClusterShape,
    entries: Vec<EntryHandle>,
    workers: Vec<WorkerProcess>,
    /// The links from each entry's process to each entry's process, indexed by sender and receiver.
    entry_links: Vec<Vec<LinkForwarder>>,
    /// The links from each agent to each entry's process, indexed by agent and entry.
    agent_links: Vec<Vec<LinkForwarder>>,
    event_log: TaskEventLog,
    _network: LinkNetwork,
    _folder: TempDir,
}

impl SmallCluster {
    /// Starts a cluster of the default shape.
    ///
    /// # Panics
    ///
    /// Panics if the temporary folder can't be created.
    pub fn start() -> Self {
        Self::start_with_shape(ClusterShape::default())
    }

    /// Starts a cluster of the given shape.
    ///
    /// # Panics
    ///
    /// Panics if the temporary folder can't be created.
    pub fn start_with_shape(shape: ClusterShape) -> Self {
        let network = LinkNetwork::start();
        let folder = tempfile::tempdir().expect("the temporary folder can be created");
        let mut cluster = Self {
            shape,
            entries: Vec::new(),
            workers: Vec::new(),
            entry_links: vec![Vec::new(); shape.entries],
            agent_links: vec![Vec::new(); shape.workers],
            event_log: TaskEventLog::default(),
            _network: network,
            _folder: folder,
        };
        cluster.open_internal_links();
        for number in 0..shape.entries {
            let entry = EntryHandle {
                folder: cluster._folder.path().join(format!("replica-{number}")),
                thread: None,
                was_killed: false,
                callers: cluster._network.forwarder(),
                operators: cluster._network.forwarder(),
            };
            cluster.entries.push(entry);
        }
        for number in 0..shape.entries {
            cluster.start_entry(number);
        }
        for number in 0..shape.workers {
            let worker = cluster.new_worker(number);
            cluster.workers.push(worker);
        }
        cluster
    }

    /// Opens the links from every process to each entry's process.
    fn open_internal_links(&mut self) {
        let entries = (0..self.shape.entries).map(entry_cluster_name);
        let senders: Vec<_> = entries
            .chain((0..self.shape.workers).map(agent_cluster_name))
            .collect();
        for number in 0..self.shape.entries {
            let links = self
                ._network
                .shared_forwarders(&senders, &entry_cluster_name(number));
            let rows = self.entry_links.iter_mut().chain(&mut self.agent_links);
            for (row, link) in rows.zip(links) {
                row.push(link);
            }
        }
    }

    /// Starts a worker; the agents begin with different relays, to spread the load.
    fn new_worker(&self, number: usize) -> WorkerProcess {
        let links = &self.agent_links[number];
        let mut relays: Vec<_> = links.iter().map(LinkForwarder::address).collect();
        relays.rotate_left(number % self.shape.entries);
        let hooks = TestHooks {
            label: worker_name(number).to_string(),
            event_log: self.event_log.clone(),
            faults: FaultInjector::default(),
        };
        let announce_link = self._network.forwarder();
        WorkerProcess::start(number, &self.shape, relays, announce_link, hooks)
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.shape.entries
    }

    /// Returns the number of workers.
    pub fn worker_count(&self) -> usize {
        self.shape.workers
    }

    /// Returns the log of the task events on all backend servers.
    pub fn event_log(&self) -> &TaskEventLog {
        &self.event_log
    }

    /// Returns the fault injector of a worker's backend server.
    pub fn fault_injector(&self, worker: usize) -> &FaultInjector {
        &self.workers[worker].hooks.faults
    }

    /// Returns the name of a worker.
    pub fn worker_label(&self, worker: usize) -> &str {
        &self.workers[worker].hooks.label
    }

    /// Returns the addresses on which callers reach the entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let links = self.entries.iter().map(|e| e.callers.address());
        links.collect()
    }

    /// Returns a client that authenticates as a customer.
    pub fn caller(&self, customer: &str) -> CallerClient {
        CallerClient::new(self.caller_addresses(), token_for(customer))
    }

    /// Returns a client that authenticates as the operator.
    pub fn operator(&self) -> CallerClient {
        let links = self.entries.iter().map(|e| e.operators.address());
        CallerClient::new(links.collect(), token_for("operator"))
    }

    /// Starts an entry and its control replica from the replica's data folder.
    pub fn start_entry(&mut self, number: usize) {
        if std::mem::take(&mut self.entries[number].was_killed) {
            std::thread::sleep(RESTART_DELAY);
        }
        let links = &self.entry_links[number];
        let replicas: Vec<_> = links.iter().map(LinkForwarder::address).collect();
        let folder = &self.entries[number].folder;
        let config = entry_config(number, folder, &self.shape, &replicas);
        let (thread, addresses) = start_entry(config);
        for row in self.entry_links.iter().chain(&self.agent_links) {
            row[number].set_target(addresses.internal);
        }
        let entry = &mut self.entries[number];
        entry.callers.set_target(addresses.callers);
        entry.operators.set_target(addresses.operators);
        entry.thread = Some(thread);
    }

    /// Kills an entry and its control replica.
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].thread = None;
        self.entries[number].was_killed = true;
    }

    /// Stops an entry gracefully and waits until it has ended.
    pub fn stop_entry(&mut self, number: usize) {
        if let Some(mut thread) = self.entries[number].thread.take() {
            thread.stop();
        }
    }

    /// Requests a graceful stop of an entry and returns immediately.
    pub fn request_entry_stop(&mut self, number: usize) {
        if let Some(thread) = &self.entries[number].thread {
            thread.request_stop();
        }
    }

    /// Returns whether an entry is running.
    pub fn is_entry_running(&self, number: usize) -> bool {
        let thread = &self.entries[number].thread;
        thread.as_ref().is_some_and(ComponentThread::is_running)
    }

    /// Removes the data folder of an entry that is not running, to simulate the loss of its disk.
    ///
    /// # Panics
    ///
    /// Panics if the folder can't be removed.
    pub fn wipe_disk(&mut self, number: usize) {
        let folder = &self.entries[number].folder;
        std::fs::remove_dir_all(folder).expect("the data folder can be removed");
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, worker: usize) {
        self.workers[worker].kill_agent();
    }

    /// Restarts an agent, as a new incarnation.
    pub fn start_agent(&mut self, worker: usize) {
        self.workers[worker].start_agent();
    }

    /// Stops an agent gracefully and waits until it has ended.
    pub fn stop_agent(&mut self, worker: usize) {
        if let Some(mut agent) = self.workers[worker].agent.take() {
            agent.stop();
        }
    }

    /// Kills a backend server and all tasks on it.
    pub fn kill_backend(&mut self, worker: usize) {
        self.workers[worker].kill_backend();
    }

    /// Restarts a backend server, without any of its earlier tasks.
    pub fn start_backend(&mut self, worker: usize) {
        self.workers[worker].start_backend();
    }

    /// Makes a backend server announce that it is leaving.
    pub fn announce_backend_leave(&self, worker: usize) {
        self.workers[worker].announce_leave();
    }

    /// Holds the bytes that an entry exchanges with all other processes, in the given direction.
    ///
    /// The links of callers and operators to the entry stay open.
    pub fn isolate_entry(&self, number: usize, direction: TrafficDirection) {
        let flow = |held| match held {
            true => LinkFlow::Held,
            false => LinkFlow::Open,
        };
        let sent = flow(direction != TrafficDirection::In);
        let received = flow(direction != TrafficDirection::Out);
        for other in (0..self.shape.entries).filter(|other| *other != number) {
            self.entry_links[number][other].set_flows(sent, received);
            self.entry_links[other][number].set_flows(received, sent);
        }
        for links in &self.agent_links {
            links[number].set_flows(received, sent);
        }
    }

    /// Holds the bytes between the entries and agents of one region and those of all others.
    pub fn isolate_region(&self, entries: &[usize], workers: &[usize]) {
        let hold_link = |link: &LinkForwarder, is_inside: bool, receiver: usize| {
            if is_inside != entries.contains(&receiver) {
                link.set_flows(LinkFlow::Held, LinkFlow::Held);
            }
        };
        for (sender, links) in self.entry_links.iter().enumerate() {
            for (receiver, link) in links.iter().enumerate() {
                hold_link(link, entries.contains(&sender), receiver);
            }
        }
        for (sender, links) in self.agent_links.iter().enumerate() {
            for (receiver, link) in links.iter().enumerate() {
                hold_link(link, workers.contains(&sender), receiver);
            }
        }
    }

    /// Holds the bytes between the processes of two entries in both directions.
    pub fn partition_entries(&self, first: usize, second: usize) {
        self.entry_links[first][second].set_flows(LinkFlow::Held, LinkFlow::Held);
        self.entry_links[second][first].set_flows(LinkFlow::Held, LinkFlow::Held);
    }

    /// Returns the link of callers to an entry.
    pub fn caller_link(&self, entry: usize) -> &LinkForwarder {
        &self.entries[entry].callers
    }

    /// Returns the link from one entry's process to another's.
    pub fn entry_link(&self, from: usize, to: usize) -> &LinkForwarder {
        &self.entry_links[from][to]
    }

    /// Returns the link from an agent to an entry's process.
    pub fn agent_link(&self, worker: usize, entry: usize) -> &LinkForwarder {
        &self.agent_links[worker][entry]
    }

    /// Returns all links between processes of the system.
    pub fn internal_links(&self) -> impl Iterator<Item = &LinkForwarder> {
        self.entry_links.iter().chain(&self.agent_links).flatten()
    }

    /// Restores normal forwarding on all links.
    pub fn heal_links(&self) {
        for link in self.internal_links() {
            link.heal();
        }
        for entry in &self.entries {
            entry.callers.heal();
            entry.operators.heal();
        }
    }

    /// Starts all components that are not running.
    pub fn start_missing(&mut self) {
        for number in 0..self.shape.entries {
            if !self.is_entry_running(number) {
                self.start_entry(number);
            }
        }
        for worker in &mut self.workers {
            if worker.agent.is_none() {
                worker.start_agent();
            }
            if worker.backend.is_none() {
                worker.start_backend();
            }
        }
    }
}
