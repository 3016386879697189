//! Copies the bytes of forwarded connections.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use compio::{
    BufResult,
    io::{
        AsyncRead,
        AsyncWrite,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

use crate::link_forwarder::{
    ConnectionState,
    Direction,
    LinkFlow,
    LinkRoutes,
    LinkState, //
};

/// The maximum size of a chunk in bytes.
const MAX_CHUNK_BYTES: usize = 65_536;
/// The interval at which a held flow is polled.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections and forwards each to the target that its link has at that time.
pub(crate) async fn accept_connections(listener: std::net::TcpListener, routes: Rc<LinkRoutes>) {
    let listener = TcpListener::from_std(listener)
        .expect("the listener can be registered with the event loop");
    while let Ok((client, _)) = listener.accept().await {
        let routes = Rc::clone(&routes);
        compio::runtime::spawn(async move {
            let (link, first_chunk) = match routes.by_sender.is_empty() {
                true => (Arc::clone(&routes.fallback), Vec::new()),
                false => read_hello(&client, &routes).await,
            };
            let target = link.target().filter(|_| !link.is_refusing());
            let Some(target) = target else {
                return;
            };
            if let Ok(upstream) = TcpStream::connect(target).await {
                forward_connection(client, upstream, &link, first_chunk).await;
            }
        })
        .detach();
    }
}

/// Reads the first chunk, which contains the hello, and returns the sender's link and the chunk.
///
/// In the chunk the sender's cluster name is replaced by the receiver's, which the receiver
/// expects.
async fn read_hello(mut client: &TcpStream, routes: &LinkRoutes) -> (Arc<LinkState>, Vec<u8>) {
    let BufResult(_, mut chunk) = client.read(Vec::with_capacity(MAX_CHUNK_BYTES)).await;
    for (sender, link) in &routes.by_sender {
        let name_position = chunk
            .windows(sender.len())
            .position(|w| w == sender.as_bytes());
        if let Some(position) = name_position {
            chunk[position..position + sender.len()].copy_from_slice(routes.receiver.as_bytes());
            return (Arc::clone(link), chunk);
        }
    }
    (Arc::clone(&routes.fallback), chunk)
}

/// Copies the bytes of a connection in both directions until both end or the link closes it.
async fn forward_connection(
    client: TcpStream,
    upstream: TcpStream,
    link: &LinkState,
    first_chunk: Vec<u8>,
) {
    // Forwarding also works without TCP_NODELAY, only with a higher latency.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let connection = link.register_connection();
    let to_target = copy_direction(
        &client,
        &upstream,
        link,
        &connection,
        Direction::ToTarget,
        first_chunk,
    );
    let from_target = copy_direction(
        &upstream,
        &client,
        link,
        &connection,
        Direction::FromTarget,
        Vec::new(),
    );
    let both = async {
        futures::join!(to_target, from_target);
    };
    let _ = connection.close_signal.or(both).await;
    // Marks the connection as closed, so that the link removes it.
    connection.close();
}

/// Copies bytes from the source to the sink until either ends, then closes the sink for writing.
async fn copy_direction(
    mut source: &TcpStream,
    sink: &TcpStream,
    link: &LinkState,
    connection: &ConnectionState,
    direction: Direction,
    first_chunk: Vec<u8>,
) {
    let mut chunk = first_chunk;
    loop {
        if !chunk.is_empty() && !forward_chunk(sink, link, connection, direction, chunk).await {
            break;
        }
        let BufResult(read_result, next) = source.read(Vec::with_capacity(MAX_CHUNK_BYTES)).await;
        match read_result {
            Ok(bytes) if bytes > 0 => chunk = next,
            _ => break,
        }
    }
    wait_for_flow(link, connection, direction).await;
    // The sink may have been closed already.
    let _ = (&mut &*sink).shutdown().await;
}

/// Forwards one chunk as soon as the flow permits it; returns whether the write succeeded.
async fn forward_chunk(
    mut sink: &TcpStream,
    link: &LinkState,
    connection: &ConnectionState,
    direction: Direction,
    chunk: Vec<u8>,
) -> bool {
    wait_for_flow(link, connection, direction).await;
    link.count_chunk(direction, chunk.len());
    let BufResult(write_result, _) = sink.write_all(chunk).await;
    write_result.is_ok()
}

/// Waits until the flow permits one chunk: for its delay, or until it is no longer held.
async fn wait_for_flow(link: &LinkState, connection: &ConnectionState, direction: Direction) {
    loop {
        match link.flow(connection, direction) {
            LinkFlow::Open => return,
            LinkFlow::Delayed(span) => {
                compio::time::sleep(span).await;
                return;
            }
            LinkFlow::Held => compio::time::sleep(HELD_POLL_INTERVAL).await,
        }
    }
}
