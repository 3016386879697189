//! Replicas on fake disks and a fake network, whose invariants are checked after each step.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_quorum::{
    DiskId,
    EntryBody,
    LogEntry,
    LogIndex,
    MemberChange,
    MemberId,
    MemberRole,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaRole,
    ReplicaSetup,
    ReplicaTiming,
    TermNumber, //
};

use crate::fake_disk::FakeDisk;

/// The number of replicas that bootstrap the cluster; the others join later.
pub(crate) const SEEDS: u64 = 3;
/// The maximum number of messages in flight; when exceeded, the oldest are dropped.
const MAX_IN_FLIGHT: usize = 400;
/// The usual size of an encoded state, in bytes, chosen so that a snapshot takes several chunks.
const STATE_BYTES: usize = 200;
/// The duration of one round, in milliseconds.
pub(crate) const ROUND_MS: u64 = 15;

/// The host's state machine: a digest over every command in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FakeState {
    pub(crate) index: u64,
    pub(crate) digest: u64,
    /// The number of commands applied.
    pub(crate) revision: u64,
}

impl FakeState {
    fn apply(&mut self, entry: &LogEntry) {
        assert_eq!(
            entry.index.0,
            self.index + 1,
            "entries are applied in order"
        );
        self.index = entry.index.0;
        if let EntryBody::Command(payload) = &entry.body {
            self.revision += 1;
            for byte in payload {
                self.digest = self
                    .digest
                    .wrapping_mul(31)
                    .wrapping_add(u64::from(*byte) + 1);
            }
        }
    }

    fn encode(&self, state_bytes: usize) -> Vec<u8> {
        let mut bytes = vec![7; state_bytes];
        bytes[..8].copy_from_slice(&self.index.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.digest.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.revision.to_le_bytes());
        bytes[24..32].copy_from_slice(&(state_bytes as u64).to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        let number =
            |offset: usize| u64::from_le_bytes(bytes[offset..offset + 8].try_into().unwrap());
        assert_eq!(bytes.len() as u64, number(24), "a snapshot is complete");
        Self {
            index: number(0),
            digest: number(8),
            revision: number(16),
        }
    }
}

/// A replica, which runs unless `core` is `None`, with its disk and its state machine.
pub(crate) struct FakeNode {
    pub(crate) id: MemberId,
    pub(crate) disk: FakeDisk,
    pub(crate) core: Option<ReplicaCore>,
    pub(crate) state: FakeState,
}

/// A message in flight.
#[derive(Clone)]
pub(crate) struct FakePacket {
    pub(crate) from: MemberId,
    pub(crate) to: ReplicaId,
    pub(crate) message: PeerMessage,
}

/// The history against which invariants are checked.
#[derive(Default)]
struct ObservedHistory {
    leaders: BTreeMap<TermNumber, MemberId>,
    entries: BTreeMap<(LogIndex, TermNumber), EntryBody>,
    applied: BTreeMap<u64, FakeState>,
    /// The newest state that a leader has served.
    served: FakeState,
}

/// A cluster in which the test controls time, message delivery, syncs and crashes.
pub(crate) struct FakeCluster {
    pub(crate) now_ms: u64,
    pub(crate) nodes: Vec<FakeNode>,
    pub(crate) packets: Vec<FakePacket>,
    /// The size of the state in the snapshots that the test requests, in bytes.
    pub(crate) state_bytes: usize,
    cut_links: BTreeSet<(u64, u64)>,
    disk_count: u64,
    random_seed: u64,
    command_count: u64,
    history: ObservedHistory,
}

/// Returns small limits, so that appends, snapshots and compactions are frequent.
pub(crate) fn test_timing() -> ReplicaTiming {
    ReplicaTiming {
        max_append_entries: 4,
        max_append_bytes: 150,
        retained_entries: 3,
        ..ReplicaTiming::default()
    }
}

impl FakeCluster {
    pub(crate) fn new(count: u64) -> Self {
        Self::with_seed(count, 0)
    }

