//! A control group with real sockets and data folders, in one process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use compio::{
    net::TcpListener,
    runtime::JoinHandle, //
};
use roseridge_control::{
    FlowTiming,
    LeaseTiming,
    ReplicaConfig,
    StateLimits,
    run_replica, //
};
use roseridge_events::MetricSet;
use roseridge_ledger::TemplateChange;
use roseridge_model::{
    ConfigRevision,
    CustomerTemplate,
    RequestKey, //
};
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::default_templates;
use roseridge_shutdown::{
    StopHandle,
    stop_pair, //
};
use roseridge_store::FileFaults;
use roseridge_testutils::LimitedDisk;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    InboundSender,
    LinkError,
    MemberView,
    RpcLink,
    serve_listener, //
};

use crate::stalling_proxy::StallingProxy;

const CLUSTER: &str = "test";
/// Maximum time for a call or a condition. It is long because the test machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two calls that poll for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after which a replica on a limited disk is opened again once its store has failed.
const REOPEN_DELAY: Duration = Duration::from_millis(300);
const CALL_QUEUE: usize = 2_048;
/// The limits of the replicated state's size, which are low so that few changes reach them.
pub(crate) const STATE_LIMITS: StateLimits = StateLimits {
    submission_bytes: 4 * 1_048_576,
    change_bytes: 5 * 1_048_576,
};

struct RunningReplica {
    stop: StopHandle,
    task: JoinHandle<()>,
    serving: JoinHandle<()>,
}

/// Replicas with a proxy in front of each, and a client.
pub(crate) struct ControlGroup {
    folder: tempfile::TempDir,
    /// The address at which each replica listens, behind its proxy.
    listeners: BTreeMap<u64, SocketAddr>,
    pub(crate) proxies: BTreeMap<u64, StallingProxy>,
    running: BTreeMap<u64, RunningReplica>,
    client: ControlClient,
    /// The disk of each replica, if their space is limited. Such a replica is opened again when
    /// its store has failed, as a process does.
    pub(crate) disks: BTreeMap<u64, LimitedDisk>,
    limits: GroupLimits,
}

/// The limits of the replicas' logs, of their state and of leases.
#[derive(Clone, Copy, Default)]
struct GroupLimits {
    timing: ReplicaTiming,
    state: StateLimits,
    flows: FlowTiming,
}

/// The timing of replicas that compact their logs after a few entries.
fn early_compaction() -> ReplicaTiming {
    ReplicaTiming {
        snapshot_threshold: 16,
        retained_entries: 4,
        ..ReplicaTiming::default()
    }
}

/// Runs a test with a group of three replicas that compact their logs after a few entries.
pub(crate) fn with_group<F: Future>(test: impl FnOnce(ControlGroup) -> F) {
    let limits = GroupLimits {
        timing: early_compaction(),
        ..GroupLimits::default()
    };
    run_test(test, 3, BTreeMap::new(), limits);
}

/// Runs a test as [`with_group`] does, with [`STATE_LIMITS`].
pub(crate) fn with_limited_state<F: Future>(test: impl FnOnce(ControlGroup) -> F) {
    let limits = GroupLimits {
        timing: early_compaction(),
        state: STATE_LIMITS,
        ..GroupLimits::default()
    };
    run_test(test, 3, BTreeMap::new(), limits);
}

/// Runs a test with a group of three replicas that have a timing.
pub(crate) fn with_timing<F: Future>(timing: ReplicaTiming, test: impl FnOnce(ControlGroup) -> F) {
    let limits = GroupLimits {
        timing,
        ..GroupLimits::default()
    };
    run_test(test, 3, BTreeMap::new(), limits);
}

/// Runs a test with a group of three replicas that grant backend servers leases of `lease_ms`.
pub(crate) fn with_leases<F: Future>(lease_ms: u64, test: impl FnOnce(ControlGroup) -> F) {
    let limits = GroupLimits {
        flows: FlowTiming {
            lease_ms,
            ..FlowTiming::default()
        },
        ..GroupLimits::default()
    };
    run_test(test, 3, BTreeMap::new(), limits);
}

