//! What a control replica is told at its start.

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

/// The lengths of leases, in milliseconds of monotonic clocks.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// How long an agent may go on after it sent the report that was renewed last.
    pub lease_ms: u64,
    /// How much longer the leader waits before it gives the places out again.
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

/// The bounds that the leader keeps for flows, in milliseconds of its monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct FlowTiming {
    /// The lease of a backend server, by the backend server's clock.
    pub lease_ms: u64,
    /// How much longer than the slowest clock allows the leader waits before it takes a lease for ended.
    pub margin_ms: u64,
    /// The silence of an agent after which its backend server receives no new work.
    pub contact_timeout_ms: u64,
    /// What it takes a task to resume from a checkpoint.
    pub restore_ms: u64,
    /// How long an urgent unit within its customer's guarantee waits for room before others are stopped
    /// for it at any cost.
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

/// How a control group whose replicas find each other keeps its size.
#[derive(Debug, Clone, Copy)]
pub struct GroupRule {
    /// Whether the seeds may found the group when none of them has a log.
    pub can_bootstrap: bool,
    /// The replicas that may be lost at the same time.
    pub tolerated_losses: u16,
}

impl GroupRule {
    /// Returns the voters that outlast the losses.
    pub fn desired_voters(self) -> usize {
        usize::from(self.tolerated_losses) * 2 + 1
    }
}

/// What a control replica is told at its start.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    /// Its number.
    pub id: ReplicaId,
    /// The internal addresses of the replicas that founded the cluster, and its own.
    ///
    /// They only seed the list: the members in the log, with their addresses, go before them.
    pub replicas: BTreeMap<ReplicaId, SocketAddr>,
    /// The cluster that its links belong to.
    pub cluster: String,
    /// The folder of its log and snapshots.
    pub data_folder: PathBuf,
    /// The intervals of elections.
    pub timing: ReplicaTiming,
    /// The lengths of leases.
    pub lease: LeaseTiming,
    /// How the group changes its members by itself; without a rule only operators change them.
    pub group: Option<GroupRule>,
    /// The bounds that the leader keeps for flows.
    pub flows: FlowTiming,
    /// The templates that a new cluster starts with.
    pub initial_templates: Vec<CustomerTemplate>,
}

impl ReplicaConfig {
    /// Makes the configuration of the replica that a process's settings name.
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
            timing: replica_timing(&timing),
            lease: LeaseTiming {
                lease_ms: timing.lease_ms,
                margin_ms: timing.lease_margin_ms,
            },
            group: None,
            flows: FlowTiming::default(),
            initial_templates: default_templates(),
        }
    }
}

/// Returns the intervals of elections that settings name.
pub fn replica_timing(timing: &TimingValues) -> ReplicaTiming {
    ReplicaTiming {
        heartbeat_ms: timing.heartbeat_ms,
        election_min_ms: timing.election_min_ms,
        election_spread_ms: timing.election_spread_ms,
        ..ReplicaTiming::default()
    }
}

/// Returns the number of the replica at an address, where nobody gives out numbers.
///
/// A replica that comes back at the address with another disk has the same number, which proves that
/// the old disk is gone.
pub fn replica_id_from_address(address: IpAddr) -> ReplicaId {
    match address {
        IpAddr::V4(address) => ReplicaId(u64::from(address.to_bits())),
        // The last half names the interface, which differs within one network.
        IpAddr::V6(address) => ReplicaId(address.to_bits() as u64),
    }
}
