//! Loopback forwarders that links run through, and their faults.

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
    PartThread,
    link_pump::accept_connections, //
};

/// What becomes of the bytes in one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFlow {
    /// They pass.
    #[default]
    Open,
    /// They wait, without any sign to either end, until the flow is open again.
    Held,
    /// Each piece passes late.
    Delayed(Duration),
}

/// The faults of a link and what passed over it.
#[derive(Debug, Default)]
pub(crate) struct LinkState {
    target: Mutex<Option<SocketAddr>>,
    flows: Mutex<[LinkFlow; 2]>,
    refuses: AtomicBool,
    connections: Mutex<Vec<Arc<ConnectionState>>>,
    bytes: [AtomicU64; 2],
    pieces: [AtomicU64; 2],
    opened: AtomicU64,
}

/// One connection of a link.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    silenced: AtomicBool,
    cut: StopHandle,
    pub(crate) cut_signal: StopSignal,
}

/// The direction of bytes: from the end that opened the connection, or towards it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Up = 0,
    Down = 1,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LinkState {
    pub(crate) fn target(&self) -> Option<SocketAddr> {
        *lock(&self.target)
    }

    pub(crate) fn refuses(&self) -> bool {
        self.refuses.load(Ordering::SeqCst)
    }

    /// Returns how the bytes of a connection flow in a direction.
    pub(crate) fn flow(&self, connection: &ConnectionState, direction: Direction) -> LinkFlow {
        match connection.silenced.load(Ordering::SeqCst) {
            true => LinkFlow::Held,
            false => lock(&self.flows)[direction as usize],
        }
    }

    pub(crate) fn open_connection(&self) -> Arc<ConnectionState> {
        let (cut, cut_signal) = stop_pair();
        let connection = Arc::new(ConnectionState {
            silenced: AtomicBool::new(false),
            cut,
            cut_signal,
        });
        let mut connections = lock(&self.connections);
        connections.retain(|c| !c.cut_signal.is_stopping());
        connections.push(Arc::clone(&connection));
        self.opened.fetch_add(1, Ordering::SeqCst);
        connection
    }

    pub(crate) fn count(&self, direction: Direction, bytes: usize) {
        self.bytes[direction as usize].fetch_add(bytes as u64, Ordering::SeqCst);
        self.pieces[direction as usize].fetch_add(1, Ordering::SeqCst);
    }
}

impl ConnectionState {
    pub(crate) fn cut(&self) {
        self.cut.stop();
    }
}

/// The links that share one listening address, told apart by the process that opens a connection.
///
/// The processes of the system know each other by one address each, so the sender can't be told by
/// the address. Each process therefore belongs to a cluster of its own name; the forwarder reads the
/// name in the hello of a connection and puts the receiver's in its place.
#[derive(Debug)]
pub(crate) struct LinkPort {
    /// The links by their senders' cluster names; a port without them has one link for everybody.
    pub(crate) senders: BTreeMap<String, Arc<LinkState>>,
    /// The cluster name of the receiver.
    pub(crate) receiver: String,
    /// The link of whoever says no known name.
    pub(crate) others: Arc<LinkState>,
}

/// The thread on which forwarders run.
#[derive(Debug)]
pub struct LinkNetwork {
    opens: Sender<(TcpListener, LinkPort)>,
    _thread: PartThread,
}

/// A loopback address whose connections are passed on to a target.
#[derive(Debug, Clone)]
pub struct LinkForwarder {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl LinkNetwork {
    /// Starts the thread.
    pub fn start() -> Self {
        let (opens, opened) = async_channel::unbounded();
        let thread = PartThread::start("links", move |_| async move {
            while let Ok((listener, port)) = opened.recv().await {
                compio::runtime::spawn(accept_connections(listener, Rc::new(port))).detach();
            }
        });
        Self {
            opens,
            _thread: thread,
        }
    }

    /// Opens a forwarder; connections are closed until it has a target.
    pub fn forwarder(&self) -> LinkForwarder {
        let (listener, _) = loopback();
        self.forwarder_at(listener)
    }

    /// Opens a forwarder on a listener that is there already.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no address.
    pub fn forwarder_at(&self, listener: TcpListener) -> LinkForwarder {
        let others = Arc::new(LinkState::default());
        let port = LinkPort {
            senders: BTreeMap::new(),
            receiver: String::new(),
            others: Arc::clone(&others),
        };
        let address = self.open(listener, port);
        LinkForwarder {
            address,
            state: others,
        }
    }

    /// Opens one address towards a receiver and returns a forwarder for each sender's links to it.
    ///
    /// The names are the processes' cluster names, all of one length.
    pub(crate) fn shared_forwarders(
        &self,
        senders: &[String],
        receiver: &str,
    ) -> Vec<LinkForwarder> {
        let (listener, _) = loopback();
        self.shared_forwarders_at(listener, senders, receiver)
    }

    /// Opens an address as [`Self::shared_forwarders`] does, on a listener that is there already.
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
        let port = LinkPort {
            senders: senders.iter().cloned().zip(states.clone()).collect(),
            receiver: receiver.to_owned(),
            others: Arc::default(),
        };
        let address = self.open(listener, port);
        let forwarders = states
            .into_iter()
            .map(|state| LinkForwarder { address, state });
        forwarders.collect()
    }

    fn open(&self, listener: TcpListener, port: LinkPort) -> SocketAddr {
        let address = listener.local_addr().expect("a listener has an address");
        let sent = self.opens.try_send((listener, port));
        sent.expect("the network runs");
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

    /// Passes new connections on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Sets how bytes flow from the end that opens connections, and towards it.
    pub fn set_flows(&self, up: LinkFlow, down: LinkFlow) {
        *lock(&self.state.flows) = [up, down];
    }

    /// Sets whether new connections are closed at once.
    pub fn refuse_new(&self, refuses: bool) {
        self.state.refuses.store(refuses, Ordering::SeqCst);
    }

    /// Silences every open connection for good, without closing it; new ones work.
    pub fn stall_connections(&self) {
        for connection in lock(&self.state.connections).iter() {
            connection.silenced.store(true, Ordering::SeqCst);
        }
    }

    /// Closes every open connection.
    pub fn close_connections(&self) {
        for connection in lock(&self.state.connections).drain(..) {
            connection.cut();
        }
    }

    /// Lets everything pass again; connections that were silenced for good stay silent.
    pub fn heal(&self) {
        self.set_flows(LinkFlow::Open, LinkFlow::Open);
        self.refuse_new(false);
    }

    /// Returns the bytes that passed so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        let bytes = self.state.bytes.iter().map(|b| b.load(Ordering::SeqCst));
        bytes.sum()
    }

    /// Returns the pieces that passed so far; a piece is about one segment.
    pub fn pieces(&self) -> u64 {
        let pieces = self.state.pieces.iter().map(|p| p.load(Ordering::SeqCst));
        pieces.sum()
    }

    /// Returns the connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }
}
