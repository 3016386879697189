//! The client side of internal links.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::{
        Rc,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use compio::net::TcpStream;
use futures::{
    FutureExt,
    StreamExt,
    lock::Mutex,
    select_biased,
    stream::FuturesUnordered, //
};
use roseridge_quorum::{
    MemberId,
    PeerMessage, //
};
use roseridge_shutdown::{
    StopHandle,
    stop_pair, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tarpc::{
    client::{
        self,
        RpcError, //
    },
    context::{
        self,
        Context, //
    },
};

use crate::{
    AgentOrders,
    AgentReport,
    CallError,
    ControlCall,
    ControlReply,
    InternalRpcClient,
    LinkHello,
    LinkRefusal,
    PROTOCOL_VERSION,
    frame::TransferWatch,
    transport::ClosableTransport, //
};

/// The maximum time to open a connection, and separately to complete the hello on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time after which another connection is opened beside one that is not ready. A packet that is lost
/// while the peer is down is sent again only after a second.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of connections that are being opened at the same time.
const MAX_OPENING: usize = 3;

/// The time since the last reply for which a connection counts as working although a call has no
/// reply by its deadline.
const REPLY_INTERVAL: Duration = Duration::from_millis(300);

/// The time since the last reply after which a connection is pinged.
pub const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time after which an unanswered ping closes its connection.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The reason why a call over a link failed.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection could not be opened; the call was not sent.
    #[snafu(display("{address} can't be reached: {source}"))]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The peer refused the link; the call was not sent.
    #[snafu(display("{address} refused the link: {source}"))]
    LinkRefused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: LinkRefusal,
    },
    /// The call could not be encoded within the maximum frame size; it was not sent.
    #[snafu(display("the call to {address} can't be sent: {source}"))]
    Unsendable {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: RpcError,
    },
    /// The call was sent and no reply arrived; it is not known whether it took effect.
    #[snafu(display("{address} did not reply: {source}"))]
    NoReply {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: RpcError,
    },
    /// The peer replied with an error.
    #[snafu(transparent)]
    Answered {
        /// The error.
        source: CallError,
    },
}

impl LinkError {
    /// Returns whether the call is known to have had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::LinkRefused { .. } | Self::Unsendable { .. } => true,
            Self::NoReply { .. } => false,
            Self::Answered { source } => *source != CallError::OutcomeUnknown,
        }
    }
}

/// An open connection. Dropping it ends its dispatch and fails every pending call.
#[derive(Debug)]
struct OpenLink {
    number: u64,
    client: InternalRpcClient,
    last_received: Instant,
    transfers: TransferWatch,
    _dispatch_handle: StopHandle,
}

/// A connection that is ready, with the handle that stops its dispatch.
type ReadyConnection = (InternalRpcClient, TransferWatch, StopHandle);

#[derive(Debug)]
struct LinkState {
    address: SocketAddr,
    cluster: String,
    open: RefCell<Option<OpenLink>>,
    /// The number of the newest connection; locked while a connection is opened.
    connecting: Mutex<u64>,
}

/// A connection to another process that is opened on demand and replaced when it stops responding.
///
/// Every call has a deadline. A call without a reply by its deadline closes the connection, because
/// the connection may never deliver data again, unless replies to other calls are arriving. A
/// connection without a reply for [`PING_INTERVAL`] is pinged. If the ping is not answered within
/// [`PING_TIMEOUT`], the connection is closed, so that pending calls with a later deadline fail at
/// once and can be retried elsewhere. A ping that waits behind a large frame has the time of that
/// transfer in addition.
#[derive(Debug, Clone)]
pub struct RpcLink(Rc<LinkState>);

impl RpcLink {
    /// Creates a link to an address without opening a connection.
    pub fn new(address: SocketAddr, cluster: &str) -> Self {
        Self(Rc::new(LinkState {
            address,
            cluster: cluster.to_owned(),
            open: RefCell::new(None),
            connecting: Mutex::new(0),
        }))
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Calls the control group.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] if there is no reply or the reply is an error.
    pub async fn control(
        &self,
        call: ControlCall,
        limit: Duration,
    ) -> Result<ControlReply, LinkError> {
        let (number, client) = self.client().await?;
        let sent = Instant::now();
        let reply = client.control(deadline(limit), call).await;
        Ok(self.check((number, sent), reply)??)
    }

