//! A proxy whose open connections can be stalled permanently while new connections work, and whose
//! bandwidth can be limited.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use compio::{
    BufResult,
    io::{
        AsyncRead,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

const BUFFER_BYTES: usize = 16_384;

/// One direction of the link that all connections share.
#[derive(Debug, Default)]
struct LinkDirection {
    /// The bandwidth, in bytes a second, if it is limited.
    bandwidth: Cell<Option<u32>>,
    /// When the link is free again.
    free_at: Cell<Option<Instant>>,
}

impl LinkDirection {
    /// Waits for the time that the link takes to transfer some bytes.
    async fn transfer(&self, bytes: usize) {
        let Some(bandwidth) = self.bandwidth.get() else {
            return;
        };
        let now = Instant::now();
        let start = self.free_at.get().map_or(now, |at| at.max(now));
        let end = start + Duration::from_secs(bytes as u64) / bandwidth;
        self.free_at.set(Some(end));
        compio::time::sleep(end - now).await;
    }
}

/// Forwards connections to one target.
pub(crate) struct StallingProxy {
    pub(crate) address: SocketAddr,
    /// The number of the last stalled connection. It and all earlier ones stay open but forward
    /// nothing.
    stalled: Rc<Cell<u64>>,
    /// The number of connections that were opened.
    opened: Rc<Cell<u64>>,
    /// The link to the target.
    inbound: Rc<LinkDirection>,
}

impl StallingProxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            stalled: Rc::default(),
            opened: Rc::default(),
            inbound: Rc::default(),
        };
        let (stalled, opened) = (proxy.stalled.clone(), proxy.opened.clone());
        let (inbound, outbound) = (proxy.inbound.clone(), Rc::default());
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                opened.set(opened.get() + 1);
                let number = opened.get();
                let directions = [
                    (near.clone(), far.clone(), Rc::clone(&inbound)),
                    (far, near, Rc::clone(&outbound)),
                ];
                for (from, to, direction) in directions {
                    let forwarding = forward((from, to), direction, number, stalled.clone());
                    compio::runtime::spawn(forwarding).detach();
                }
            }
        })
        .detach();
        proxy
    }

    /// Stalls all connections that are open now.
    pub(crate) fn stall(&self) {
        self.stalled.set(self.opened.get());
    }

    /// Limits the bandwidth towards the target, which all connections share, in bytes a second.
    pub(crate) fn limit_bandwidth(&self, bandwidth: u32) {
        self.inbound.bandwidth.set(Some(bandwidth));
    }

    /// Returns the number of connections that were opened.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// Forwards one direction of a connection until it closes or is stalled.
async fn forward(
    (mut from, mut to): (TcpStream, TcpStream),
    direction: Rc<LinkDirection>,
    number: u64,
    stalled: Rc<Cell<u64>>,
) {
    loop {
        let buffer = Vec::with_capacity(BUFFER_BYTES);
        let BufResult(read, bytes) = from.read(buffer).await;
        direction.transfer(bytes.len()).await;
        if number <= stalled.get() {
            // The bytes are lost without an error on either side.
            std::future::pending::<()>().await;
        }
        if read.is_err() || bytes.is_empty() || to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