/// Runs a test with a group of replicas, with the default timing, on disks of `capacity` bytes.
pub(crate) fn with_limited_disks<F: Future>(
    replicas: u64,
    capacity: usize,
    test: impl FnOnce(ControlGroup) -> F,
) {
    let disks = (1..=replicas).map(|number| (number, LimitedDisk::new(capacity)));
    run_test(test, replicas, disks.collect(), GroupLimits::default());
}

fn run_test<F: Future>(
    test: impl FnOnce(ControlGroup) -> F,
    replicas: u64,
    disks: BTreeMap<u64, LimitedDisk>,
    limits: GroupLimits,
) {
    // The stack of a test has no space for several copies of these futures.
    let run = async {
        let group = Box::pin(ControlGroup::start(replicas, disks, limits)).await;
        Box::pin(test(group)).await;
    };
    roseridge_wire::block_on(run).expect("an event loop");
}

impl ControlGroup {
    async fn start(replicas: u64, disks: BTreeMap<u64, LimitedDisk>, limits: GroupLimits) -> Self {
        let mut listeners = BTreeMap::new();
        let mut proxies = BTreeMap::new();
        let mut opened = Vec::new();
        for number in 1..=replicas {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
            let address = listener.local_addr().expect("an address");
            listeners.insert(number, address);
            proxies.insert(number, StallingProxy::start(address).await);
            opened.push((number, listener));
        }
        let addresses: Vec<_> = proxies
            .values()
            .map(|p: &StallingProxy| p.address)
            .collect();
        let mut group = Self {
            folder: tempfile::tempdir().expect("a folder"),
            listeners,
            proxies,
            running: BTreeMap::new(),
            client: ControlClient::new(&addresses, CLUSTER),
            disks,
            limits,
        };
        for (number, listener) in opened {
            group.run(number, listener);
        }
        group
    }

    /// Runs a replica on a listener.
    fn run(&mut self, number: u64, listener: TcpListener) {
        let disk = self.disks.get(&number).cloned();
        let reopens = disk.is_some();
        let limited_space =
            |disk: LimitedDisk| FileFaults::limited_space(move |f: &Path| disk.free_bytes(f));
        let config = ReplicaConfig {
            id: ReplicaId(number),
            replicas: self
                .proxies
                .iter()
                .map(|(number, proxy)| (ReplicaId(*number), proxy.address))
                .collect(),
            cluster: CLUSTER.to_owned(),
            data_folder: self.data_folder(number),
            faults: disk.map(limited_space).unwrap_or_default(),
            timing: self.limits.timing,
            lease: LeaseTiming::default(),
            group: None,
            flows: self.limits.flows,
            state: self.limits.state,
            initial_templates: default_templates(),
        };
        let (control, calls) = async_channel::bounded(CALL_QUEUE);
        let inbound = InboundSender {
            control: Some(control),
            relay: None,
        };
        let serving = serve_listener(listener, CLUSTER.to_owned(), inbound);
        let (stop, signal) = stop_pair();
        let task = async move {
            let metrics = MetricSet::new();
            loop {
                let (config, calls) = (config.clone(), calls.clone());
                let ended = run_replica(config, calls, signal.clone(), metrics.clone()).await;
                match ended {
                    Ok(()) => return,
                    Err(_) if reopens => {}
                    Err(error) => panic!("the replica ends with {error}"),
                }
                if signal.sleep(REOPEN_DELAY).await {
                    return;
                }
            }
        };
        let running = RunningReplica {
            stop,
            task: compio::runtime::spawn(task),
            serving: compio::runtime::spawn(serving),
        };
        self.running.insert(number, running);
    }

    pub(crate) fn data_folder(&self, number: u64) -> PathBuf {
        self.folder.path().join(format!("replica-{number}"))
    }

