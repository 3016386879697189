//! Loopback addresses that no other test uses.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Mutex,
        PoisonError, //
    },
};

/// The port that marks a network as taken.
const LOCK_PORT: u16 = 20_001;

/// The locks of the networks that this process has taken. They are held until the process ends:
/// tasks and threads may still close their listeners on a network after the test has dropped it.
static LOCKS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// A network of loopback addresses that belongs to one test, with all its ports but one.
///
/// A port that was free a moment ago may be taken by a test beside; an address of one's own can't.
#[derive(Debug)]
pub struct LoopbackNet {
    octets: (u8, u8),
}

impl LoopbackNet {
    /// Takes a network that nobody uses.
    ///
    /// # Panics
    ///
    /// Panics if every network is taken.
    pub fn reserve() -> Self {
        let networks = (20..250_u8).flat_map(|a| (0..250_u8).map(move |b| (a, b)));
        let taken = networks.into_iter().find_map(|octets| {
            let lock = TcpListener::bind((address(octets, 1), LOCK_PORT)).ok()?;
            Some((octets, lock))
        });
        let (octets, lock) = taken.expect("a free loopback network");
        let mut locks = LOCKS.lock().unwrap_or_else(PoisonError::into_inner);
        locks.push(lock);
        Self { octets }
    }

    /// Returns the address of a host of this network, with a port.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (address(self.octets, host), port).into()
    }
}

fn address((a, b): (u8, u8), host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, host)
}
