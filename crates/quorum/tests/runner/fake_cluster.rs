//! Replicas on fake disks and a fake network, with the oracle that watches them.

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

/// The replicas that found the cluster; the others join later.
pub(crate) const SEEDS: u64 = 3;
/// Messages that the network holds; older ones are lost.
const MAX_IN_FLIGHT: usize = 400;
/// The length of an encoded state, so that a snapshot takes several chunks.
const STATE_BYTES: usize = 200;
/// The time of one round, in milliseconds.
const ROUND_MS: u64 = 15;

/// The host's state machine: a digest over every command in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FakeState {
    pub(crate) index: u64,
    pub(crate) digest: u64,
    /// Grows with each command, like the revision of a configuration.
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

    fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![7; STATE_BYTES];
        bytes[..8].copy_from_slice(&self.index.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.digest.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.revision.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        assert_eq!(bytes.len(), STATE_BYTES, "a snapshot arrives whole");
        let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            index: number(0),
            digest: number(8),
            revision: number(16),
        }
    }
}

pub(crate) struct FakeNode {
    pub(crate) id: MemberId,
    pub(crate) disk: FakeDisk,
    pub(crate) core: Option<ReplicaCore>,
    pub(crate) state: FakeState,
}

/// A message on its way.
pub(crate) struct FakePacket {
    pub(crate) from: MemberId,
    pub(crate) to: ReplicaId,
    pub(crate) message: PeerMessage,
}

/// What the oracle remembers.
#[derive(Default)]
struct SeenHistory {
    leaders: BTreeMap<TermNumber, MemberId>,
    entries: BTreeMap<(LogIndex, TermNumber), EntryBody>,
    applied: BTreeMap<u64, FakeState>,
    served: FakeState,
}

pub(crate) struct FakeCluster {
    pub(crate) now_ms: u64,
    pub(crate) nodes: Vec<FakeNode>,
    pub(crate) packets: Vec<FakePacket>,
    cuts: BTreeSet<(u64, u64)>,
    disks: u64,
    random_seed: u64,
    commands: u64,
    seen: SeenHistory,
}

pub(crate) fn test_timing() -> ReplicaTiming {
    ReplicaTiming {
        append_entries: 4,
        append_bytes: 150,
        retained_entries: 3,
        ..ReplicaTiming::default()
    }
}

impl FakeCluster {
    pub(crate) fn new(count: u64) -> Self {
        Self::seeded(count, 0)
    }

