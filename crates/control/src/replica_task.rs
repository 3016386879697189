//! The task that runs a control replica.

use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures::{
    FutureExt,
    select_biased, //
};
use roseridge_events::{
    self as events,
    MetricSet,
    event, //
};
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
    StoreOptions,
    StoreUsage, //
};
use roseridge_wire::{
    CallError,
    InboundCall, //
};
use snafu::ResultExt;

use crate::{
    ReplicaConfig,
    ReplicaError, //
    clock::HostClock,
    leader_controller::LeaderController,
    leader_meter::{
        LeaderMeter,
        LogExtent, //
    },
    peer_links::PeerLinks,
    replica_error::StoreUnusableSnafu,
    replica_log::WriteDone,
    state_size::StateSize, //
};

/// Maximum time between two passes.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of calls that are handled in one pass.
const MAX_CALLS_PER_PASS: usize = 256;
/// How long a stopping leader waits for the transfer of its leadership, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// The state of a replica. Each module of this crate implements one aspect of its work.
pub(crate) struct ReplicaTask {
    pub(crate) config: ReplicaConfig,
    pub(crate) clock: HostClock,
    pub(crate) core: ReplicaCore,
    /// The store, or `None` while a write is in progress.
    pub(crate) store: Option<ReplicaStore>,
    /// What the data folder held after the last write.
    pub(crate) usage: StoreUsage,
    /// Sends the results of finished writes to the replica task.
    pub(crate) writes: Sender<WriteDone>,
    pub(crate) ledger: LedgerState,
    pub(crate) peers: PeerLinks,
    pub(crate) members: Membership,
    /// The leader's state, or `None` while this replica does not lead.
    pub(crate) controller: Option<LeaderController>,
    pub(crate) meter: LeaderMeter,
    /// The size of the ledger, as far as it bounds what this replica proposes.
    pub(crate) state_size: StateSize,
}

/// Runs a replica until it is stopped, its inbox is closed, or it fails.
///
/// A leader transfers its leadership before it stops.
///
/// # Errors
///
/// Returns a [`ReplicaError`] when the replica can't continue. It must not be restarted in place.
pub async fn run_replica(
    config: ReplicaConfig,
    inbox: Receiver<InboundCall>,
    stop: StopSignal,
    metrics: MetricSet,
) -> Result<(), ReplicaError> {
    let (writes, finished_writes) = async_channel::bounded(1);
    let mut task = ReplicaTask::open(config, writes, metrics)?;
    let mut stop_at_ms = None;
    loop {
        select_biased! {
            done = finished_writes.recv().fuse() => {
                if let Ok(done) = done {
                    task.finish_write(done)?;
                }
            }
            call = inbox.recv().fuse() => match call {
                Ok(call) => task.handle_calls(call, &inbox),
                Err(_) => return Ok(()),
            },
            () = compio::time::sleep(TICK_INTERVAL).fuse() => {}
        }
        task.run_pass()?;
        let now_ms = task.clock.now_ms();
        match stop_at_ms {
            None if stop.is_stopping() => {
                let started = task.core.transfer_leadership();
                stop_at_ms = Some(now_ms + if started { TRANSFER_TIMEOUT_MS } else { 0 });
            }
            Some(at) if now_ms >= at || task.core.role() != ReplicaRole::Leader => return Ok(()),
            _ => {}
        }
    }
}

impl ReplicaTask {
    /// Opens the data folder and connects to the seeds.
    fn open(
        config: ReplicaConfig,
        writes: Sender<WriteDone>,
        metrics: MetricSet,
    ) -> Result<Self, ReplicaError> {
        let clock = HostClock::start();
        let options = StoreOptions {
            faults: config.faults.clone(),
            ..StoreOptions::new(&config.cluster, config.id, DiskId(rand::random()))
        };
        let started = Instant::now();
        let (store, opened) = ReplicaStore::open(&config.data_folder, options)
            .inspect_err(|_| metrics.store_failures.inc())
            .context(StoreUnusableSnafu)?;
        let usage = store.usage();
        event!(
            info,
            events::STORE_OPENED,
            snapshot_index = usage.snapshot_index,
            last_index = usage.last_index,
            entries = usage.entries_since_snapshot(),
            entry_bytes = opened.stored.log.bytes(),
            segments = usage.segments,
            log_bytes = usage.log_bytes,
            snapshot_bytes = usage.snapshot_bytes,
            reserve_bytes = usage.reserve_bytes,
            took_ms = started.elapsed().as_millis()
        );
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
        let meter = LeaderMeter::new(metrics);
        meter.record_store(&usage, core.bytes_in_memory());
        let peers = PeerLinks::start(opened.id, &config.cluster, &config.replicas);
        Ok(Self {
            config,
            clock,
            core,
            store: Some(store),
            usage,
            writes,
            ledger: LedgerState::default(),
            peers,
            members: Membership::default(),
            controller: None,
            meter,
            state_size: StateSize::default(),
        })
    }

    /// Handles a call and those that are queued behind it, up to the maximum of one pass.
    fn handle_calls(&mut self, first: InboundCall, inbox: &Receiver<InboundCall>) {
        self.core.tick(self.clock.now_ms());
        self.handle_call(first);
        for _ in 1..MAX_CALLS_PER_PASS {
            match inbox.try_recv() {
                Ok(call) => self.handle_call(call),
                Err(_) => return,
            }
        }
    }

    fn handle_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Deliver { from, messages, .. } => {
                for message in messages {
                    self.core.receive(from, message);
                }
            }
            // The caller's deadline passed while the call was queued. The caller repeats it if
            // needed.
            InboundCall::Control { reply, .. } if reply.is_canceled() => {}
            InboundCall::Control { call, reply, .. } => self.handle_control_call(call, reply),
            InboundCall::JoinGroup { seeds } => {
                self.peers.add_seeds(&seeds);
                self.core.set_seeds(seeds.into_keys().collect());
            }
            InboundCall::Exchange { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
        }
    }

    /// Runs one pass: advances the clock, starts writes, applies entries, does the leader's work
    /// and sends messages.
    fn run_pass(&mut self) -> Result<(), ReplicaError> {
        let now_ms = self.clock.now_ms();
        for replica in self.peers.transfer_targets() {
            self.core.delay_resend(replica);
        }
        self.core.tick(now_ms);
        self.start_write();
        self.restore()?;
        self.apply_committed()?;
        self.update_members();
        self.update_leadership(now_ms);
        self.lead(now_ms);
        self.start_write();
        self.peers.send(self.core.take_messages());
        self.update_metrics(now_ms);
        Ok(())
    }

    fn update_metrics(&mut self, now_ms: u64) {
        let log = LogExtent {
            last_index: self.core.last_index().0,
            commit_index: self.core.commit_index().0,
        };
        let is_leader = self.controller.is_some();
        self.meter.update(is_leader, &self.ledger, log, now_ms);
    }
}