    /// Ends a replica without a transfer of leadership, as a crash does.
    pub(crate) async fn kill(&mut self, number: u64) {
        let replica = self.running.remove(&number).expect("the replica runs");
        drop(replica.task);
        drop(replica.serving);
        // Accepted connections survive their listener within this process. When a real process
        // ends, they close.
        self.proxies[&number].stall();
        // A write in progress keeps the data folder open until it ends.
        compio::time::sleep(POLL_INTERVAL * 4).await;
    }

    /// Stops a replica gracefully.
    pub(crate) async fn stop(&mut self, number: u64) {
        let replica = self.running.remove(&number).expect("the replica runs");
        replica.stop.stop();
        replica.task.await.expect("the replica ends");
        drop(replica.serving);
        self.proxies[&number].stall();
        compio::time::sleep(POLL_INTERVAL * 4).await;
    }

    /// Starts a replica again with the address and the data folder that it had.
    pub(crate) async fn restart(&mut self, number: u64) {
        let address = self.listeners[&number];
        let listener = TcpListener::bind(address)
            .await
            .expect("the address is free");
        self.run(number, listener);
    }

    pub(crate) async fn call(&self, call: &ControlCall) -> Result<ControlReply, ControlError> {
        self.call_within(call, TIMEOUT).await
    }

    pub(crate) async fn call_within(
        &self,
        call: &ControlCall,
        timeout: Duration,
    ) -> Result<ControlReply, ControlError> {
        let deadline = Instant::now() + timeout;
        self.client.call(call, Duration::ZERO, deadline).await
    }

    /// Sends a call to one replica, which may be a follower.
    pub(crate) async fn call_replica(
        &self,
        number: u64,
        call: ControlCall,
    ) -> Result<ControlReply, LinkError> {
        let link = RpcLink::new(self.listeners[&number], CLUSTER);
        link.control(call, TIMEOUT).await
    }

    /// Repeats a call until it succeeds.
    pub(crate) async fn call_until_ok(&self, call: &ControlCall) -> ControlReply {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.call(call).await {
                Ok(reply) => return reply,
                Err(error) => assert!(Instant::now() < deadline, "{call:?}: {error}"),
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn templates(&self) -> (ConfigRevision, Vec<CustomerTemplate>) {
        match self.call(&ControlCall::ReadTemplates).await {
            Ok(ControlReply::Templates {
                revision,
                templates,
            }) => (revision, templates),
            other => panic!("{other:?}"),
        }
    }

    /// Returns a change of the first template, based on the current revision.
    pub(crate) async fn next_template_change(&self, request: &str) -> TemplateChange {
        let (base, templates) = self.templates().await;
        let mut template = templates.first().expect("a template").clone();
        template.queue_limit += 1;
        TemplateChange {
            request: RequestKey::parse(request).expect("a request id"),
            base,
            template,
        }
    }

    /// Waits until the initial templates are applied.
    pub(crate) async fn wait_until_ready(&self) {
        let expected = default_templates().len() as u64;
        let deadline = Instant::now() + TIMEOUT;
        while self.templates().await.0.0 < expected {
            assert!(
                Instant::now() < deadline,
                "the initial templates are applied"
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn members(&self) -> Vec<MemberView> {
        match self.call(&ControlCall::ListReplicas).await {
            Ok(ControlReply::Replicas(view)) => view.members,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a condition on the members holds.
    pub(crate) async fn wait_for(&self, condition: &str, holds: impl Fn(&[MemberView]) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let members = self.members().await;
            if holds(&members) {
                return;
            }
            assert!(Instant::now() < deadline, "{condition}: {members:?}");
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the error with which a replica refused a call.
pub(crate) fn refusal(answer: Result<ControlReply, ControlError>) -> CallError {
    match answer {
        Err(ControlError::NotRun {
            source: LinkError::Answered { source },
        }) => source,
        other => panic!("{other:?}"),
    }
}
