//! Failures of the operating system while connections are taken.

use std::io;

use roseridge_net::accept_with_retry;
use roseridge_testutils::cases;

/// What each try comes to, and how many tries it takes.
fn takes_one_after(kinds: &[io::ErrorKind]) {
    let mut left = kinds.iter();
    let mut tries = 0;
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let taken = runtime.block_on(accept_with_retry(async || {
        tries += 1;
        match left.next() {
            Some(kind) => Err(io::Error::from(*kind)),
            None => Ok("a connection"),
        }
    }));
    assert_eq!((taken, tries), ("a connection", kinds.len() + 1));
}

cases! { takes_one_after:
    no_failure = &[],
    peer_that_left = &[io::ErrorKind::ConnectionAborted],
    shortage_of_descriptors = &[io::ErrorKind::Other; 3],
    interrupted_call = &[io::ErrorKind::Interrupted, io::ErrorKind::ConnectionReset],
}
