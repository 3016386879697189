//! The metrics of a process and the HTTP server that exposes them.

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
    site_context::{
        SiteContext,
        listen, //
    },
};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The maximum number of connections that scrapers may have open at once.
const MAX_SCRAPE_CONNECTIONS: usize = 8;

/// Starts to serve the metrics on the address in the settings, if there is one.
///
/// A process whose metrics can't be served logs a warning and continues.
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
            Err(error) => return log_unserved(address, &error.to_string()),
        };
        let limits = ServerLimits {
            connections: MAX_SCRAPE_CONNECTIONS,
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

fn log_unserved(address: SocketAddr, error: &str) {
    event!(
        warn,
        events::METRICS_UNSERVED,
        address = address,
        error = error
    );
}

/// Wraps a handler so that the status and the duration of each response are recorded in the
/// metrics.
pub(crate) fn with_request_metrics<F>(
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
        let (metrics, started) = (metrics.clone(), Instant::now());
        let call = classify_request(&request);
        let response = handler(request);
        Box::pin(async move {
            let reply = response.await;
            let took_s = started.elapsed().as_secs_f64();
            metrics.observe_request((listener, call), reply.status().as_u16(), took_s);
            reply
        })
    }
}
