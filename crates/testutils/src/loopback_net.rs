//! Loopback addresses that no other test uses.

use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};

/// The port that marks a network as taken.
const LOCK_PORT: u16 = 20_001;

/// A network of loopback addresses that belongs to one test, with all its ports but one.
///
/// A port that was free a moment ago may be taken by a test beside; an address of one's own can't.
#[derive(Debug)]
pub struct LoopbackNet {
    octets: (u8, u8),
    _lock: TcpListener,
}

impl LoopbackNet {
    /// Takes a network that nobody uses.
    ///
    /// # Panics
    ///
    /// Panics if every network is taken.
    pub fn take() -> Self {
        let networks = (20..250_u8).flat_map(|a| (0..250_u8).map(move |b| (a, b)));
        let taken = networks.into_iter().find_map(|octets| {
            let lock = TcpListener::bind((address(octets, 1), LOCK_PORT)).ok()?;
            Some((octets, lock))
        });
        let (octets, lock) = taken.expect("a free loopback network");
        Self {
            octets,
            _lock: lock,
        }
    }

    /// Returns the address of a host of this network, with a port.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (address(self.octets, host), port).into()
    }
}

fn address((a, b): (u8, u8), host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, host)
}
