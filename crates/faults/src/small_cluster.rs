//! The whole small cluster: entries, agents, backend servers and the links between them.

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
    LinkFlow,
    LinkForwarder,
    LinkNetwork,
    PartThread, //
    cluster_config::{
        agent_cluster,
        entry_cluster,
        worker_name, //
    },
    entry_process::{
        entry_config,
        start_entry, //
    },
    token_of,
    worker_process::WorkerProcess,
};

/// The pause between a kill and the next start, in which a write that was under way reaches the file.
const KILL_PAUSE: Duration = Duration::from_millis(150);

/// Which bytes of a process are lost when it is isolated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowSide {
    /// Those that it sends.
    Out,
    /// Those that are sent to it.
    In,
    /// All.
    Both,
}

#[derive(Debug)]
struct EntrySlot {
    folder: PathBuf,
    thread: Option<PartThread>,
    killed: bool,
    callers: LinkForwarder,
    operators: LinkForwarder,
}

/// A running small cluster; every part is killed when this value is dropped.
#[derive(Debug)]
pub struct SmallCluster {
    shape: ClusterShape,
    entries: Vec<EntrySlot>,
    workers: Vec<WorkerProcess>,
    /// The links from each entry's process to each entry's process.
    between: Vec<Vec<LinkForwarder>>,
    /// The links from each agent to each entry's process.
    from_agents: Vec<Vec<LinkForwarder>>,
    record: TaskEventLog,
    _network: LinkNetwork,
    _folder: TempDir,
}

impl SmallCluster {
    /// Starts every part of a cluster of the default shape.
    pub fn start() -> Self {
        Self::start_shaped(ClusterShape::default())
    }