    pub(crate) fn seeded(count: u64, random_seed: u64) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            nodes: Vec::new(),
            packets: Vec::new(),
            cuts: BTreeSet::new(),
            disks: 0,
            random_seed,
            commands: 0,
            seen: SeenHistory::default(),
        };
        for number in 1..=count {
            let id = cluster.fresh_id(number);
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

    /// Makes a cluster that has a leader.
    pub(crate) fn founded(count: u64) -> Self {
        Self::founded_seeded(count, 0)
    }

    pub(crate) fn founded_seeded(count: u64, random_seed: u64) -> Self {
        let mut cluster = Self::seeded(count, random_seed);
        assert!(
            cluster.run_until(|c| c.serving().is_some()),
            "a leader is elected"
        );
        cluster
    }

    fn fresh_id(&mut self, number: u64) -> MemberId {
        self.disks += 1;
        MemberId {
            replica: ReplicaId(number),
            disk: DiskId(self.disks),
        }
    }

    pub(crate) fn core(&self, node: usize) -> &ReplicaCore {
        self.nodes[node].core.as_ref().expect("the replica runs")
    }

    pub(crate) fn core_mut(&mut self, node: usize) -> &mut ReplicaCore {
        self.nodes[node].core.as_mut().expect("the replica runs")
    }

    /// Returns the replica that may serve, and checks that there is one at most.
    pub(crate) fn serving(&self) -> Option<usize> {
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
        self.commands += 1;
        let mut payload = self.commands.to_le_bytes().to_vec();
        payload.resize(bytes.max(8), 0);
        let mut proposed = false;
        for node in &mut self.nodes {
            let core = node.core.as_mut();
            proposed |= core.is_some_and(|c| c.propose(payload.clone()).is_ok());
        }
        self.settle();
        proposed
    }

    /// Proposes a change of the members to whoever leads.
    pub(crate) fn change_members(&mut self, change: &MemberChange) -> bool {
        let mut proposed = false;
        for node in &mut self.nodes {
            let core = node.core.as_mut();
            proposed |= core.is_some_and(|c| c.propose_member_change(change).is_ok());
        }
        self.settle();
        proposed
    }

    /// Proposes a change until the leader takes it, and runs until it is committed.
    pub(crate) fn settle_change(&mut self, change: &MemberChange) {
        let mut tries = 0;
        while !self.change_members(change) {
            tries += 1;
            assert!(tries < 1_000, "the leader takes {change:?}");
            self.round();
        }
        let settled = |c: &Self| {
            let leader = c.serving();
            leader.is_some_and(|n| c.core(n).members_are_committed())
        };
        assert!(self.run_until(settled), "{change:?} is committed");
    }

    pub(crate) fn compact(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let state = node.state.encode();
        if let Some(core) = &mut node.core {
            core.compact(state);
        }
        self.settle();
    }

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
        self.settle();
    }

    /// Gives a replica an empty disk, unless no seed would be left that knows the cluster.
    pub(crate) fn replace_disk(&mut self, number: usize) {
        let is_known = |node: &FakeNode| node.disk.held.log.last_index() > LogIndex(0);
        let seeds = self.nodes.iter().take(SEEDS as usize).enumerate();
        let left = seeds
            .filter(|(n, node)| *n != number && is_known(node))
            .count();
        if left == 0 {
            return;
        }
        let id = self.fresh_id(number as u64 + 1);
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        node.id = id;
        node.disk = FakeDisk::default();
        start(node, now_ms, self.random_seed);
        self.settle();
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from as u64 + 1, to as u64 + 1));
    }

    pub(crate) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cut(node, other);
            self.cut(other, node);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn sync(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if let (Some(number), Some(core)) = (node.disk.sync_next(), &mut node.core) {
            core.complete_write(number);
        }
        self.settle();
    }

    pub(crate) fn deliver(&mut self, packet: FakePacket) {
        let number = usize::try_from(packet.to.0).unwrap() - 1;
        let now_ms = self.now_ms;
        if let Some(core) = self.nodes.get_mut(number).and_then(|n| n.core.as_mut()) {
            core.tick(now_ms);
            core.receive(packet.from, packet.message);
        }
    }

    /// Lets time pass for every replica that runs.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        self.now_ms += span_ms;
        for node in &mut self.nodes {
            if let Some(core) = &mut node.core {
                core.tick(self.now_ms);
            }
        }
        self.settle();
    }

    /// Lets time pass and every message arrive, without a sync.
    pub(crate) fn exchange(&mut self) {
        self.advance(ROUND_MS);
        for packet in std::mem::take(&mut self.packets) {
            self.deliver(packet);
        }
        self.settle();
    }

    /// Runs one round without faults: time passes, disks sync and every message arrives.
    pub(crate) fn round(&mut self) {
        self.exchange();
        for node in 0..self.nodes.len() {
            self.sync(node);
            self.sync(node);
        }
    }

    /// Runs rounds until the condition holds, for a minute at most.
    pub(crate) fn run_until(&mut self, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..60_000 / ROUND_MS {
            if holds(self) {
                return true;
            }
            self.round();
        }
        holds(self)
    }

    /// Runs in steps of half a millisecond, with delays of messages and syncs, until a replica
    /// serves; returns the time in microseconds.
    pub(crate) fn time_until_serving(&mut self, one_way_us: u64, sync_us: u64) -> u64 {
        const STEP_US: u64 = 500;
        let (start_ms, mut elapsed_us) = (self.now_ms, 0);
        let mut on_the_way: Vec<(u64, FakePacket)> = Vec::new();
        let mut syncs: Vec<Option<u64>> = vec![None; self.nodes.len()];
        while self.serving().is_none() {
            elapsed_us += STEP_US;
            let span_ms = start_ms + elapsed_us / 1_000 - self.now_ms;
            self.advance(span_ms);
            let sent = std::mem::take(&mut self.packets);
            on_the_way.extend(sent.into_iter().map(|p| (elapsed_us + one_way_us, p)));
            let due = on_the_way
                .iter()
                .take_while(|(at, _)| *at <= elapsed_us)
                .count();
            for (_, packet) in on_the_way.drain(..due) {
                self.deliver(packet);
            }
            for (node, sync) in syncs.iter_mut().enumerate() {
                match *sync {
                    Some(at) if at <= elapsed_us => {
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

    /// Proposes a command and runs until it is applied everywhere that `nodes` names.
    pub(crate) fn commit(&mut self, nodes: &[usize]) {
        assert!(
            self.run_until(|c| c.serving().is_some()),
            "a leader is elected"
        );
        assert!(self.propose(), "the leader takes a command");
        let leader = self.serving().expect("the leader serves");
        let last = self.core(leader).last_index().0;
        let reached = |c: &Self| nodes.iter().all(|n| c.nodes[*n].state.index >= last);
        assert!(self.run_until(reached), "the command is applied");
    }

    /// Moves what the replicas put out to disks and network, applies, and asks the oracle.
    pub(crate) fn settle(&mut self) {
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
                if !self.cuts.contains(&(from.replica.0, to.replica.0)) {
                    let to = to.replica;
                    self.packets.push(FakePacket { from, to, message });
                }
            }
            if let Some(snapshot) = core.take_restore() {
                node.state = FakeState::decode(&snapshot.state);
                self.seen.check_state(&node.state);
            }
            for entry in core.take_committed() {
                node.state.apply(&entry);
                self.seen.check_state(&node.state);
            }
        }
        let excess = self.packets.len().saturating_sub(MAX_IN_FLIGHT);
        self.packets.drain(..excess);
        self.check();
    }

    fn check(&mut self) {
        for node in &self.nodes {
            self.seen.check_node(node);
        }
        if let Some(serving) = self.serving() {
            let state = self.nodes[serving].state;
            assert!(
                state.index >= self.seen.served.index
                    && state.revision >= self.seen.served.revision,
                "a leader serves older state than one that was served",
            );
            self.seen.served = state;
        }
    }

    /// Returns whether every membership that a disk knows has a majority of its disks.
    pub(crate) fn has_quorums(&self) -> bool {
        let is_here = |id: MemberId| self.nodes.iter().any(|n| n.id == id);
        self.nodes.iter().all(|node| {
            let stored = node.disk.load();
            let snapshot = stored.snapshot.as_ref().map(|s| s.meta.members.clone());
            let logged = stored.log.iter().filter_map(|entry| match &entry.body {
                EntryBody::Members(members) => Some(members.clone()),
                _ => None,
            });
            let core = node.core.as_ref();
            let known = core.and_then(|c| c.members().cloned());
            logged
                .chain(snapshot)
                .chain(known)
                .all(|members| members.is_majority(is_here))
        })
    }

    /// Ends all faults and checks that the replicas serve again, where they can.
    pub(crate) fn recover(&mut self) {
        self.heal();
        for node in 0..self.nodes.len() {
            self.restart(node);
        }
        // What was on its way to a disk counts too.
        (0..3).for_each(|_| self.round());
        if self.has_quorums() {
            let served = self.seen.served;
            assert!(
                self.run_until(|c| c.serving().is_some()),
                "a leader comes back"
            );
            let leader = self.serving().expect("the leader serves");
            assert!(
                self.nodes[leader].state.index >= served.index,
                "nothing is lost"
            );
        }
    }

    /// Returns the learner that the leader knows, if any.
    pub(crate) fn learner(&self) -> Option<MemberId> {
        let leader = self.serving()?;
        let members = self.core(leader).members()?;
        let learner = members.iter().find(|(_, m)| m.role == MemberRole::Learner);
        learner.map(|(id, _)| id)
    }
}

impl SeenHistory {
    fn check_state(&mut self, state: &FakeState) {
        let known = self.applied.entry(state.index).or_insert(*state);
        assert_eq!(known, state, "two replicas applied different entries");
    }

    fn check_node(&mut self, node: &FakeNode) {
        if let Some(core) = node
            .core
            .as_ref()
            .filter(|c| c.role() == ReplicaRole::Leader)
        {
            let leader = self.leaders.entry(core.term()).or_insert(node.id);
            assert_eq!(*leader, node.id, "two leaders in term {}", core.term());
        }
        // Entries are written once and are never changed, so the newest ones are enough.
        for entry in node.disk.held.log.iter() {
            let at = (entry.index, entry.term);
            let known = self.entries.entry(at).or_insert_with(|| entry.body.clone());
            assert_eq!(*known, entry.body, "two logs differ at {at:?}");
        }
    }
}

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
