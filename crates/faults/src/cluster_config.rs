//! The configuration that the components of a small cluster share.

use std::time::Duration;

use roseridge_control::LeaseTiming;
use roseridge_model::{
    CustomerName,
    DomainName,
    RackName,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};
use roseridge_settings::{
    TokenEntry,
    TokenHash,
    default_templates, //
};

/// The prefix of the cluster names.
///
/// Each process has its own cluster name, by which the forwarders identify the sender of a
/// connection; see [`crate::LinkNetwork`].
const CLUSTER_PREFIX: &str = "small-cluster";
/// The number of workers in a rack; each rack is a failure domain of its own.
const WORKERS_PER_RACK: usize = 3;
/// The maximum time that a stopping agent waits for its tasks.
pub(crate) const AGENT_STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The size of a cluster and the duration of its leases.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// The number of entries, each of which runs a control replica.
    pub entries: usize,
    /// The number of workers, each with an agent and a fake backend server.
    pub workers: usize,
    /// The duration and safety margin of the leases.
    pub lease: LeaseTiming,
}

impl Default for ClusterShape {
    /// Returns three entries and six workers in two racks.
    ///
    /// The leases are as long as the product's default, so that they do not expire on a busy
    /// machine.
    fn default() -> Self {
        Self {
            entries: 3,
            workers: 6,
            lease: LeaseTiming {
                lease_ms: 10_000,
                margin_ms: 1_000,
            },
        }
    }
}

/// Returns the cluster name that identifies an entry's process.
pub fn entry_cluster_name(number: usize) -> String {
    format!("{CLUSTER_PREFIX}-e{number:03}")
}

/// Returns the cluster name that identifies an agent's process.
pub fn agent_cluster_name(number: usize) -> String {
    format!("{CLUSTER_PREFIX}-a{number:03}")
}

/// Returns the token of a customer or of the operator for tests.
pub fn token_for(name: &str) -> String {
    format!("{name}-token")
}

fn token_entry(name: &str) -> TokenEntry {
    TokenEntry {
        name: CustomerName::parse(name).expect("the name is valid"),
        token: TokenHash::new(name, &token_for(name)),
    }
}

pub(crate) fn customer_tokens() -> Vec<TokenEntry> {
    let templates = default_templates();
    let tokens = templates.iter().map(|t| token_entry(t.customer.as_str()));
    tokens.collect()
}

pub(crate) fn operator_tokens() -> Vec<TokenEntry> {
    vec![token_entry("operator")]
}

pub(crate) fn worker_name(number: usize) -> WorkerName {
    WorkerName::parse(&format!("worker-{number}")).expect("the name is valid")
}

/// Returns the rack, failure domain and resources of a worker.
pub(crate) fn worker_shape(number: usize) -> WorkerShape {
    let rack = number / WORKERS_PER_RACK;
    WorkerShape {
        domain: DomainName::parse(&format!("domain-{rack}")).expect("the name is valid"),
        rack: RackName::parse(&format!("rack-{rack}")).expect("the name is valid"),
        total: ResourceShape {
            cores: 64,
            memory_mib: 130_000,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    }
}
