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

use compio::{
    io::framed::Framed,
    net::{
        TcpListener,
        TcpStream, //
    },
};
use futures::{
    StreamExt,
    channel::oneshot,
    future::select, //
};
use log::warn;
use roseridge_net::accept_connection;
use roseridge_quorum::{
    MemberId,
    PeerMessage,
    ReplicaId, //
};
use roseridge_shutdown::stop_pair;
use tarpc::{
    ClientMessage,
    Response, //
    context::Context,
    server::{
        BaseChannel,
        Channel, //
    },
};

use crate::{
    AgentOrders,
    AgentReport,
    CallError,
    ControlCall,
    ControlReply,
    InternalRpc,
    LinkHello,
    LinkRefusal,
    PROTOCOL_VERSION, //
    frame::{
        BoundedFramer,
        PostcardCodec, //
    },
    rpc::{
        InternalRpcRequest,
        InternalRpcResponse, //
    },
    transport::ClosableTransport,
};

/// Connections that may be open at once; more are closed as they come.
const MAX_CONNECTIONS: usize = 1_024;
/// Calls of one connection that may be open at once.
const MAX_CALLS_PER_CONNECTION: usize = 2_048;
/// The time without a frame after which a connection is closed.
const SILENT_AFTER: Duration = Duration::from_secs(30);

/// A call that arrived, for the task that owns the state; dropping the reply means not serving.
#[derive(Debug)]
pub enum InboundCall {
    /// Messages of another replica.
    Deliver {
        /// The sender.
        from: MemberId,
        /// The messages.
        messages: Vec<PeerMessage>,
    },
    /// A call to the control group.
    Control {
        /// The call.
        call: ControlCall,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<ControlReply, CallError>>,
    },
    /// The process itself names other replicas to ask for a place in the group.
    JoinGroup {
        /// The replicas and their addresses.
        seeds: BTreeMap<ReplicaId, SocketAddr>,
    },
    /// A report of an agent.
    Exchange {
        /// The report.
        report: AgentReport,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<AgentOrders, CallError>>,
    },
}

/// Where inbound calls go; a process that hosts no replica leaves `control` empty.
#[derive(Debug, Clone)]
pub struct InboundSender {
    /// The task of the control replica.
    pub control: Option<async_channel::Sender<InboundCall>>,
    /// The task of the relay.
    pub relay: Option<async_channel::Sender<InboundCall>>,
}

#[derive(Debug, Clone)]
struct RpcHandler {
    cluster: Arc<str>,
    greeted: Arc<AtomicBool>,
    inbound: InboundSender,
}

impl RpcHandler {
    fn check_greeted(&self) -> Result<(), CallError> {
        match self.greeted.load(Ordering::Relaxed) {
            true => Ok(()),
            false => Err(CallError::NotServing),
        }
    }
}

/// Forwards a call to its owner without waiting for room, so that queues stay bounded.
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

impl InternalRpc for RpcHandler {
    async fn hello(self, _: Context, hello: LinkHello) -> Result<(), LinkRefusal> {
        let refusal = match hello {
            LinkHello { cluster, .. } if *cluster != *self.cluster => LinkRefusal::ClusterMismatch,
            LinkHello { version, .. } if version != PROTOCOL_VERSION => {
                LinkRefusal::VersionMismatch { version }
            }
            _ => {
                self.greeted.store(true, Ordering::Relaxed);
                return Ok(());
            }
        };
        warn!("{}", roseridge_events::LINK_REFUSED.line(&refusal));
        Err(refusal)
    }

    async fn ping(self, _: Context) -> Result<(), LinkRefusal> {
        self.check_greeted().map_err(|_| LinkRefusal::MissingHello)
    }

    async fn deliver(
        self,
        _: Context,
        from: MemberId,
        messages: Vec<PeerMessage>,
    ) -> Result<(), CallError> {
        self.check_greeted()?;
        let call = InboundCall::Deliver { from, messages };
        forward(self.inbound.control.as_ref(), call)
    }

    async fn control(self, _: Context, call: ControlCall) -> Result<ControlReply, CallError> {
        self.check_greeted()?;
        let (reply, answer) = oneshot::channel();
        let call = InboundCall::Control { call, reply };
        forward(self.inbound.control.as_ref(), call)?;
        answer.await.unwrap_or(Err(CallError::OutcomeUnknown))
    }

    async fn exchange(self, _: Context, report: AgentReport) -> Result<AgentOrders, CallError> {
        self.check_greeted()?;
        let (reply, answer) = oneshot::channel();
        let call = InboundCall::Exchange { report, reply };
        forward(self.inbound.relay.as_ref(), call)?;
        answer.await.unwrap_or(Err(CallError::NotServing))
    }
}

/// Serves internal connections until the task is dropped, which closes them too.
pub async fn serve_listener(listener: TcpListener, cluster: String, inbound: InboundSender) {
    let cluster: Arc<str> = cluster.into();
    let open = Rc::new(());
    // Dropped with the task.
    let (_serving, ended) = stop_pair();
    loop {
        let stream = accept_connection(&listener).await;
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            // The peer tries another process; the calls in progress here go on.
            continue;
        }
        let handler = RpcHandler {
            cluster: Arc::clone(&cluster),
            greeted: Arc::default(),
            inbound: inbound.clone(),
        };
        let (guard, ended) = (Rc::clone(&open), ended.clone());
        compio::runtime::spawn(async move {
            ended.or(serve_connection(stream, handler)).await;
            drop(guard);
        })
        .detach();
    }
}

async fn serve_connection(stream: TcpStream, handler: RpcHandler) {
    // A connection without the option still works, only slower.
    let _ = stream.set_nodelay(true);
    let transport =
        Framed::new::<Response<InternalRpcResponse>, ClientMessage<InternalRpcRequest>>(
            PostcardCodec,
            BoundedFramer::default(),
        )
        .with_duplex(stream);
    let heard = Rc::new(Cell::new(Instant::now()));
    let transport = ClosableTransport::new(transport).noting(Rc::clone(&heard));
    let serving = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .execute(handler.serve())
        .for_each(|request| async {
            compio::runtime::spawn(request).detach();
        });
    let (serving, silent) = (pin!(serving), pin!(until_silent(heard)));
    // A connection whose peer has gone away without a word is closed.
    select(serving, silent).await;
}

/// Waits until nothing was heard on a connection for [`SILENT_AFTER`]; its peer pings more often.
async fn until_silent(heard: Rc<Cell<Instant>>) {
    loop {
        let due = heard.get() + SILENT_AFTER;
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        compio::time::sleep(left).await;
    }
}
