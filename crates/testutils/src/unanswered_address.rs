//! An address at which nobody answers.

use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};

/// An address at which nobody listens, and that nobody else can listen on while this value lives.
///
/// A port that was free a moment ago is no such address: a test beside may take it.
#[derive(Debug)]
pub struct UnansweredAddress {
    address: SocketAddr,
    _connection: (TcpStream, TcpStream),
}

impl UnansweredAddress {
    /// Takes the near end of a connection: its port is in use, but no listener's.
    ///
    /// # Panics
    ///
    /// Panics if the loopback address can't be used.
    pub fn reserve() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let far = listener.local_addr().expect("an address");
        let near = TcpStream::connect(far).expect("a connection");
        let (accepted, _) = listener.accept().expect("the other end");
        Self {
            address: near.local_addr().expect("an address"),
            _connection: (near, accepted),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
