//! Loopback TCP forwarders that carry the links between processes and inject network faults.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use async_channel::Sender;
use roseridge_shutdown::{
    StopHandle,
    StopSignal,
    stop_pair, //
};

use crate::{
    ComponentThread,
    connection_copy::accept_connections, //
};

/// How a link treats the bytes that it carries in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFlow {
    /// Bytes are forwarded immediately.
    #[default]
    Open,
    /// Bytes are held back, without either end noticing, until the flow is open again.
    Held,
    /// Each chunk is forwarded after this delay.
    Delayed(Duration),
}

/// The target, injected faults and traffic counters of a link.
#[derive(Debug, Default)]
pub(crate) struct LinkState {
    target: Mutex<Option<SocketAddr>>,
    flows: Mutex<[LinkFlow; 2]>,
    is_refusing: AtomicBool,
    connections: Mutex<Vec<Arc<ConnectionState>>>,
    bytes: [AtomicU64; 2],
    chunks: [AtomicU64; 2],
    opened: AtomicU64,
}

/// The state of one connection of a link.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    is_stalled: AtomicBool,
    close: StopHandle,
    pub(crate) close_signal: StopSignal,
}

/// The direction of bytes: from the end that opened the connection to the target, or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    ToTarget = 0,
    FromTarget = 1,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LinkState {
    pub(crate) fn target(&self) -> Option<SocketAddr> {
        *lock(&self.target)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::SeqCst)
    }

    /// Returns how the bytes of a connection flow in one direction; a stalled connection is held.
    pub(crate) fn flow(&self, connection: &ConnectionState, direction: Direction) -> LinkFlow {
        match connection.is_stalled.load(Ordering::SeqCst) {
            true => LinkFlow::Held,
            false => lock(&self.flows)[direction as usize],
        }
    }

    /// Registers a new connection and removes those that have been closed.
    pub(crate) fn register_connection(&self) -> Arc<ConnectionState> {
        let (close, close_signal) = stop_pair();
        let connection = Arc::new(ConnectionState {
            is_stalled: AtomicBool::new(false),
            close,
            close_signal,
        });
        let mut connections = lock(&self.connections);
        connections.retain(|c| !c.close_signal.is_stopping());
        connections.push(Arc::clone(&connection));
        self.opened.fetch_add(1, Ordering::SeqCst);
        connection
    }

    /// Adds a forwarded chunk to the traffic counters.
    pub(crate) fn count_chunk(&self, direction: Direction, bytes: usize) {
        self.bytes[direction as usize].fetch_add(bytes as u64, Ordering::SeqCst);
        self.chunks[direction as usize].fetch_add(1, Ordering::SeqCst);
    }
}

impl ConnectionState {
    pub(crate) fn close(&self) {
        self.close.stop();
    }
}

/// The links that share one listening address; the process that opens a connection selects its
/// link.
///
/// The processes of the system reach a receiver at one address, so the address doesn't identify the
/// sender. Each process therefore has a cluster name of its own: the forwarder reads the sender's
/// name from the hello of a connection and replaces it by the receiver's name.
#[derive(Debug)]
pub(crate) struct LinkRoutes {
    /// The links by the cluster names of their senders; if empty, `fallback` carries all
    /// connections.
    pub(crate) by_sender: BTreeMap<String, Arc<LinkState>>,
    /// The cluster name of the receiver.
    pub(crate) receiver: String,
    /// The link for connections whose hello contains no known name.
    pub(crate) fallback: Arc<LinkState>,
}

/// The thread that runs the forwarders.
///
/// Processes that share a listening address must each have a cluster name of their own, because the
/// forwarder identifies the sender of a connection by it.
#[derive(Debug)]
pub struct LinkNetwork {
    listeners: Sender<(TcpListener, LinkRoutes)>,
    _thread: ComponentThread,
}

/// A handle to one link: an address whose connections are forwarded to a target.
#[derive(Debug, Clone)]
pub struct LinkForwarder {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl LinkNetwork {
    /// Starts the thread of the forwarders.
    pub fn start() -> Self {
        let (listeners, new_listeners) = async_channel::unbounded();
        let thread = ComponentThread::start("links", move |_| async move {
            while let Ok((listener, routes)) = new_listeners.recv().await {
                compio::runtime::spawn(accept_connections(listener, Rc::new(routes))).detach();
            }
        });
        Self {
            listeners,
            _thread: thread,
        }
    }

