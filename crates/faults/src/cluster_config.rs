//! The settings that the parts of a small cluster share.

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

/// The beginning of the cluster names; see [`crate::LinkNetwork`] for why each process has its own.
const CLUSTER: &str = "small-cluster";
/// Workers of one rack; each rack has a failure domain of its own.
const WORKERS_PER_RACK: usize = 3;
/// How long a stopping agent waits for its tasks.
pub(crate) const STOP_LIMIT: Duration = Duration::from_secs(20);

/// How many parts a cluster has, and how long its leases are.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// Entries, each with a control replica.
    pub entries: usize,
    /// Workers, each with an agent and a fake backend server.
    pub workers: usize,
    /// The lengths of the leases.
    pub lease: LeaseTiming,
}

impl Default for ClusterShape {
    /// Three entries, six workers in two racks, and leases as long as by default, so that a busy
    /// machine does not let them run out.
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

/// Returns the cluster name of an entry's process.
pub fn entry_cluster(number: usize) -> String {
    format!("{CLUSTER}-e{number:03}")
}

/// Returns the cluster name of an agent's process.
pub fn agent_cluster(number: usize) -> String {
    format!("{CLUSTER}-a{number:03}")
}

/// Returns the token of a customer or of the operator.
pub fn token_of(name: &str) -> String {
    format!("{name}-token")
}

fn token_entry(name: &str) -> TokenEntry {
    TokenEntry {
        name: CustomerName::parse(name).expect("the name is valid"),
        token: TokenHash::new(name, &token_of(name)),
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
