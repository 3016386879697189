//! The control replica, and the listener for operators.

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
use log::error;
use roseridge_control::{
    FlowTiming,
    GroupRule,
    LeaseTiming,
    ReplicaConfig,
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
    callers_part::serve_relay,
    metrics_part::observed,
    processes::{
        SiteContext,
        listen, //
    },
    seed_greeter::SeedGreeter,
};

/// Internal calls that may wait for the control replica.
const CALL_QUEUE: usize = 2_048;
/// The time after which a replica whose store failed is opened again.
const OPEN_AGAIN: Duration = Duration::from_millis(1_500);
/// How long the listener for operators outlives the replica, so that calls in progress are answered.
const OPERATORS_SPAN: Duration = Duration::from_millis(300);

/// Runs the control replica until the stop, and serves operators; without a disk it only passes calls on
/// to the others.
pub(crate) async fn run_group(
    context: &SiteContext,
    seed_news: Receiver<Vec<SocketAddr>>,
) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.group else {
        return Ok(());
    };
    let own = context.settings.own_control_address();
    let cluster = &context.settings.instance.cluster;
    let greeter = SeedGreeter::new(own, cluster, Rc::clone(&context.seeds));
    let internal = context.settings.listen_address(own.port());
    let internal = listen(internal).await?;
    let operators = listen(section.operators).await?;
    match &section.data_folder {
        Some(folder) => {
            let config = replica_config(&context.settings, (section, folder), own);
            run_member(context, (internal, operators), (config, greeter), seed_news).await
        }
        None => {
            let relaying = serve_relay(context, internal);
            let gate = FlowClient::new(context.control.clone(), context.stop.clone(), None);
            let tell = move |group: &GroupView| greeter.tell(group);
            serve_operators(context, operators, gate, context.stop.clone(), tell).await;
            drop(relaying);
            Ok(())
        }
    }
}

async fn run_member(
    context: &SiteContext,
    (internal, operators): (TcpListener, TcpListener),
    (config, greeter): (ReplicaConfig, SeedGreeter),
    seed_news: Receiver<Vec<SocketAddr>>,
) -> Result<(), ProcessError> {
    let own = config.replicas[&config.id];
    let (sender, inbox) = async_channel::bounded(CALL_QUEUE);
    let seeding = follow_seeds(seed_news, own, sender.clone());
    compio::runtime::spawn(seeding).detach();
    let inbound = InboundSender {
        control: Some(sender.clone()),
        relay: None,
    };
    let internal = serve_listener(internal, config.cluster.clone(), inbound);
    let internal = compio::runtime::spawn(internal);
    let (close, closing) = stop_pair();
    let gate = FlowClient::new(context.control.clone(), closing.clone(), None);
    // A replica that was removed, or is new, asks the members of the day for a seat.
    let tell = move |group: &GroupView| {
        greeter.tell(group);
        let seeds = numbered(group.members(), own);
        // It is told again with the next answer.
        let _ = sender.try_send(InboundCall::JoinGroup { seeds });
    };
    let answering = serve_operators(context, operators, gate, closing, tell);
    let replica = async {
        run_replica_again(&config, &inbox, context).await;
        compio::time::sleep(OPERATORS_SPAN).await;
        close.stop();
    };
    futures::join!(replica, answering);
    drop(internal);
    Ok(())
}

/// Runs the replica until the stop; one whose store failed is opened again from its disk after a while,
/// as a restart of the process would do. A folder that stays unusable keeps it out of every vote.
async fn run_replica_again(
    config: &ReplicaConfig,
    inbox: &Receiver<InboundCall>,
    context: &SiteContext,
) {
    let (stop, metrics) = (&context.stop, &context.metrics);
    loop {
        let running = run_replica(config.clone(), inbox.clone(), stop.clone(), metrics.clone());
        match running.await {
            Ok(()) => return,
            Err(error) => error!("{}", error.log_line()),
        }
        if stop.sleep(OPEN_AGAIN).await {
            return;
        }
    }
}

async fn serve_operators(
    context: &SiteContext,
    operators: TcpListener,
    gate: FlowClient,
    closing: StopSignal,
    tell: impl Fn(&GroupView) + 'static,
) {
    let watched = gate.clone();
    let metrics = context.metrics.flows.clone();
    compio::runtime::spawn(async move { watched.watch(&metrics, tell).await }).detach();
    let answer = Rc::clone(&context.adapter.answer_operator);
    let limits = ServerLimits::default();
    let handler = observed(context, "operators", move |request| {
        answer(gate.clone(), request)
    });
    serve_http(operators, limits, closing, handler).await;
}

/// Tells the replica whom it may ask to join, whenever the settings name other seeds.
async fn follow_seeds(
    seed_news: Receiver<Vec<SocketAddr>>,
    own: SocketAddr,
    replica: Sender<InboundCall>,
) {
    while let Ok(seeds) = seed_news.recv().await {
        let seeds = numbered(seeds, own);
        if replica
            .send(InboundCall::JoinGroup { seeds })
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Returns the replicas at these addresses, and the own one, with their numbers.
fn numbered(seeds: Vec<SocketAddr>, own: SocketAddr) -> BTreeMap<ReplicaId, SocketAddr> {
    let addresses = seeds.into_iter().chain([own]);
    addresses
        .map(|address| (replica_id_from_address(address.ip()), address))
        .collect()
}

fn replica_config(
    settings: &InstallationSettings,
    (section, folder): (&GroupSection, &Path),
    own: SocketAddr,
) -> ReplicaConfig {
    let timing = settings.timing_values();
    let flows = &settings.flows;
    ReplicaConfig {
        id: replica_id_from_address(own.ip()),
        replicas: numbered(settings.control_addresses(), own),
        cluster: settings.instance.cluster.clone(),
        data_folder: folder.to_owned(),
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
        initial_templates: default_templates(),
    }
}