    /// Opens a forwarder on a free loopback port; it closes connections until a target is set.
    pub fn forwarder(&self) -> LinkForwarder {
        let (listener, _) = loopback();
        self.forwarder_at(listener)
    }

    /// Opens a forwarder on an existing listener; it closes connections until a target is set.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no address.
    pub fn forwarder_at(&self, listener: TcpListener) -> LinkForwarder {
        let fallback = Arc::new(LinkState::default());
        let routes = LinkRoutes {
            by_sender: BTreeMap::new(),
            receiver: String::new(),
            fallback: Arc::clone(&fallback),
        };
        let address = self.open(listener, routes);
        LinkForwarder {
            address,
            state: fallback,
        }
    }

    /// Opens one address for a receiver and returns a forwarder for the link of each sender to it.
    ///
    /// `senders` and `receiver` are the cluster names of the processes, all of the same length.
    pub(crate) fn shared_forwarders(
        &self,
        senders: &[String],
        receiver: &str,
    ) -> Vec<LinkForwarder> {
        let (listener, _) = loopback();
        self.shared_forwarders_at(listener, senders, receiver)
    }

    /// Opens an existing listener for a receiver and returns a forwarder for the link of each
    /// sender.
    ///
    /// `senders` and `receiver` are the cluster names of the processes, all of the same length,
    /// because the forwarder replaces one by the other in place.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no address.
    pub fn shared_forwarders_at(
        &self,
        listener: TcpListener,
        senders: &[String],
        receiver: &str,
    ) -> Vec<LinkForwarder> {
        let states: Vec<Arc<LinkState>> = senders.iter().map(|_| Arc::default()).collect();
        let routes = LinkRoutes {
            by_sender: senders.iter().cloned().zip(states.clone()).collect(),
            receiver: receiver.to_owned(),
            fallback: Arc::default(),
        };
        let address = self.open(listener, routes);
        let forwarders = states
            .into_iter()
            .map(|state| LinkForwarder { address, state });
        forwarders.collect()
    }

    fn open(&self, listener: TcpListener, routes: LinkRoutes) -> SocketAddr {
        let address = listener.local_addr().expect("a listener has an address");
        let sent = self.listeners.try_send((listener, routes));
        sent.expect("the thread of the forwarders runs");
        address
    }
}

/// Listens on a free loopback port.
pub(crate) fn loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    (listener, address)
}

impl LinkForwarder {
    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections; open connections keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Sets how bytes flow to the target and back, on open and new connections.
    pub fn set_flows(&self, to_target: LinkFlow, from_target: LinkFlow) {
        *lock(&self.state.flows) = [to_target, from_target];
    }

    /// Sets whether new connections are closed immediately.
    pub fn refuse_new(&self, is_refusing: bool) {
        self.state.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    /// Stalls every open connection permanently, without closing it; new connections work.
    pub fn stall_connections(&self) {
        for connection in lock(&self.state.connections).iter() {
            connection.is_stalled.store(true, Ordering::SeqCst);
        }
    }

    /// Closes every open connection.
    pub fn close_connections(&self) {
        for connection in lock(&self.state.connections).drain(..) {
            connection.close();
        }
    }

    /// Restores normal forwarding; connections that were stalled permanently remain so.
    pub fn heal(&self) {
        self.set_flows(LinkFlow::Open, LinkFlow::Open);
        self.refuse_new(false);
    }

    /// Returns the total number of bytes forwarded so far in both directions.
    pub fn bytes(&self) -> u64 {
        let bytes = self.state.bytes.iter().map(|b| b.load(Ordering::SeqCst));
        bytes.sum()
    }

    /// Returns the total number of chunks forwarded so far in both directions.
    ///
    /// A chunk is the result of one read, about one TCP segment.
    pub fn chunks(&self) -> u64 {
        let chunks = self.state.chunks.iter().map(|p| p.load(Ordering::SeqCst));
        chunks.sum()
    }

    /// Returns the number of connections forwarded so far.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }
}