    /// Starts every part.
    ///
    /// # Panics
    ///
    /// Panics if there is no room for the data folders.
    pub fn start_shaped(shape: ClusterShape) -> Self {
        let network = LinkNetwork::start();
        let folder = tempfile::tempdir().expect("there is a temporary folder");
        let mut cluster = Self {
            shape,
            entries: Vec::new(),
            workers: Vec::new(),
            between: vec![Vec::new(); shape.entries],
            from_agents: vec![Vec::new(); shape.workers],
            record: TaskEventLog::default(),
            _network: network,
            _folder: folder,
        };
        cluster.open_internal_links();
        for number in 0..shape.entries {
            let slot = EntrySlot {
                folder: cluster._folder.path().join(format!("replica-{number}")),
                thread: None,
                killed: false,
                callers: cluster._network.forwarder(),
                operators: cluster._network.forwarder(),
            };
            cluster.entries.push(slot);
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

    /// Opens the links of every process to each entry's process.
    fn open_internal_links(&mut self) {
        let entries = (0..self.shape.entries).map(entry_cluster);
        let senders: Vec<_> = entries
            .chain((0..self.shape.workers).map(agent_cluster))
            .collect();
        for number in 0..self.shape.entries {
            let links = self
                ._network
                .shared_forwarders(&senders, &entry_cluster(number));
            let rows = self.between.iter_mut().chain(&mut self.from_agents);
            for (row, link) in rows.zip(links) {
                row.push(link);
            }
        }
    }

    fn new_worker(&self, number: usize) -> WorkerProcess {
        let links = &self.from_agents[number];
        let mut relays: Vec<_> = links.iter().map(LinkForwarder::address).collect();
        relays.rotate_left(number % self.shape.entries);
        let probe = TestHooks {
            label: worker_name(number).to_string(),
            event_log: self.record.clone(),
            faults: FaultInjector::default(),
        };
        let announce = self._network.forwarder();
        WorkerProcess::start(number, &self.shape, relays, announce, probe)
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.shape.entries
    }

    /// Returns the number of workers.
    pub fn workers(&self) -> usize {
        self.shape.workers
    }

    /// Returns what happened at the backend servers.
    pub fn record(&self) -> &TaskEventLog {
        &self.record
    }

    /// Returns the switch for the answers of a backend server.
    pub fn switch(&self, worker: usize) -> &FaultInjector {
        &self.workers[worker].probe.faults
    }

    /// Returns the name of a worker.
    pub fn worker_label(&self, worker: usize) -> &str {
        &self.workers[worker].probe.label
    }

    /// Returns the addresses at which callers reach the entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let links = self.entries.iter().map(|e| e.callers.address());
        links.collect()
    }

    /// Returns a client that shows a customer's token.
    pub fn caller(&self, customer: &str) -> CallerClient {
        CallerClient::new(self.caller_addresses(), token_of(customer))
    }

    /// Returns a client that shows the operator's token.
    pub fn operator(&self) -> CallerClient {
        let links = self.entries.iter().map(|e| e.operators.address());
        CallerClient::new(links.collect(), token_of("operator"))
    }

    /// Starts an entry from its data folder.
    pub fn start_entry(&mut self, number: usize) {
        if std::mem::take(&mut self.entries[number].killed) {
            std::thread::sleep(KILL_PAUSE);
        }
        let links = &self.between[number];
        let replicas: Vec<_> = links.iter().map(LinkForwarder::address).collect();
        let folder = &self.entries[number].folder;
        let config = entry_config(number, folder, &self.shape, &replicas);
        let (thread, addresses) = start_entry(config);
        for row in self.between.iter().chain(&self.from_agents) {
            row[number].set_target(addresses.internal);
        }
        let slot = &mut self.entries[number];
        slot.callers.set_target(addresses.callers);
        slot.operators.set_target(addresses.operators);
        slot.thread = Some(thread);
    }

    /// Kills an entry with its control replica.
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].thread = None;
        self.entries[number].killed = true;
    }

    /// Stops an entry gracefully.
    pub fn stop_entry(&mut self, number: usize) {
        if let Some(mut thread) = self.entries[number].thread.take() {
            thread.stop();
        }
    }

    /// Asks an entry to stop gracefully, without waiting for its end.
    pub fn ask_entry_to_stop(&mut self, number: usize) {
        if let Some(thread) = &self.entries[number].thread {
            thread.ask_to_stop();
        }
    }

    /// Returns whether an entry runs.
    pub fn entry_runs(&self, number: usize) -> bool {
        let thread = &self.entries[number].thread;
        thread.as_ref().is_some_and(PartThread::is_running)
    }

    /// Empties the data folder of an entry that does not run, as after the loss of its disk.
    ///
    /// # Panics
    ///
    /// Panics if the folder can't be removed.
    pub fn lose_disk(&mut self, number: usize) {
        let folder = &self.entries[number].folder;
        std::fs::remove_dir_all(folder).expect("the data folder can be removed");
    }

    /// Kills an agent.
    pub fn kill_agent(&mut self, worker: usize) {
        self.workers[worker].kill_agent();
    }

    /// Starts an agent again, as a new incarnation.
    pub fn start_agent(&mut self, worker: usize) {
        self.workers[worker].start_agent();
    }

    /// Stops an agent gracefully.
    pub fn stop_agent(&mut self, worker: usize) {
        if let Some(mut agent) = self.workers[worker].agent.take() {
            agent.stop();
        }
    }

    /// Kills a backend server and every task on it.
    pub fn kill_backend(&mut self, worker: usize) {
        self.workers[worker].kill_backend();
    }

    /// Starts a backend server again; it remembers no task.
    pub fn start_backend(&mut self, worker: usize) {
        self.workers[worker].start_backend();
    }

    /// Lets a backend server announce that it leaves.
    pub fn leave_backend(&self, worker: usize) {
        self.workers[worker].leave();
    }

    /// Holds the bytes between one entry's process and all other processes of the system.
    pub fn isolate_entry(&self, number: usize, side: FlowSide) {
        let flow = |held| match held {
            true => LinkFlow::Held,
            false => LinkFlow::Open,
        };
        let sent = flow(side != FlowSide::In);
        let received = flow(side != FlowSide::Out);
        for other in (0..self.shape.entries).filter(|other| *other != number) {
            self.between[number][other].set_flows(sent, received);
            self.between[other][number].set_flows(received, sent);
        }
        for links in &self.from_agents {
            links[number].set_flows(received, sent);
        }
    }

    /// Holds the bytes between the entries and agents of one region and all others.
    pub fn cut_off_region(&self, entries: &[usize], workers: &[usize]) {
        let cut = |link: &LinkForwarder, inside: bool, to: usize| {
            if inside != entries.contains(&to) {
                link.set_flows(LinkFlow::Held, LinkFlow::Held);
            }
        };
        for (from, links) in self.between.iter().enumerate() {
            for (to, link) in links.iter().enumerate() {
                cut(link, entries.contains(&from), to);
            }
        }
        for (from, links) in self.from_agents.iter().enumerate() {
            for (to, link) in links.iter().enumerate() {
                cut(link, workers.contains(&from), to);
            }
        }
    }

    /// Holds the bytes between two entries' processes, in both directions.
    pub fn part_entries(&self, one: usize, other: usize) {
        self.between[one][other].set_flows(LinkFlow::Held, LinkFlow::Held);
        self.between[other][one].set_flows(LinkFlow::Held, LinkFlow::Held);
    }

    /// Returns the links of callers to an entry.
    pub fn caller_link(&self, entry: usize) -> &LinkForwarder {
        &self.entries[entry].callers
    }

    /// Returns the links from an entry's process to another's.
    pub fn entry_link(&self, from: usize, to: usize) -> &LinkForwarder {
        &self.between[from][to]
    }

    /// Returns the links from an agent to an entry's process.
    pub fn agent_link(&self, worker: usize, entry: usize) -> &LinkForwarder {
        &self.from_agents[worker][entry]
    }

    /// Returns every link between processes of the system.
    pub fn internal_links(&self) -> impl Iterator<Item = &LinkForwarder> {
        self.between.iter().chain(&self.from_agents).flatten()
    }

    /// Lets every link pass everything again.
    pub fn heal_links(&self) {
        for link in self.internal_links() {
            link.heal();
        }
        for entry in &self.entries {
            entry.callers.heal();
            entry.operators.heal();
        }
    }

    /// Starts every part that does not run.
    pub fn start_missing(&mut self) {
        for number in 0..self.shape.entries {
            if !self.entry_runs(number) {
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
