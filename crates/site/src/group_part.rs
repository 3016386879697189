//! The control replica, and the listener for operators.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use roseridge_control::{
    FlowTiming,
    GroupRule,
    LeaseTiming,
    ReplicaConfig,
    replica_at,
    replica_timing,
    run_replica, //
};
use roseridge_entry::FlowGate;
use roseridge_events::MetricSet;
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
use roseridge_shutdown::stop_pair;
use roseridge_wire::{
    InboundCall,
    InboundSender,
    serve_listener, //
};
use snafu::ResultExt;

use crate::{
    ProcessError,
    processes::{
        ReplicaFailedSnafu,
        SiteContext,
        listen, //
    },
};

/// Internal calls that may wait for the control replica.
const CALL_QUEUE: usize = 2_048;
/// How long the listener for operators outlives the replica, so that calls in progress are answered.
const OPERATORS_SPAN: Duration = Duration::from_millis(300);

/// Runs the control replica until the stop, and serves operators.
pub(crate) async fn run_group(
    context: &SiteContext,
    seed_news: Receiver<Vec<SocketAddr>>,
) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.group else {
        return Ok(());
    };
    let installation = &context.settings.installation;
    let own = SocketAddr::new(installation.address, installation.control_port);
    let internal = listen(own).await?;
    let operators = listen(section.operators).await?;
    let (sender, inbox) = async_channel::bounded(CALL_QUEUE);
    compio::runtime::spawn(follow_seeds(seed_news, own, sender.clone())).detach();
    let inbound = InboundSender {
        control: Some(sender),
        relay: None,
    };
    let cluster = context.settings.instance.cluster.clone();
    let internal = compio::runtime::spawn(serve_listener(internal, cluster, inbound));
    context.control.learn(&[own]);
    let (close, closing) = stop_pair();
    let gate = FlowGate::new(context.control.clone(), closing.clone(), None);
    let watched = gate.clone();
    compio::runtime::spawn(async move { watched.watch().await }).detach();
    let answer = Rc::clone(&context.adapter.answer_operator);
    let limits = ServerLimits::default();
    let answering = serve_http(operators, limits, closing, move |request| {
        answer(gate.clone(), request)
    });
    let config = replica_config(&context.settings, section, own);
    let stop = context.stop.clone();
    let replica = async {
        let result = run_replica(config, inbox, stop, MetricSet::new()).await;
        compio::time::sleep(OPERATORS_SPAN).await;
        close.stop();
        result
    };
    let (result, ()) = futures::join!(replica, answering);
    drop(internal);
    result.context(ReplicaFailedSnafu)
}

/// Tells the replica whom it may ask to join, whenever the settings name other seeds.
async fn follow_seeds(
    seed_news: Receiver<Vec<SocketAddr>>,
    own: SocketAddr,
    replica: Sender<InboundCall>,
) {
    while let Ok(seeds) = seed_news.recv().await {
        let seeds = numbered(seeds, own);
        if replica.send(InboundCall::Seek { seeds }).await.is_err() {
            return;
        }
    }
}

/// Returns the replicas at these addresses, and the own one, with their numbers.
fn numbered(seeds: Vec<SocketAddr>, own: SocketAddr) -> BTreeMap<ReplicaId, SocketAddr> {
    let addresses = seeds.into_iter().chain([own]);
    addresses
        .map(|address| (replica_at(address.ip()), address))
        .collect()
}

fn replica_config(
    settings: &InstallationSettings,
    section: &GroupSection,
    own: SocketAddr,
) -> ReplicaConfig {
    let timing = settings.timing_values();
    let flows = &settings.flows;
    ReplicaConfig {
        id: replica_at(own.ip()),
        replicas: numbered(settings.control_addresses(), own),
        cluster: settings.instance.cluster.clone(),
        data_folder: section.data_folder.clone(),
        timing: replica_timing(&timing),
        lease: LeaseTiming::default(),
        group: Some(GroupRule {
            may_found: section.found,
            losses: *section.losses.get_ref(),
        }),
        flows: FlowTiming {
            lease_ms: *flows.lease_ms.get_ref(),
            remote_factor: flows.remote_factor,
            restore_ms: flows.restore_ms,
            ..FlowTiming::default()
        },
        first_templates: default_templates(),
    }
}
