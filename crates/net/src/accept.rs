//! Taking connections, also when the operating system is short of something for a while.

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

/// The pause after a connection could not be taken; a shortage of descriptors ends when others close.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits for the next connection.
///
/// `accept` fails when the peer is already gone or descriptors are short. Neither ends the listener.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    let (stream, _) = accept_with_retry(async || listener.accept().await).await;
    stream
}

/// Waits until the closure takes a connection, and pauses after each failure.
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
                compio::time::sleep(PAUSE).await;
            }
        }
    }
}
