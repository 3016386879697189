//! The entry for callers.

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
    metrics_part::observed,
    processes::{
        SiteContext,
        listen, //
    },
};

/// Calls that may wait to be passed on.
const CALL_QUEUE: usize = 512;
/// How long a stopping entry still takes connections: the balancer asks every second, and takes a
/// node out after two misses.
const NOT_READY_SPAN: Duration = Duration::from_millis(2_300);

/// Serves callers, and the balancer that asks whether this process is ready, until the stop; requests
/// in progress are answered first.
pub(crate) async fn run_callers(context: &SiteContext) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.callers else {
        return Ok(());
    };
    let callers = listen(section.listen).await?;
    let health = listen(section.health).await?;
    let stop = context.stop.clone();
    let relay = SocketAddr::new(context.settings.installation.address, section.relay_port);
    let internal = context.settings.listen_address(section.relay_port);
    let relaying = serve_relay(context, listen(internal).await?);
    let gate = FlowClient::new(context.control.clone(), stop.clone(), Some(relay));
    let watched = gate.clone();
    let metrics = context.metrics.flows.clone();
    compio::runtime::spawn(async move { watched.watch(&metrics, |_| {}).await }).detach();
    let (close, closing) = stop_pair();
    let closer = async {
        stop.wait().await;
        compio::time::sleep(NOT_READY_SPAN).await;
        close.stop();
    };
    let limits = ServerLimits::default();
    let (asked, answer) = (gate.clone(), Rc::clone(&context.adapter.answer_readiness));
    let readiness = serve_http(health, limits, closing.clone(), move |request| {
        let reply = answer(asked.is_ready(), &request);
        async move { reply }
    });
    let answer = Rc::clone(&context.adapter.answer_caller);
    let handler = observed(context, "callers", move |request| {
        answer(gate.clone(), request)
    });
    let serving = serve_http(callers, limits, closing, handler);
    futures::join!(readiness, serving, closer);
    drop(relaying);
    Ok(())
}

/// Passes calls on to the leader for processes that can't reach it; ends when the value is dropped.
pub(crate) fn serve_relay(context: &SiteContext, listener: TcpListener) -> [JoinHandle<()>; 2] {
    let (sender, calls) = async_channel::bounded(CALL_QUEUE);
    let inbound = InboundSender {
        control: Some(sender),
        relay: None,
    };
    let cluster = context.settings.instance.cluster.clone();
    let serving = serve_listener(listener, cluster, inbound);
    let passing = relay_calls(context.control.for_relay(), calls);
    [
        compio::runtime::spawn(serving),
        compio::runtime::spawn(passing),
    ]
}
