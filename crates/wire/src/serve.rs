//! The server side of internal links.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use compio::net::{
    TcpListener,
    TcpStream, //
};
use futures::{
    StreamExt,
    channel::oneshot,
    future::select, //
};
use log::warn;
use postcard::ser_flavors::Size;
use roseridge_net::accept_connection;
use roseridge_quorum::{
    MemberId,
    PeerMessage,
    ReplicaId, //
};
use roseridge_shutdown::stop_pair;
use serde::Serialize;
use tarpc::{
    context::Context,
    server::{
        BaseChannel,
        Channel, //
    },
};

use crate::{
    AgentOrders,
    AgentReport,
    BudgetShare,
    CallError,
    ControlCall,
    ControlReply,
    InternalRpc,
    LinkHello,
    LinkRefusal,
    PROTOCOL_VERSION,
    call_budget::CallBudget,
    frame::{
        MAX_FRAME_BYTES,
        TransferWatch, //
    },
    transport::ClosableTransport, //
};

/// The maximum number of open connections; further ones are closed on arrival.
const MAX_CONNECTIONS: usize = 1_024;
/// The maximum number of calls in progress on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 2_048;
/// The maximum size of the received calls that wait to be handled, in bytes, for one listener.
/// Further ones are refused.
const MAX_WAITING_CALL_BYTES: usize = 16 * 1_048_576;
/// The same for messages between replicas, which calls can't displace.
const MAX_WAITING_MESSAGE_BYTES: usize = 16 * 1_048_576;
/// The time since the last received frame after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A received call, for the task that owns the state.
///
/// If the reply sender is dropped, a control call fails with [`CallError::OutcomeUnknown`] and an
/// exchange with [`CallError::NotServing`].
#[derive(Debug)]
pub enum InboundCall {
    /// Messages from another replica.
    Deliver {
        /// The sender.
        from: MemberId,
        /// The messages.
        messages: Vec<PeerMessage>,
        /// The part of the limit on waiting messages that this delivery takes up.
        share: BudgetShare,
    },
    /// A call to the control group.
    Control {
        /// The call.
        call: ControlCall,
        /// The sender of the reply.
        reply: oneshot::Sender<Result<ControlReply, CallError>>,
        /// The part of the limit on waiting calls that this call takes up.
        share: BudgetShare,
    },
    /// A request of this process itself to join the control group through other replicas.
    JoinGroup {
        /// The other replicas and their addresses.
        seeds: BTreeMap<ReplicaId, SocketAddr>,
    },
    /// A report of an agent.
    Exchange {
        /// The report.
        report: AgentReport,
        /// The sender of the reply.
        reply: oneshot::Sender<Result<AgentOrders, CallError>>,
        /// The part of the limit on waiting calls that this report takes up.
        share: BudgetShare,
    },
}

/// The queues for received calls; `control` is `None` in a process without a control replica.
#[derive(Debug, Clone)]
pub struct InboundSender {
    /// The queue of the control replica's task.
    pub control: Option<async_channel::Sender<InboundCall>>,
    /// The queue of the relay's task.
    pub relay: Option<async_channel::Sender<InboundCall>>,
}

/// Handles the calls of one connection.
#[derive(Debug, Clone)]
struct RpcHandler {
    cluster: Arc<str>,
    /// Whether the peer has sent a valid hello.
    has_hello: Arc<AtomicBool>,
    inbound: InboundSender,
    call_budget: CallBudget,
    message_budget: CallBudget,
}

impl RpcHandler {
    fn check_hello(&self) -> Result<(), CallError> {
        match self.has_hello.load(Ordering::Relaxed) {
            true => Ok(()),
            false => Err(CallError::NotServing),
        }
    }
}

/// Forwards a call to the task that owns the state. A full queue refuses it at once, so that the
/// number of waiting calls stays bounded.
fn forward(
    owner: Option<&async_channel::Sender<InboundCall>>,
    call: InboundCall,
) -> Result<(), CallError> {
    let owner = owner.ok_or(CallError::NotServing)?;
    owner.try_send(call).map_err(|error| match error {
        async_channel::TrySendError::Full(_) => CallError::Overloaded,
        async_channel::TrySendError::Closed(_) => CallError::NotServing,
    })
}

/// Returns the size of a call in its frame, in bytes.
fn encoded_size(call: &impl Serialize) -> usize {
    // A call that was decoded can be encoded.
    postcard::serialize_with_flavor(call, Size::default()).unwrap_or(MAX_FRAME_BYTES)
}

