//! The metrics of a process, and the listener that shows them.

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Instant, //
};

use hyper::StatusCode;
use roseridge_entry::scrape_response;
use roseridge_events::{
    self as events,
    event, //
};
use roseridge_http::{
    HttpReply,
    HttpRequest,
    ServerLimits,
    serve_http,
    text_response, //
};

use crate::{
    ReplyFuture,
    processes::{
        SiteContext,
        listen, //
    },
};

/// The path under which metrics are shown.
const METRICS_PATH: &str = "/metrics";
/// The connections of scrapers that may be open at once.
const SCRAPERS: usize = 8;

/// Serves the metrics on the address of the settings, if there is one.
///
/// A process whose metrics can't be served does its work all the same.
pub(crate) fn spawn_metrics(context: &SiteContext) {
    let Some(address) = context.settings.installation.metrics else {
        return;
    };
    let (stop, metrics) = (context.stop.clone(), context.metrics.clone());
    let group = context.settings.group.as_ref();
    let folder = group.and_then(|section| section.data_folder.clone());
    compio::runtime::spawn(async move {
        let listener = match listen(address).await {
            Ok(listener) => listener,
            Err(error) => return tell_unserved(address, &error.to_string()),
        };
        let limits = ServerLimits {
            connections: SCRAPERS,
            ..ServerLimits::default()
        };
        serve_http(listener, limits, stop, move |request| {
            let reply = match request.uri().path() {
                METRICS_PATH => scrape_response(&metrics, folder.as_deref()),
                _ => text_response(StatusCode::NOT_FOUND, "see /metrics"),
            };
            async move { reply }
        })
        .await;
    })
    .detach();
}

fn tell_unserved(address: SocketAddr, error: &str) {
    event!(
        warn,
        events::METRICS_UNSERVED,
        address = address,
        error = error
    );
}

/// Returns a handler that notes each answer of another in the metrics.
pub(crate) fn observed<F>(
    context: &SiteContext,
    listener: &'static str,
    handler: impl Fn(HttpRequest) -> F + 'static,
) -> impl Fn(HttpRequest) -> ReplyFuture + 'static
where
    F: Future<Output = HttpReply> + 'static,
{
    let metrics = context.metrics.flows.clone();
    let classify_request = Rc::clone(&context.adapter.classify_request);
    move |request| {
        let (metrics, asked) = (metrics.clone(), Instant::now());
        let call = classify_request(&request);
        let answer = handler(request);
        Box::pin(async move {
            let reply = answer.await;
            let took_s = asked.elapsed().as_secs_f64();
            metrics.observe_request((listener, call), reply.status().as_u16(), took_s);
            reply
        })
    }
}
