//! The configuration of a control replica.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf, //
};

use roseridge_model::CustomerTemplate;
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::{
    ControlSection,
    ReplicaEntry,
    TimingValues,
    default_templates, //
};
use roseridge_store::FileFaults;

/// The durations of workers' leases, in milliseconds of monotonic clocks.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// How long an agent may keep its tasks running after it sent the last report that was
    /// confirmed.
    pub lease_ms: u64,
    /// How much longer the leader waits before it places other tasks on the worker's resources.
    pub margin_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            margin_ms: 1_000,
        }
    }
}

/// Time limits of the leader for flows, in milliseconds of its monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct FlowTiming {
    /// The duration of a backend server's lease, by the backend server's clock.
    pub lease_ms: u64,
    /// Additional time that the leader waits, after a lease has ended by the slowest clock, before
    /// it treats the lease as ended.
    pub margin_ms: u64,
    /// Time since the last contact with an agent, or of the agent with its backend server, after
    /// which the backend server receives no new work. In the second case, its lease isn't renewed.
    pub contact_timeout_ms: u64,
    /// Time that a task needs to resume from a checkpoint.
    pub restore_ms: u64,
    /// How long an urgent placement unit within its customer's guarantee waits for free resources
    /// before other runs are preempted for it at any cost.
    pub reclaim_wait_ms: u64,
}

impl Default for FlowTiming {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            margin_ms: 300,
            contact_timeout_ms: 1_600,
            restore_ms: 600,
            reclaim_wait_ms: 1_000,
        }
    }
}

/// The limits of the replicated state's size, in bytes of its encoding. Above a limit, the leader refuses
/// changes that add to the state. All others are always accepted.
#[derive(Debug, Clone, Copy)]
pub struct StateLimits {
    /// The limit for submissions. The rest up to the other limit is left to operators.
    pub submission_bytes: usize,
    /// The limit for the changes of operators.
    pub change_bytes: usize,
}

impl Default for StateLimits {
    fn default() -> Self {
        Self {
            submission_bytes: 20 * 1_048_576,
            change_bytes: 24 * 1_048_576,
        }
    }
}

/// How a control group whose replicas discover each other maintains its size.
#[derive(Debug, Clone, Copy)]
pub struct GroupRule {
    /// Whether the seeds may bootstrap the group when none of them has a log.
    pub can_bootstrap: bool,
    /// The number of replicas that may be lost at the same time.
    pub tolerated_losses: u16,
}

impl GroupRule {
    /// Returns the number of voters of which a majority survives the tolerated losses.
    pub fn desired_voters(self) -> usize {
        usize::from(self.tolerated_losses) * 2 + 1
    }
}

/// The configuration with which a control replica starts.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    /// The number of the replica.
    pub id: ReplicaId,
    /// The internal addresses of the replicas that bootstrapped the cluster, and its own.
    ///
    /// They are only seeds. The members in the log, with their addresses, override them.
    pub replicas: BTreeMap<ReplicaId, SocketAddr>,
    /// The name of the cluster, which its connections must match.
    pub cluster: String,
    /// The folder for its log and snapshots.
    pub data_folder: PathBuf,
    /// The faults to inject into the operations on that folder in tests.
    pub faults: FileFaults,
    /// The intervals of heartbeats and elections.
    pub timing: ReplicaTiming,
    /// The durations of workers' leases.
    pub lease: LeaseTiming,
    /// How the group changes its members automatically. Without a rule, only operators change them.
    pub group: Option<GroupRule>,
    /// The time limits of the leader for flows.
    pub flows: FlowTiming,
    /// The limits of the replicated state's size.
    pub state: StateLimits,
    /// The templates with which a new cluster starts.
    pub initial_templates: Vec<CustomerTemplate>,
}

impl ReplicaConfig {
    /// Creates the configuration of the replica that is described by the settings of a process.
    pub fn from_settings(
        cluster: &str,
        control: &ControlSection,
        replicas: &[ReplicaEntry],
        timing: TimingValues,
    ) -> Self {
        let replicas = replicas.iter().map(|r| (ReplicaId(r.id), r.address));
        Self {
            id: ReplicaId(*control.replica.get_ref()),
            replicas: replicas.collect(),
            cluster: cluster.to_owned(),
            data_folder: control.data_folder.clone(),
            faults: FileFaults::default(),
            timing: replica_timing(&timing),
            lease: LeaseTiming {
                lease_ms: timing.lease_ms,
                margin_ms: timing.lease_margin_ms,
            },
            group: None,
            flows: FlowTiming::default(),
            state: StateLimits::default(),
            initial_templates: default_templates(),
        }
    }
}

/// Returns the intervals of heartbeats and elections in the settings.
pub fn replica_timing(timing: &TimingValues) -> ReplicaTiming {
    ReplicaTiming {
        heartbeat_ms: timing.heartbeat_ms,
        election_min_ms: timing.election_min_ms,
        election_spread_ms: timing.election_spread_ms,
        ..ReplicaTiming::default()
    }
}

/// Derives the number of a replica from its address, for groups whose replicas have no assigned
/// numbers.
///
/// A replica that returns at the address with another disk has the same number, which proves that
/// the old disk is gone.
pub fn replica_id_from_address(address: IpAddr) -> ReplicaId {
    match address {
        IpAddr::V4(address) => ReplicaId(u64::from(address.to_bits())),
        // The lower half is the interface identifier, which is unique within one network.
        IpAddr::V6(address) => ReplicaId(address.to_bits() as u64),
    }
}
