//! A fake process that replies to control calls as scripted, and a proxy that can stall
//! connections.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
};

use compio::{
    io::{
        AsyncRead,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};
use futures::channel::oneshot;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlReply,
    InboundCall,
    InboundSender,
    serve_listener, //
};

/// The cluster name of the links under test.
pub(crate) const CLUSTER: &str = "test";

/// The reply to a call; `None` leaves the call pending for ever.
pub(crate) type ScriptedReply = Option<Result<ControlReply, CallError>>;

type PendingReply = oneshot::Sender<Result<ControlReply, CallError>>;

/// A fake process whose replies to control calls come from a closure.
pub(crate) struct FakeControl {
    pub(crate) address: SocketAddr,
    /// The number of calls received.
    pub(crate) calls: Rc<Cell<u32>>,
    pending: Rc<RefCell<Vec<PendingReply>>>,
}

/// Binds a listener to a free port and returns it with its address.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

impl FakeControl {
    /// Starts the process. The closure receives the number of the call, from 1, and the call.
    pub(crate) async fn start(
        script: impl Fn(u32, ControlCall) -> ScriptedReply + 'static,
    ) -> Self {
        let (listener, address) = listen().await;
        let (control, inbox) = async_channel::bounded(64);
        let inbound = InboundSender {
            control: Some(control),
            relay: None,
        };
        let serving = serve_listener(listener, CLUSTER.to_owned(), inbound);
        compio::runtime::spawn(serving).detach();
        let calls = Rc::new(Cell::new(0));
        let pending = Rc::new(RefCell::new(Vec::new()));
        let (call_count, pending_replies) = (Rc::clone(&calls), Rc::clone(&pending));
        compio::runtime::spawn(async move {
            while let Ok(call) = inbox.recv().await {
                let InboundCall::Control { call, reply, .. } = call else {
                    continue;
                };
                call_count.set(call_count.get() + 1);
                match script(call_count.get(), call) {
                    Some(result) => {
                        let _ = reply.send(result);
                    }
                    None => pending_replies.borrow_mut().push(reply),
                }
            }
        })
        .detach();
        Self {
            address,
            calls,
            pending,
        }
    }

    /// Replies to all pending calls.
    pub(crate) fn answer_pending(&self, reply: &Result<ControlReply, CallError>) {
        for pending in self.pending.take() {
            let _ = pending.send(reply.clone());
        }
    }

    /// Returns the number of calls without a reply.
    pub(crate) fn pending(&self) -> usize {
        self.pending.borrow().len()
    }
}

/// A TCP proxy that can stall its open connections while new ones work.
pub(crate) struct StallingProxy {
    pub(crate) address: SocketAddr,
    /// The highest number of a stalled connection.
    stalled: Rc<Cell<u32>>,
}

impl StallingProxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let stalled = Rc::new(Cell::new(0));
        let newest_stalled = Rc::clone(&stalled);
        compio::runtime::spawn(async move {
            let mut number = 0;
            while let Ok((inbound, _)) = listener.accept().await {
                number += 1;
                let outbound = TcpStream::connect(target).await.expect("a connection");
                for (from, into) in [(inbound.clone(), outbound.clone()), (outbound, inbound)] {
                    let copying = copy_stream(from, into, number, Rc::clone(&newest_stalled));
                    compio::runtime::spawn(copying).detach();
                }
            }
        })
        .detach();
        Self { address, stalled }
    }

    /// Stalls the connections up to a number, counted from 1. They stay open and transfer no data.
    pub(crate) fn stall(&self, number: u32) {
        self.stalled.set(number);
    }
}

/// Copies one direction of a connection, and discards the data while the connection is stalled.
async fn copy_stream(
    mut from: TcpStream,
    mut into: TcpStream,
    number: u32,
    stalled: Rc<Cell<u32>>,
) {
    let mut buffer = Vec::with_capacity(16_384);
    loop {
        buffer.clear();
        let read = from.read(buffer).await;
        buffer = read.1;
        match read.0 {
            Ok(0) | Err(_) if stalled.get() < number => return,
            // The end of a stalled connection isn't forwarded either.
            Ok(0) | Err(_) => return std::future::pending().await,
            Ok(_) if stalled.get() >= number => continue,
            Ok(_) => {}
        }
        let written = into.write_all(buffer).await;
        buffer = written.1;
        if written.0.is_err() {
            return;
        }
    }
}
