//! Guards against a listener that ends when the operating system fails to accept a connection.

use std::io;

use roseridge_net::accept_with_retry;
use roseridge_testutils::cases;

/// Checks that a connection is accepted at the first attempt after the given errors.
fn check_accept_after(kinds: &[io::ErrorKind]) {
    let mut errors = kinds.iter();
    let mut attempts = 0;
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let accepted = runtime.block_on(accept_with_retry(async || {
        attempts += 1;
        match errors.next() {
            Some(kind) => Err(io::Error::from(*kind)),
            None => Ok("a connection"),
        }
    }));
    assert_eq!((accepted, attempts), ("a connection", kinds.len() + 1));
}

cases! { check_accept_after:
    no_error = &[],
    disconnected_peer = &[io::ErrorKind::ConnectionAborted],
    file_descriptor_shortage = &[io::ErrorKind::Other; 3],
    interrupted_call = &[io::ErrorKind::Interrupted, io::ErrorKind::ConnectionReset],
}