    /// Reports on behalf of an agent and returns its orders.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] if there is no reply or the reply is an error.
    pub async fn exchange(
        &self,
        report: AgentReport,
        limit: Duration,
    ) -> Result<AgentOrders, LinkError> {
        let (number, client) = self.client().await?;
        let sent = Instant::now();
        let reply = client.exchange(deadline(limit), report).await;
        Ok(self.check((number, sent), reply)??)
    }

    /// Delivers messages to another replica.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] if the messages may not have arrived.
    pub async fn deliver(
        &self,
        from: MemberId,
        messages: Vec<PeerMessage>,
        limit: Duration,
    ) -> Result<(), LinkError> {
        let (number, client) = self.client().await?;
        let sent = Instant::now();
        let reply = client.deliver(deadline(limit), from, messages).await;
        Ok(self.check((number, sent), reply)??)
    }

    /// Records a reply on the connection with this number, or closes the connection if a call that
    /// was sent has none.
    fn check<T>(
        &self,
        (number, sent): (u64, Instant),
        reply: Result<T, RpcError>,
    ) -> Result<T, LinkError> {
        let address = self.0.address;
        match reply {
            Ok(value) => {
                self.0.record_reply(number, sent);
                Ok(value)
            }
            // Nothing was sent, so the other calls on the connection continue.
            Err(source @ RpcError::Send(_)) => Err(LinkError::Unsendable { address, source }),
            // The connection works, so only this call takes too long.
            Err(source @ RpcError::DeadlineExceeded) if self.0.is_replying(number, sent) => {
                Err(LinkError::NoReply { address, source })
            }
            Err(source) => {
                self.0.close(number);
                Err(LinkError::NoReply { address, source })
            }
        }
    }

    /// Returns the number and the client of the open connection, if there is one.
    fn open_client(&self) -> Option<(u64, InternalRpcClient)> {
        let open = self.0.open.borrow();
        open.as_ref().map(|link| (link.number, link.client.clone()))
    }

    /// Returns the number and the client of the open connection, or opens one. Concurrent calls
    /// open a single connection.
    async fn client(&self) -> Result<(u64, InternalRpcClient), LinkError> {
        if let Some(open) = self.open_client() {
            return Ok(open);
        }
        let mut number = self.0.connecting.lock().await;
        if let Some(open) = self.open_client() {
            return Ok(open);
        }
        *number += 1;
        let (client, transfers, dispatch_handle) = self.open_first().await?;
        *self.0.open.borrow_mut() = Some(OpenLink {
            number: *number,
            client: client.clone(),
            last_received: Instant::now(),
            transfers: transfers.clone(),
            _dispatch_handle: dispatch_handle,
        });
        let opened = (client.clone(), transfers);
        let pinging = ping_while_open(Rc::downgrade(&self.0), *number, opened);
        compio::runtime::spawn(pinging).detach();
        Ok((*number, client))
    }

    /// Opens connections at intervals until the first one is ready, and drops the others.
    ///
    /// The newest connection shows what the peer is like now, so its failure ends the attempt.
    async fn open_first(&self) -> Result<ReadyConnection, LinkError> {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        let mut opening = FuturesUnordered::new();
        let mut started = 0;
        loop {
            opening.push(self.open(started, deadline));
            started += 1;
            let wait = match started < MAX_OPENING {
                true => CONNECT_INTERVAL,
                false => CONNECT_TIMEOUT * 2,
            };
            let due = Instant::now() + wait;
            loop {
                let remaining = due.saturating_duration_since(Instant::now());
                let (number, result) = select_biased! {
                    opened = opening.select_next_some() => opened,
                    () = compio::time::sleep(remaining).fuse() => break,
                };
                match result {
                    Err(_) if number + 1 < started => {}
                    result => return result,
                }
            }
        }
    }

