//! Starts an entry and its control replica as one process of a small cluster.

use std::{
    collections::BTreeMap,
    fs::File,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use compio::net::TcpListener;
use roseridge_control::{
    FlowTiming,
    ReplicaConfig,
    StateLimits, //
};
use roseridge_entry::{
    EntryConfig,
    EntryListeners,
    run_entry, //
};
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::default_templates;

use crate::{
    ClusterShape,
    ComponentThread,
    cluster_config::{
        customer_tokens,
        entry_cluster_name,
        operator_tokens, //
    },
    link_forwarder::loopback, //
};

/// The name of the file in a data folder that a running replica keeps locked.
const LOCK_FILE: &str = "lock";
/// The maximum number of polls for the lock of a killed replica before the replica is restarted.
///
/// Together with [`LOCK_POLL_INTERVAL`] this waits 30 seconds.
const LOCK_POLLS: u32 = 300;
/// The interval at which the lock of a killed replica is polled.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The addresses on which an entry listens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) internal: SocketAddr,
}

/// Returns the configuration of an entry that reaches the control replicas at the given addresses.
///
/// The replicas are numbered from 1 in the order of their addresses.
pub(crate) fn entry_config(
    number: usize,
    folder: &Path,
    shape: &ClusterShape,
    replicas: &[SocketAddr],
) -> EntryConfig {
    let numbered = (1u64..).zip(replicas);
    let replicas: BTreeMap<_, _> = numbered.map(|(id, a)| (ReplicaId(id), *a)).collect();
    EntryConfig {
        name: format!("entry-{number}"),
        cluster: entry_cluster_name(number),
        control: replicas.values().copied().collect(),
        replica: Some(ReplicaConfig {
            id: ReplicaId(number as u64 + 1),
            replicas,
            cluster: entry_cluster_name(number),
            data_folder: folder.to_owned(),
            faults: Default::default(),
            timing: ReplicaTiming::default(),
            lease: shape.lease,
            group: None,
            flows: FlowTiming::default(),
            state: StateLimits::default(),
            initial_templates: default_templates(),
        }),
        customers: customer_tokens(),
        operators: operator_tokens(),
    }
}

/// Waits until the lock on a data folder is released, for at most 30 seconds.
///
/// A write in progress ends when its process is killed. A killed component is only a thread,
/// however: its last write continues in the background, with the lock held, until the disk has
/// completed it.
async fn wait_until_unlocked(folder: &Path) {
    for _ in 0..LOCK_POLLS {
        let is_free =
            File::open(folder.join(LOCK_FILE)).map_or(true, |file| file.try_lock().is_ok());
        if is_free {
            return;
        }
        compio::time::sleep(LOCK_POLL_INTERVAL).await;
    }
}

/// Starts an entry on free loopback ports.
pub(crate) fn start_entry(config: EntryConfig) -> (ComponentThread, EntryAddresses) {
    let (callers, callers_address) = loopback();
    let (operators, operators_address) = loopback();
    let (internal, internal_address) = loopback();
    let name = config.name.clone();
    let thread = ComponentThread::start(&name, move |stop| async move {
        let open = |listener| {
            TcpListener::from_std(listener)
                .expect("the listener can be registered with the event loop")
        };
        let listeners = EntryListeners {
            callers: open(callers),
            operators: open(operators),
            internal: open(internal),
        };
        if let Some(replica) = &config.replica {
            wait_until_unlocked(&replica.data_folder).await;
        }
        let result = run_entry(config, listeners, stop).await;
        result.expect("the entry stops without an error");
    });
    let addresses = EntryAddresses {
        callers: callers_address,
        operators: operators_address,
        internal: internal_address,
    };
    (thread, addresses)
}
