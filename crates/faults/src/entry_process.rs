//! An entry instance with its control replica, as one process of a small cluster.

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
    ReplicaConfig, //
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
    PartThread, //
    cluster_config::{
        customer_tokens,
        entry_cluster,
        operator_tokens, //
    },
    link_forwarder::loopback,
};

/// The file in a data folder that a running replica holds a lock on.
const LOCK_FILE: &str = "lock";
/// Looks at the lock of a killed replica before its successor starts, and the pause between two.
const LOCK_LOOKS: u32 = 300;
const LOCK_PAUSE: Duration = Duration::from_millis(100);

/// Where a started entry listens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) internal: SocketAddr,
}

/// Returns the configuration of the entry with a number, which reaches replicas at the addresses.
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
        cluster: entry_cluster(number),
        control: replicas.values().copied().collect(),
        replica: Some(ReplicaConfig {
            id: ReplicaId(number as u64 + 1),
            replicas,
            cluster: entry_cluster(number),
            data_folder: folder.to_owned(),
            timing: ReplicaTiming::default(),
            lease: shape.lease,
            group: None,
            flows: FlowTiming::default(),
            initial_templates: default_templates(),
        }),
        customers: customer_tokens(),
        operators: operator_tokens(),
    }
}

/// Waits until nobody holds the lock on a data folder.
///
/// The write that was going on in a killed process ends with it. A killed part is only a thread, whose
/// last write goes on beside it for as long as the disk takes.
async fn wait_until_unlocked(folder: &Path) {
    for _ in 0..LOCK_LOOKS {
        let is_free =
            File::open(folder.join(LOCK_FILE)).map_or(true, |file| file.try_lock().is_ok());
        if is_free {
            return;
        }
        compio::time::sleep(LOCK_PAUSE).await;
    }
}

/// Starts an entry on free ports.
pub(crate) fn start_entry(config: EntryConfig) -> (PartThread, EntryAddresses) {
    let (callers, callers_at) = loopback();
    let (operators, operators_at) = loopback();
    let (internal, internal_at) = loopback();
    let name = config.name.clone();
    let thread = PartThread::start(&name, move |stop| async move {
        let open = |listener| TcpListener::from_std(listener).expect("the listener can be polled");
        let listeners = EntryListeners {
            callers: open(callers),
            operators: open(operators),
            internal: open(internal),
        };
        if let Some(replica) = &config.replica {
            wait_until_unlocked(&replica.data_folder).await;
        }
        let result = run_entry(config, listeners, stop).await;
        result.expect("the entry runs");
    });
    let addresses = EntryAddresses {
        callers: callers_at,
        operators: operators_at,
        internal: internal_at,
    };
    (thread, addresses)
}