impl InternalRpc for RpcHandler {
    async fn hello(self, _: Context, hello: LinkHello) -> Result<(), LinkRefusal> {
        let refusal = match hello {
            LinkHello { cluster, .. } if *cluster != *self.cluster => LinkRefusal::ClusterMismatch,
            LinkHello { version, .. } if version != PROTOCOL_VERSION => {
                LinkRefusal::VersionMismatch { version }
            }
            _ => {
                self.has_hello.store(true, Ordering::Relaxed);
                return Ok(());
            }
        };
        warn!("{}", roseridge_events::LINK_REFUSED.line(&refusal));
        Err(refusal)
    }

    async fn ping(self, _: Context) -> Result<(), LinkRefusal> {
        self.check_hello().map_err(|_| LinkRefusal::MissingHello)
    }

    async fn deliver(
        self,
        _: Context,
        from: MemberId,
        messages: Vec<PeerMessage>,
    ) -> Result<(), CallError> {
        self.check_hello()?;
        let bytes = messages.iter().map(PeerMessage::size).sum();
        let share = self.message_budget.take(bytes);
        let call = InboundCall::Deliver {
            from,
            messages,
            share: share.ok_or(CallError::Overloaded)?,
        };
        forward(self.inbound.control.as_ref(), call)
    }

    async fn control(self, _: Context, call: ControlCall) -> Result<ControlReply, CallError> {
        self.check_hello()?;
        let (reply, received_reply) = oneshot::channel();
        let share = self.call_budget.take(encoded_size(&call));
        let call = InboundCall::Control {
            call,
            reply,
            share: share.ok_or(CallError::Overloaded)?,
        };
        forward(self.inbound.control.as_ref(), call)?;
        received_reply
            .await
            .unwrap_or(Err(CallError::OutcomeUnknown))
    }

    async fn exchange(self, _: Context, report: AgentReport) -> Result<AgentOrders, CallError> {
        self.check_hello()?;
        let (reply, received_reply) = oneshot::channel();
        let share = self.call_budget.take(encoded_size(&report));
        let call = InboundCall::Exchange {
            report,
            reply,
            share: share.ok_or(CallError::Overloaded)?,
        };
        forward(self.inbound.relay.as_ref(), call)?;
        received_reply.await.unwrap_or(Err(CallError::NotServing))
    }
}

/// Serves internal connections until the future is dropped, which also closes them.
pub async fn serve_listener(listener: TcpListener, cluster: String, inbound: InboundSender) {
    let cluster: Arc<str> = cluster.into();
    let connection_count = Rc::new(());
    let call_budget = CallBudget::new(MAX_WAITING_CALL_BYTES);
    let message_budget = CallBudget::new(MAX_WAITING_MESSAGE_BYTES);
    // The handle is dropped with this future, which ends all connections.
    let (_serving, ended) = stop_pair();
    loop {
        let stream = accept_connection(&listener).await;
        if Rc::strong_count(&connection_count) > MAX_CONNECTIONS {
            // Dropping the stream makes the peer try another process. Calls in progress continue.
            continue;
        }
        let handler = RpcHandler {
            cluster: Arc::clone(&cluster),
            has_hello: Arc::default(),
            inbound: inbound.clone(),
            call_budget: call_budget.clone(),
            message_budget: message_budget.clone(),
        };
        let (guard, ended) = (Rc::clone(&connection_count), ended.clone());
        compio::runtime::spawn(async move {
            ended.or(serve_connection(stream, handler)).await;
            drop(guard);
        })
        .detach();
    }
}

async fn serve_connection(stream: TcpStream, handler: RpcHandler) {
    // The connection also works without the option, with a higher latency.
    let _ = stream.set_nodelay(true);
    let last_received = Rc::new(Cell::new(Instant::now()));
    let transport = ClosableTransport::new(stream, TransferWatch::default())
        .with_last_received(Rc::clone(&last_received));
    let serving = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .execute(handler.serve())
        .for_each(|request| async {
            compio::runtime::spawn(request).detach();
        });
    let (serving, idle) = (pin!(serving), pin!(wait_until_idle(last_received)));
    // Closes the connection if the peer has disappeared without closing it.
    select(serving, idle).await;
}

/// Waits until a connection has received nothing for [`IDLE_TIMEOUT`]. The peer of a working
/// connection pings more often than that.
async fn wait_until_idle(last_received: Rc<Cell<Instant>>) {
    loop {
        let due = last_received.get() + IDLE_TIMEOUT;
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        compio::time::sleep(remaining).await;
    }
}