    /// Creates a cluster of `count` replicas without logs.
    pub(crate) fn with_seed(count: u64, random_seed: u64) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            nodes: Vec::new(),
            packets: Vec::new(),
            state_bytes: STATE_BYTES,
            cut_links: BTreeSet::new(),
            disk_count: 0,
            random_seed,
            command_count: 0,
            history: ObservedHistory::default(),
        };
        for number in 1..=count {
            let id = cluster.new_id(number);
            let mut node = FakeNode {
                id,
                disk: FakeDisk::default(),
                core: None,
                state: FakeState::default(),
            };
            start(&mut node, 0, random_seed);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Creates a cluster with a leader.
    pub(crate) fn bootstrapped(count: u64) -> Self {
        Self::bootstrapped_with_seed(count, 0)
    }

    pub(crate) fn bootstrapped_with_seed(count: u64, random_seed: u64) -> Self {
        let mut cluster = Self::with_seed(count, random_seed);
        assert!(
            cluster.run_until(|c| c.serving_node().is_some()),
            "a leader is elected"
        );
        cluster
    }

    fn new_id(&mut self, number: u64) -> MemberId {
        self.disk_count += 1;
        MemberId {
            replica: ReplicaId(number),
            disk: DiskId(self.disk_count),
        }
    }

    pub(crate) fn core(&self, node: usize) -> &ReplicaCore {
        self.nodes[node].core.as_ref().expect("the replica runs")
    }

    pub(crate) fn core_mut(&mut self, node: usize) -> &mut ReplicaCore {
        self.nodes[node].core.as_mut().expect("the replica runs")
    }

    /// Returns the replica that can serve, and checks that there is at most one.
    pub(crate) fn serving_node(&self) -> Option<usize> {
        let serves = |node: &FakeNode| {
            let core = node.core.as_ref();
            core.is_some_and(|c| c.can_serve() && c.applied_term() == c.term())
        };
        let serving: Vec<_> = (0..self.nodes.len())
            .filter(|n| serves(&self.nodes[*n]))
            .collect();
        assert!(serving.len() <= 1, "two replicas serve: {serving:?}");
        serving.first().copied()
    }

    pub(crate) fn propose(&mut self) -> bool {
        self.propose_bytes(8)
    }

    pub(crate) fn propose_bytes(&mut self, bytes: usize) -> bool {
        self.command_count += 1;
        let mut payload = self.command_count.to_le_bytes().to_vec();
        payload.resize(bytes.max(8), 0);
        let mut proposed = false;
        for node in &mut self.nodes {
            let core = node.core.as_mut();
            proposed |= core.is_some_and(|c| c.propose(payload.clone()).is_ok());
        }
        self.process_outputs();
        proposed
    }

    /// Proposes a membership change to every replica; returns whether one accepted it.
    pub(crate) fn change_members(&mut self, change: &MemberChange) -> bool {
        let mut proposed = false;
        for node in &mut self.nodes {
            let core = node.core.as_mut();
            proposed |= core.is_some_and(|c| c.propose_member_change(change).is_ok());
        }
        self.process_outputs();
        proposed
    }

    /// Proposes a membership change until the leader accepts it, and runs until it is committed.
    pub(crate) fn commit_change(&mut self, change: &MemberChange) {
        let mut tries = 0;
        while !self.change_members(change) {
            tries += 1;
            assert!(tries < 1_000, "the leader accepts {change:?}");
            self.run_round();
        }
        let is_committed = |c: &Self| {
            let leader = c.serving_node();
            leader.is_some_and(|n| c.core(n).members_are_committed())
        };
        assert!(self.run_until(is_committed), "{change:?} is committed");
    }

    pub(crate) fn compact(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let state = node.state.encode(self.state_bytes);
        if let Some(core) = &mut node.core {
            core.compact(state);
        }
        self.process_outputs();
    }

    /// Stops a replica and discards its unsynced writes, except for the first `kept` operations.
    pub(crate) fn crash(&mut self, node: usize, kept: usize) {
        let node = &mut self.nodes[node];
        if node.core.take().is_some() {
            node.disk.crash(kept);
        }
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[node];
        if node.core.is_none() {
            start(node, now_ms, self.random_seed);
        }
        self.process_outputs();
    }

    /// Restarts a replica with an empty disk, unless no other seed has a log.
    pub(crate) fn replace_disk(&mut self, number: usize) {
        let has_log = |node: &FakeNode| node.disk.stored.log.last_index() > LogIndex(0);
        let seeds = self.nodes.iter().take(SEEDS as usize).enumerate();
        let remaining = seeds
            .filter(|(n, node)| *n != number && has_log(node))
            .count();
        if remaining == 0 {
            return;
        }
        let id = self.new_id(number as u64 + 1);
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        node.id = id;
        node.disk = FakeDisk::default();
        start(node, now_ms, self.random_seed);
        self.process_outputs();
    }

    /// Drops every later message from one replica to another.
    pub(crate) fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from as u64 + 1, to as u64 + 1));
    }

    pub(crate) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cut_link(node, other);
            self.cut_link(other, node);
        }
    }

    /// Restores every link.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Syncs the oldest unsynced write of a replica.
    pub(crate) fn sync(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if let (Some(number), Some(core)) = (node.disk.sync_next(), &mut node.core) {
            core.complete_write(number);
        }
        self.process_outputs();
    }

    pub(crate) fn deliver(&mut self, packet: FakePacket) {
        let number = usize::try_from(packet.to.0).unwrap() - 1;
        let now_ms = self.now_ms;
        if let Some(core) = self.nodes.get_mut(number).and_then(|n| n.core.as_mut()) {
            core.tick(now_ms);
            core.receive(packet.from, packet.message);
        }
    }

    /// Advances the time of every running replica.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        self.now_ms += span_ms;
        for node in &mut self.nodes {
            if let Some(core) = &mut node.core {
                core.tick(self.now_ms);
            }
        }
        self.process_outputs();
    }

    /// Runs a round in which every message arrives but no disk syncs.
    pub(crate) fn exchange_messages(&mut self) {
        self.advance(ROUND_MS);
        for packet in std::mem::take(&mut self.packets) {
            self.deliver(packet);
        }
        self.process_outputs();
    }

    /// Runs a round without faults: time passes, every message arrives and disks sync.
    pub(crate) fn run_round(&mut self) {
        self.exchange_messages();
        for node in 0..self.nodes.len() {
            self.sync(node);
            self.sync(node);
        }
    }

    /// Runs rounds until the condition holds, for at most a minute; returns whether it holds.
    pub(crate) fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..60_000 / ROUND_MS {
            if condition(self) {
                return true;
            }
            self.run_round();
        }
        condition(self)
    }

    /// Runs in steps of half a millisecond, with latencies of messages and syncs, until a replica
    /// serves; returns the elapsed time in microseconds.
    pub(crate) fn time_until_serving(&mut self, one_way_us: u64, sync_us: u64) -> u64 {
        const STEP_US: u64 = 500;
        let (start_ms, mut elapsed_us) = (self.now_ms, 0);
        let mut in_transit: Vec<(u64, FakePacket)> = Vec::new();
        let mut syncs: Vec<Option<u64>> = vec![None; self.nodes.len()];
        while self.serving_node().is_none() {
            elapsed_us += STEP_US;
            let span_ms = start_ms + elapsed_us / 1_000 - self.now_ms;
            self.advance(span_ms);
            let sent = std::mem::take(&mut self.packets);
            in_transit.extend(sent.into_iter().map(|p| (elapsed_us + one_way_us, p)));
            let due = in_transit
                .iter()
                .take_while(|(due_us, _)| *due_us <= elapsed_us)
                .count();
            for (_, packet) in in_transit.drain(..due) {
                self.deliver(packet);
            }
            for (node, sync) in syncs.iter_mut().enumerate() {
                match *sync {
                    Some(due_us) if due_us <= elapsed_us => {
                        self.sync(node);
                        *sync = None;
                    }
                    None if self.nodes[node].disk.has_unsynced() => {
                        *sync = Some(elapsed_us + sync_us);
                    }
                    _ => {}
                }
            }
            assert!(elapsed_us < 60_000_000, "a leader is elected");
        }
        elapsed_us
    }

    /// Proposes a command and runs until it is applied on every one of `nodes`.
    pub(crate) fn commit(&mut self, nodes: &[usize]) {
        assert!(
            self.run_until(|c| c.serving_node().is_some()),
            "a leader is elected"
        );
        assert!(self.propose(), "the leader accepts a command");
        let leader = self.serving_node().expect("the leader serves");
        let last = self.core(leader).last_index().0;
        let is_applied = |c: &Self| nodes.iter().all(|n| c.nodes[*n].state.index >= last);
        assert!(self.run_until(is_applied), "the command is applied");
    }

    /// Passes the outputs of the replicas to disks, network and state machines, and checks the
    /// invariants.
    pub(crate) fn process_outputs(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            let Some(core) = &mut node.core else {
                continue;
            };
            if let Some(batch) = core.take_write() {
                node.disk.queue(batch);
            }
            for (to, message) in core.take_messages() {
                let from = node.id;
                if !self.cut_links.contains(&(from.replica.0, to.replica.0)) {
                    let to = to.replica;
                    self.packets.push(FakePacket { from, to, message });
                }
            }
            if let Some(snapshot) = core.take_restore() {
                node.state = FakeState::decode(&snapshot.state);
                self.history.check_applied(&node.state);
            }
            for entry in core.take_committed() {
                node.state.apply(&entry);
                self.history.check_applied(&node.state);
            }
        }
        let excess = self.packets.len().saturating_sub(MAX_IN_FLIGHT);
        self.packets.drain(..excess);
        self.check_invariants();
    }

    fn check_invariants(&mut self) {
        for node in &self.nodes {
            self.history.check_leader_and_log(node);
        }
        if let Some(serving_node) = self.serving_node() {
            let state = self.nodes[serving_node].state;
            assert!(
                state.index >= self.history.served.index
                    && state.revision >= self.history.served.revision,
                "a leader serves older state than one that was served",
            );
            self.history.served = state;
        }
    }

    /// Returns whether a majority of the disks still exists for every membership stored on any
    /// disk.
    pub(crate) fn has_quorum_of_disks(&self) -> bool {
        let exists = |id: MemberId| self.nodes.iter().any(|n| n.id == id);
        self.nodes.iter().all(|node| {
            let stored = node.disk.load();
            let snapshot = stored.snapshot.as_ref().map(|s| s.meta.members.clone());
            let logged = stored.log.iter().filter_map(|entry| match &entry.body {
                EntryBody::Members(members) => Some(members.clone()),
                _ => None,
            });
            let core = node.core.as_ref();
            let current = core.and_then(|c| c.members().cloned());
            logged
                .chain(snapshot)
                .chain(current)
                .all(|members| members.is_majority(exists))
        })
    }

    /// Ends all faults and checks that a leader serves again, if a quorum of disks exists.
    pub(crate) fn recover(&mut self) {
        self.heal();
        for node in 0..self.nodes.len() {
            self.restart(node);
        }
        // Completes pending writes, whose memberships count as well.
        (0..3).for_each(|_| self.run_round());
        if self.has_quorum_of_disks() {
            let served = self.history.served;
            assert!(
                self.run_until(|c| c.serving_node().is_some()),
                "a leader is elected again"
            );
            let leader = self.serving_node().expect("the leader serves");
            assert!(
                self.nodes[leader].state.index >= served.index,
                "served state is lost"
            );
        }
    }

    /// Returns a learner in the leader's membership, if any.
    pub(crate) fn learner(&self) -> Option<MemberId> {
        let leader = self.serving_node()?;
        let members = self.core(leader).members()?;
        let learner = members.iter().find(|(_, m)| m.role == MemberRole::Learner);
        learner.map(|(id, _)| id)
    }
}

