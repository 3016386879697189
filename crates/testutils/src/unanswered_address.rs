//! An address that refuses connections.

use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};

/// A loopback address that refuses connections, since nothing can listen on it until this value is
/// dropped.
///
/// A free port does not guarantee this: a concurrent test may bind it at any time.
#[derive(Debug)]
pub struct UnansweredAddress {
    address: SocketAddr,
    _connection: (TcpStream, TcpStream),
}

impl UnansweredAddress {
    /// Reserves the local address of an open connection: its port is in use, but has no listener.
    ///
    /// # Panics
    ///
    /// Panics if the loopback address can't be used.
    pub fn reserve() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let remote = listener.local_addr().expect("an address");
        let client = TcpStream::connect(remote).expect("a connection");
        let (accepted, _) = listener.accept().expect("the accepted end");
        Self {
            address: client.local_addr().expect("an address"),
            _connection: (client, accepted),
        }
    }

    /// Returns the address that refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
