//! A proxy whose open connections can be stalled permanently while new connections work.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc, //
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

const BUFFER_BYTES: usize = 65_536;

/// Forwards connections to one target.
pub(crate) struct StallingProxy {
    pub(crate) address: SocketAddr,
    /// The number of the last stalled connection. It and all earlier ones stay open but forward
    /// nothing.
    stalled: Rc<Cell<u64>>,
    /// The number of connections that were opened.
    opened: Rc<Cell<u64>>,
}

impl StallingProxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            stalled: Rc::default(),
            opened: Rc::default(),
        };
        let (stalled, opened) = (proxy.stalled.clone(), proxy.opened.clone());
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                opened.set(opened.get() + 1);
                let number = opened.get();
                for (from, to) in [(near.clone(), far.clone()), (far, near)] {
                    compio::runtime::spawn(forward(from, to, number, stalled.clone())).detach();
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

    /// Returns the number of connections that were opened.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// Forwards one direction of a connection until it closes or is stalled.
async fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, stalled: Rc<Cell<u64>>) {
    loop {
        let buffer = Vec::with_capacity(BUFFER_BYTES);
        let BufResult(read, bytes) = from.read(buffer).await;
        if number <= stalled.get() {
            // The bytes are lost without an error on either side.
            std::future::pending::<()>().await;
        }
        if read.is_err() || bytes.is_empty() || to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
