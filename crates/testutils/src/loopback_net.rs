//! Loopback networks that are reserved for one test.

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

/// The port on the first host of a network whose listener reserves the network.
const LOCK_PORT: u16 = 20_001;

/// The listeners that reserve the networks of this process.
///
/// They stay open until the process ends: tasks and threads of a test may still be closing their
/// listeners on a network after the test has dropped it.
static LOCKS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// A network of loopback addresses that is reserved for one test until the test process ends.
///
/// The test may use every port of every host, except for the port on the first host that reserves
/// the network. Choosing a free port on a shared address instead is a race: a concurrent test may
/// bind the port before the test does.
#[derive(Debug)]
pub struct LoopbackNet {
    octets: (u8, u8),
}

impl LoopbackNet {
    /// Reserves a network that no other test uses.
    ///
    /// # Panics
    ///
    /// Panics if every network is reserved.
    pub fn reserve() -> Self {
        let networks = (20..250_u8).flat_map(|a| (0..250_u8).map(move |b| (a, b)));
        let reserved = networks.into_iter().find_map(|octets| {
            let lock = TcpListener::bind((address(octets, 1), LOCK_PORT)).ok()?;
            Some((octets, lock))
        });
        let (octets, lock) = reserved.expect("a free loopback network");
        let mut locks = LOCKS.lock().unwrap_or_else(PoisonError::into_inner);
        locks.push(lock);
        Self { octets }
    }

    /// Returns the socket address of a host of this network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (address(self.octets, host), port).into()
    }
}

fn address((a, b): (u8, u8), host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, host)
}
