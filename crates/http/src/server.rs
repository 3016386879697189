//! An HTTP server with limits and graceful shutdown.

use std::{
    convert::Infallible,
    future::Future,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use compio::net::{
    TcpListener,
    TcpStream, //
};
use cyper_core::{
    CompioTimer,
    HyperStream, //
};
use futures::future::{
    Either,
    select, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use roseridge_net::accept_connection;
use roseridge_shutdown::{
    StopHandle,
    StopSignal,
    stop_pair, //
};

/// A request as a handler receives it.
pub type HttpRequest = Request<Incoming>;

/// A response as a handler returns it.
pub type HttpReply = Response<Full<Bytes>>;

/// The limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The maximum number of open connections; further ones are closed on arrival.
    pub connections: usize,
    /// The maximum time to receive the headers of a request.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            header_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves connections until the stop is requested, then waits for the requests in progress.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    let handler = Rc::new(handler);
    let (closed_handle, all_closed) = stop_pair();
    let guard = Rc::new(ConnectionGuard(closed_handle));
    while let Some(stream) = stop.or(accept_connection(&listener)).await {
        if Rc::strong_count(&guard) > limits.connections {
            continue;
        }
        let guard = Rc::clone(&guard);
        let serving = serve_connection(stream, limits, stop.clone(), Rc::clone(&handler));
        compio::runtime::spawn(async move {
            serving.await;
            drop(guard);
        })
        .detach();
    }
    drop(guard);
    all_closed.wait().await;
}

/// Shared by all open connections. Dropping the last reference notifies the server.
struct ConnectionGuard(StopHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Serves one connection, and shuts it down gracefully when the stop is requested.
async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    stop: StopSignal,
    handler: Rc<H>,
) where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    // The connection also works without the option, with a higher latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .serve_connection(HyperStream::new_plain(stream), service);
    let connection = std::pin::pin!(connection);
    let stopping = std::pin::pin!(stop.wait());
    // An error means that the caller's connection failed, so no response can be sent.
    match select(connection, stopping).await {
        Either::Left(_) => {}
        Either::Right(((), mut connection)) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
