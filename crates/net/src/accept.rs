//! Accepting connections, with retries after temporary errors of the operating system.

use std::{
    io,
    time::Duration, //
};

use compio::net::{
    TcpListener,
    TcpStream, //
};
use roseridge_events::{
    self as events,
    event, //
};

/// The pause after `accept` failed. A shortage of file descriptors ends when other connections
/// close.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Waits for the next connection.
///
/// `accept` fails if the peer has already disconnected or there are too few file descriptors.
/// Neither error ends the listener: it is logged, and `accept` is retried after a pause.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    let (stream, _) = accept_with_retry(async || listener.accept().await).await;
    stream
}

/// Calls the closure until it returns a connection, with a pause and a log line after each failure.
pub async fn accept_with_retry<C>(mut accept: impl AsyncFnMut() -> io::Result<C>) -> C {
    let mut failures = 0_u64;
    loop {
        match accept().await {
            Ok(connection) => return connection,
            Err(error) => {
                failures += 1;
                event!(
                    warn,
                    events::ACCEPT_FAILED,
                    error = error,
                    failures = failures
                );
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