impl ObservedHistory {
    fn check_applied(&mut self, state: &FakeState) {
        let applied = self.applied.entry(state.index).or_insert(*state);
        assert_eq!(applied, state, "two replicas applied different entries");
    }

    fn check_leader_and_log(&mut self, node: &FakeNode) {
        if let Some(core) = node
            .core
            .as_ref()
            .filter(|c| c.role() == ReplicaRole::Leader)
        {
            let leader = self.leaders.entry(core.term()).or_insert(node.id);
            assert_eq!(*leader, node.id, "two leaders in term {}", core.term());
        }
        // Entries never change once they are written, so it is enough to check the current log.
        for entry in node.disk.stored.log.iter() {
            let position = (entry.index, entry.term);
            let body = self
                .entries
                .entry(position)
                .or_insert_with(|| entry.body.clone());
            assert_eq!(*body, entry.body, "two logs differ at {position:?}");
        }
    }
}

/// Starts a replica from its stored state.
fn start(node: &mut FakeNode, now_ms: u64, random_seed: u64) {
    let setup = ReplicaSetup {
        id: node.id,
        address: format!("address-{}", node.id.replica),
        seeds: (1..=SEEDS).map(ReplicaId).collect(),
        can_bootstrap: true,
        timing: test_timing(),
        random_seed: random_seed.wrapping_mul(1_000_003) ^ now_ms,
    };
    node.state = FakeState::default();
    node.core = Some(ReplicaCore::new(setup, node.disk.load(), now_ms));
}
