//! A forwarder whose open connections can go silent for good while new ones work.

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

pub(crate) struct StallingProxy {
    pub(crate) address: SocketAddr,
    /// Connections with a lower number carry nothing any more, and stay open.
    stalled: Rc<Cell<u64>>,
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

    /// Silences every connection that is open now.
    pub(crate) fn stall(&self) {
        self.stalled.set(self.opened.get());
    }

    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, stalled: Rc<Cell<u64>>) {
    loop {
        let buffer = Vec::with_capacity(BUFFER_BYTES);
        let BufResult(read, bytes) = from.read(buffer).await;
        if number <= stalled.get() {
            // The bytes are lost, and neither end hears of it.
            std::future::pending::<()>().await;
        }
        if read.is_err() || bytes.is_empty() || to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
