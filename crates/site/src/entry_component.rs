//! The entry component, which serves callers and relays internal calls to the leader.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::TcpListener,
    runtime::JoinHandle, //
};
use roseridge_entry::{
    FlowClient,
    relay_calls, //
};
use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_shutdown::stop_pair;
use roseridge_wire::{
    InboundSender,
    serve_listener, //
};

use crate::{
    ProcessError,
    metrics_server::with_request_metrics,
    site_context::{
        SiteContext,
        listen, //
    },
};

/// The maximum number of internal calls that wait to be relayed.
const CALL_QUEUE_LENGTH: usize = 512;
/// The time for which a stopping entry reports that it is not ready but still accepts connections,
/// at most half of the time until it is killed. The load balancer checks every second and removes an
/// entry after two failed checks.
const NOT_READY_PERIOD: Duration = Duration::from_millis(2_300);

/// Serves callers and the load balancer's readiness checks until the stop signal, then finishes the
/// requests in progress. Returns at once if the settings configure no entry.
///
/// # Errors
///
/// Returns a [`ProcessError`] if a listener can't be opened.
pub(crate) async fn run_entry(context: &SiteContext) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.callers else {
        return Ok(());
    };
    let callers = listen(section.listen).await?;
    let health = listen(section.health).await?;
    let stop = context.stop.clone();
    let relay = SocketAddr::new(context.settings.installation.address, section.relay_port);
    let internal = context.settings.listen_address(section.relay_port);
    let relay_tasks = serve_relay(context, listen(internal).await?);
    let client = FlowClient::new(context.control.clone(), stop.clone(), Some(relay));
    let watched_client = client.clone();
    let metrics = context.metrics.flows.clone();
    compio::runtime::spawn(async move { watched_client.watch(&metrics, |_| {}).await }).detach();
    let (close_handle, close_signal) = stop_pair();
    let grace = context.settings.installation.stop_grace_s.duration();
    let closing = async {
        stop.wait().await;
        compio::time::sleep(NOT_READY_PERIOD.min(grace / 2)).await;
        close_handle.stop();
    };
    let limits = ServerLimits::default();
    let (readiness_client, answer) = (client.clone(), Rc::clone(&context.adapter.answer_readiness));
    let readiness = serve_http(health, limits, close_signal.clone(), move |request| {
        let reply = answer(readiness_client.is_ready(), &request);
        async move { reply }
    });
    let answer = Rc::clone(&context.adapter.answer_caller);
    let handler = with_request_metrics(context, "callers", move |request| {
        answer(client.clone(), request)
    });
    let serving = serve_http(callers, limits, close_signal, handler);
    futures::join!(readiness, serving, closing);
    drop(relay_tasks);
    Ok(())
}

/// Relays calls to the leader for processes that can't reach it, until the returned handles are
/// dropped.
pub(crate) fn serve_relay(context: &SiteContext, listener: TcpListener) -> [JoinHandle<()>; 2] {
    let (sender, calls) = async_channel::bounded(CALL_QUEUE_LENGTH);
    let inbound = InboundSender {
        control: Some(sender),
        relay: None,
    };
    let cluster = context.settings.instance.cluster.clone();
    let serving = serve_listener(listener, cluster, inbound);
    let forwarding = relay_calls(context.control.for_relay(), calls);
    [
        compio::runtime::spawn(serving),
        compio::runtime::spawn(forwarding),
    ]
}
