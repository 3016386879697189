//! A control replica in the agent's process, which runs if the settings name a data folder.

use std::io;

use async_channel::bounded;
use compio::net::TcpListener;
use roseridge_control::{
    ReplicaConfig,
    run_replica, //
};
use roseridge_events::MetricSet;
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    InboundSender,
    serve_listener, //
};

/// The capacity of the replica's call queue.
const CALL_QUEUE_CAPACITY: usize = 2_048;

/// Runs a control replica until the stop signal, and listens on the replica's configured address.
///
/// # Errors
///
/// Returns an error if the configuration lacks the address or if the replica can't listen on it.
pub async fn host_replica(config: ReplicaConfig, stop: StopSignal) -> io::Result<()> {
    let address = config.replicas.get(&config.id);
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let listener = TcpListener::bind(address).await?;
    let (control, calls) = bounded(CALL_QUEUE_CAPACITY);
    let inbound = InboundSender {
        control: Some(control),
        relay: None,
    };
    let serving = serve_listener(listener, config.cluster.clone(), inbound);
    let serving = compio::runtime::spawn(serving);
    if let Err(source) = run_replica(config, calls, stop, MetricSet::new()).await {
        source.log();
    }
    drop(serving);
    Ok(())
}