    /// Opens a connection and completes the hello on it; returns its number, and its client with the
    /// handle that stops its dispatch.
    async fn open(
        &self,
        number: usize,
        connect_deadline: Instant,
    ) -> (usize, Result<ReadyConnection, LinkError>) {
        let opened = async {
            let connection = self.connect(connect_deadline).await?;
            self.send_hello(&connection.0).await?;
            Ok(connection)
        };
        (number, opened.await)
    }

    /// Opens a connection and starts its dispatch, which the returned handle stops.
    async fn connect(&self, connect_deadline: Instant) -> Result<ReadyConnection, LinkError> {
        let address = self.0.address;
        let limit = connect_deadline.saturating_duration_since(Instant::now());
        let stream = compio::time::timeout(limit, TcpStream::connect(address))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .context(UnreachableSnafu { address })?;
        // The connection also works without the option, with a higher latency.
        let _ = stream.set_nodelay(true);
        let transfers = TransferWatch::default();
        let transport = ClosableTransport::new(stream, transfers.clone());
        let opened = InternalRpcClient::new(client::Config::default(), transport);
        let (dispatch_handle, closed) = stop_pair();
        compio::runtime::spawn(async move {
            // The end of the dispatch fails all pending calls, which report the error.
            let _ = closed.or(opened.dispatch).await;
        })
        .detach();
        Ok((opened.client, transfers, dispatch_handle))
    }

    /// Sends the hello message and waits for its acceptance.
    async fn send_hello(&self, client: &InternalRpcClient) -> Result<(), LinkError> {
        let address = self.0.address;
        let hello = LinkHello {
            cluster: self.0.cluster.clone(),
            version: PROTOCOL_VERSION,
        };
        let hello_result = client.hello(deadline(CONNECT_TIMEOUT), hello).await;
        match hello_result {
            Ok(reply) => reply.context(LinkRefusedSnafu { address }),
            Err(error) => Err(io::Error::other(error)).context(UnreachableSnafu { address }),
        }
    }
}

impl LinkState {
    /// Closes the connection with this number, unless it was already replaced.
    fn close(&self, number: u64) {
        let mut slot = self.open.borrow_mut();
        if slot.as_ref().is_some_and(|link| link.number == number) {
            *slot = None;
        }
    }

    /// Records a reply, on the connection with this number, to a call that was sent at a time.
    fn record_reply(&self, number: u64, sent: Instant) {
        match &mut *self.open.borrow_mut() {
            Some(link) if link.number == number => {
                link.last_received = Instant::now();
                // The peer receives frames in the order in which they are sent.
                link.transfers.finish_before(sent);
            }
            _ => {}
        }
    }

    /// Returns whether a reply to another call has arrived recently on the connection with this
    /// number, and after a call was sent.
    fn is_replying(&self, number: u64, sent: Instant) -> bool {
        let last_received = self.last_received(number);
        last_received.is_some_and(|at| at > sent && at.elapsed() < REPLY_INTERVAL)
    }

    /// Returns the time of the last reply on the connection with this number, if it is still open.
    fn last_received(&self, number: u64) -> Option<Instant> {
        let open = self.open.borrow();
        let link = open.as_ref().filter(|link| link.number == number);
        link.map(|link| link.last_received)
    }
}

/// Pings a connection without a reply for [`PING_INTERVAL`], and closes it if a ping fails. Returns
/// when the connection is closed.
async fn ping_while_open(
    link: Weak<LinkState>,
    number: u64,
    (client, transfers): (InternalRpcClient, TransferWatch),
) {
    loop {
        let last_received = link.upgrade().and_then(|link| link.last_received(number));
        let Some(last_received) = last_received else {
            return;
        };
        let due = last_received + PING_INTERVAL;
        let remaining = due.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            compio::time::sleep(remaining).await;
            continue;
        }
        let started = Instant::now();
        let reply = client.ping(deadline(PING_TIMEOUT)).await;
        match (link.upgrade(), reply) {
            (Some(_), Err(RpcError::DeadlineExceeded)) if transfers.is_busy_at(started) => {}
            (Some(link), Ok(_)) => link.record_reply(number, started),
            (Some(link), Err(_)) => link.close(number),
            (None, _) => return,
        }
    }
}

/// Returns an RPC context whose deadline is `limit` from now.
fn deadline(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
