//! The control component, which runs a control replica or a relay, and serves operators.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use compio::net::TcpListener;
use roseridge_control::{
    FlowTiming,
    GroupRule,
    LeaseTiming,
    ReplicaConfig,
    StateLimits,
    replica_id_from_address,
    replica_timing,
    run_replica, //
};
use roseridge_entry::FlowClient;
use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_quorum::ReplicaId;
use roseridge_settings::{
    GroupSection,
    InstallationSettings,
    default_templates, //
};
use roseridge_shutdown::{
    StopSignal,
    stop_pair, //
};
use roseridge_wire::{
    GroupView,
    InboundCall,
    InboundSender,
    serve_listener, //
};

use crate::{
    ProcessError,
    entry_component::serve_relay,
    metrics_server::with_request_metrics,
    seed_notifier::SeedNotifier,
    site_context::{
        SiteContext,
        listen, //
    },
};

/// The maximum number of internal calls that wait for the control replica.
const CALL_QUEUE_LENGTH: usize = 2_048;
/// The delay after which a replica whose store failed is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(1_500);
/// The time for which operators are served after the replica has stopped, so that calls in progress
/// are answered.
const OPERATORS_DRAIN_TIME: Duration = Duration::from_millis(300);

/// Runs the control replica and serves operators until the stop signal. Without a data folder,
/// relays internal calls to the other control processes instead. Returns at once if the settings
/// configure no control component.
///
/// # Errors
///
/// Returns a [`ProcessError`] if a listener can't be opened.
pub(crate) async fn run_control(
    context: &SiteContext,
    seed_updates: Receiver<Vec<SocketAddr>>,
) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.group else {
        return Ok(());
    };
    let own_address = context.settings.own_control_address();
    let cluster = &context.settings.instance.cluster;
    let notifier = SeedNotifier::new(own_address, cluster, Rc::clone(&context.seeds));
    let internal = context.settings.listen_address(own_address.port());
    let internal = listen(internal).await?;
    let operators = listen(section.operators).await?;
    match &section.data_folder {
        Some(folder) => {
            let config = replica_config(&context.settings, (section, folder), own_address);
            run_with_replica(
                context,
                (internal, operators),
                (config, notifier),
                seed_updates,
            )
            .await
        }
        None => {
            let relay_tasks = serve_relay(context, internal);
            let client = FlowClient::new(context.control.clone(), context.stop.clone(), None);
            let on_group = move |group: &GroupView| notifier.notify(group);
            serve_operators(context, operators, client, context.stop.clone(), on_group).await;
            drop(relay_tasks);
            Ok(())
        }
    }
}

async fn run_with_replica(
    context: &SiteContext,
    (internal, operators): (TcpListener, TcpListener),
    (config, notifier): (ReplicaConfig, SeedNotifier),
    seed_updates: Receiver<Vec<SocketAddr>>,
) -> Result<(), ProcessError> {
    let own_address = config.replicas[&config.id];
    let (sender, inbox) = async_channel::bounded(CALL_QUEUE_LENGTH);
    let seed_forwarding = forward_seeds(seed_updates, own_address, sender.clone());
    compio::runtime::spawn(seed_forwarding).detach();
    let inbound = InboundSender {
        control: Some(sender.clone()),
        relay: None,
    };
    let internal = serve_listener(internal, config.cluster.clone(), inbound);
    let internal = compio::runtime::spawn(internal);
    let (close_handle, close_signal) = stop_pair();
    let client = FlowClient::new(context.control.clone(), close_signal.clone(), None);
    // A replica that is new or was removed requests to join the current members.
    let on_group = move |group: &GroupView| {
        notifier.notify(group);
        let seeds = replicas_by_id(group.members(), own_address);
        // If the queue is full, the next answer of the leader repeats the request.
        let _ = sender.try_send(InboundCall::JoinGroup { seeds });
    };
    let operator_server = serve_operators(context, operators, client, close_signal, on_group);
    let replica = async {
        run_replica_until_stop(&config, &inbox, context).await;
        compio::time::sleep(OPERATORS_DRAIN_TIME).await;
        close_handle.stop();
    };
    futures::join!(replica, operator_server);
    drop(internal);
    Ok(())
}

/// Runs the replica until the stop signal.
///
/// A replica whose store failed is opened again from its data folder after a delay, like a restart
/// of the process would do. While the folder is unusable, the replica takes part in no vote.
async fn run_replica_until_stop(
    config: &ReplicaConfig,
    inbox: &Receiver<InboundCall>,
    context: &SiteContext,
) {
    let (stop, metrics) = (&context.stop, &context.metrics);
    loop {
        let running = run_replica(config.clone(), inbox.clone(), stop.clone(), metrics.clone());
        match running.await {
            Ok(()) => return,
            Err(error) => error.log(),
        }
        if stop.sleep(REOPEN_DELAY).await {
            return;
        }
    }
}

/// Serves operators until `close_signal`, and calls `on_group` with the control group's members
/// whenever the leader returns them.
async fn serve_operators(
    context: &SiteContext,
    operators: TcpListener,
    client: FlowClient,
    close_signal: StopSignal,
    on_group: impl Fn(&GroupView) + 'static,
) {
    let watched_client = client.clone();
    let metrics = context.metrics.flows.clone();
    compio::runtime::spawn(async move { watched_client.watch(&metrics, on_group).await }).detach();
    let answer = Rc::clone(&context.adapter.answer_operator);
    let limits = ServerLimits::default();
    let handler = with_request_metrics(context, "operators", move |request| {
        answer(client.clone(), request)
    });
    serve_http(operators, limits, close_signal, handler).await;
}

/// Sends the replica the addresses at which it may request to join the group, whenever the seeds in
/// the settings change.
async fn forward_seeds(
    seed_updates: Receiver<Vec<SocketAddr>>,
    own_address: SocketAddr,
    replica: Sender<InboundCall>,
) {
    while let Ok(seeds) = seed_updates.recv().await {
        let seeds = replicas_by_id(seeds, own_address);
        if replica
            .send(InboundCall::JoinGroup { seeds })
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Returns the replicas at the seeds' addresses and this process's replica, by their identifiers.
fn replicas_by_id(
    seeds: Vec<SocketAddr>,
    own_address: SocketAddr,
) -> BTreeMap<ReplicaId, SocketAddr> {
    let addresses = seeds.into_iter().chain([own_address]);
    addresses
        .map(|address| (replica_id_from_address(address.ip()), address))
        .collect()
}

fn replica_config(
    settings: &InstallationSettings,
    (section, folder): (&GroupSection, &Path),
    own_address: SocketAddr,
) -> ReplicaConfig {
    let timing = settings.timing_values();
    let flows = &settings.flows;
    ReplicaConfig {
        id: replica_id_from_address(own_address.ip()),
        replicas: replicas_by_id(settings.control_addresses(), own_address),
        cluster: settings.instance.cluster.clone(),
        data_folder: folder.to_owned(),
        faults: Default::default(),
        timing: replica_timing(&timing),
        lease: LeaseTiming::default(),
        group: Some(GroupRule {
            can_bootstrap: section.bootstrap,
            tolerated_losses: *section.tolerated_losses.get_ref(),
        }),
        flows: FlowTiming {
            lease_ms: *flows.lease_ms.get_ref(),
            restore_ms: flows.restore_ms,
            ..FlowTiming::default()
        },
        state: StateLimits::default(),
        initial_templates: default_templates(),
    }
}
