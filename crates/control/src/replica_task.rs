//! The task that owns a replica.

use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use futures::{
    FutureExt,
    select_biased, //
};
use roseridge_events::MetricSet;
use roseridge_ledger::LedgerState;
use roseridge_quorum::{
    DiskId,
    Membership,
    ReplicaCore,
    ReplicaRole,
    ReplicaSetup, //
};
use roseridge_shutdown::StopSignal;
use roseridge_store::{
    ReplicaStore,
    StoreOptions, //
};
use roseridge_wire::{
    CallError,
    InboundCall, //
};
use snafu::ResultExt;

use crate::{
    ReplicaConfig, ReplicaError,
    clock::HostClock,
    leader_desk::LeaderDesk,
    leader_meter::{
        LeaderMeter,
        LogExtent, //
    },
    peer_links::PeerLinks,
    replica_error::StoreUnusableSnafu,
    replica_log::WriteDone,
};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// The most calls taken between two rounds of work.
const CALLS_PER_ROUND: usize = 256;
/// How long a stopping leader waits for its successor, in milliseconds.
const HANDOVER_MS: u64 = 2_000;

/// A replica with everything that it owns; each file of this crate holds one side of its work.
pub(crate) struct ReplicaTask {
    pub(crate) config: ReplicaConfig,
    pub(crate) clock: HostClock,
    pub(crate) core: ReplicaCore,
    pub(crate) store: Option<ReplicaStore>,
    pub(crate) writes: Sender<WriteDone>,
    pub(crate) ledger: LedgerState,
    pub(crate) peers: PeerLinks,
    pub(crate) members: Membership,
    pub(crate) desk: Option<LeaderDesk>,
    pub(crate) meter: LeaderMeter,
}

/// Runs a replica until the stop, or until its store fails.
///
/// # Errors
///
/// Returns a [`ReplicaError`] when the replica can't go on; it must not be restarted in place.
pub async fn run_replica(
    config: ReplicaConfig,
    inbox: Receiver<InboundCall>,
    stop: StopSignal,
    metrics: MetricSet,
) -> Result<(), ReplicaError> {
    let (writes, written) = async_channel::bounded(1);
    let mut task = ReplicaTask::open(config, writes, metrics)?;
    let mut stop_at_ms = None;
    loop {
        select_biased! {
            done = written.recv().fuse() => {
                if let Ok(done) = done {
                    task.finish_write(done)?;
                }
            }
            call = inbox.recv().fuse() => match call {
                Ok(call) => task.take_calls(call, &inbox),
                Err(_) => return Ok(()),
            },
            () = compio::time::sleep(TICK).fuse() => {}
        }
        task.work()?;
        let now_ms = task.clock.now_ms();
        match stop_at_ms {
            None if stop.is_stopping() => {
                let asked = task.core.transfer_leadership();
                stop_at_ms = Some(now_ms + if asked { HANDOVER_MS } else { 0 });
            }
            Some(at) if now_ms >= at || task.core.role() != ReplicaRole::Leader => return Ok(()),
            _ => {}
        }
    }
}

impl ReplicaTask {
    fn open(
        config: ReplicaConfig,
        writes: Sender<WriteDone>,
        metrics: MetricSet,
    ) -> Result<Self, ReplicaError> {
        let clock = HostClock::start();
        let options = StoreOptions::new(&config.cluster, config.id, DiskId(rand::random()));
        let (store, opened) =
            ReplicaStore::open(&config.data_folder, options).context(StoreUnusableSnafu)?;
        let address = config.replicas.get(&config.id);
        let setup = ReplicaSetup {
            id: opened.id,
            address: address.map(ToString::to_string).unwrap_or_default(),
            seeds: config.replicas.keys().copied().collect(),
            can_bootstrap: config.group.is_none_or(|rule| rule.can_bootstrap),
            timing: config.timing,
            random_seed: rand::random(),
        };
        let core = ReplicaCore::new(setup, opened.stored, clock.now_ms());
        let peers = PeerLinks::start(opened.id, &config.cluster, &config.replicas);
        Ok(Self {
            config,
            clock,
            core,
            store: Some(store),
            writes,
            ledger: LedgerState::default(),
            peers,
            members: Membership::default(),
            desk: None,
            meter: LeaderMeter::new(metrics),
        })
    }

    fn take_calls(&mut self, first: InboundCall, inbox: &Receiver<InboundCall>) {
        self.core.tick(self.clock.now_ms());
        self.take_call(first);
        for _ in 1..CALLS_PER_ROUND {
            match inbox.try_recv() {
                Ok(call) => self.take_call(call),
                Err(_) => return,
            }
        }
    }

    fn take_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Deliver { from, messages } => {
                for message in messages {
                    self.core.receive(from, message);
                }
            }
            // The caller's deadline has passed while the call waited; it asks again if it needs to.
            InboundCall::Control { reply, .. } if reply.is_canceled() => {}
            InboundCall::Control { call, reply } => self.take_control(call, reply),
            InboundCall::JoinGroup { seeds } => {
                self.peers.know(&seeds);
                self.core.set_seeds(seeds.into_keys().collect());
            }
            InboundCall::Exchange { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
        }
    }

    /// Lets time pass, starts writes, sends messages, applies entries and does the leader's work.
    fn work(&mut self) -> Result<(), ReplicaError> {
        let now_ms = self.clock.now_ms();
        self.core.tick(now_ms);
        self.start_write();
        self.restore()?;
        self.apply_committed()?;
        self.compact()?;
        self.follow_members();
        self.follow_leadership(now_ms);
        self.lead(now_ms);
        self.start_write();
        self.peers.send(self.core.take_messages());
        self.measure(now_ms);
        Ok(())
    }

    fn measure(&mut self, now_ms: u64) {
        let log = LogExtent {
            last_index: self.core.last_index().0,
            commit_index: self.core.commit_index().0,
        };
        let leads = self.desk.is_some();
        self.meter.work(leads, &self.ledger, log, now_ms);
    }
}
