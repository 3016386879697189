//! A framed transport over a TCP connection that tolerates being polled while it closes.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Instant,
};

use compio::{
    io::framed::{
        Framed,
        frame::LengthDelimited, //
    },
    net::TcpStream,
};
use futures::{
    Sink,
    Stream,
    stream::LocalBoxStream, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::frame::{
    PostcardCodec,
    TransferWatch,
    read_frames, //
};

/// The frames that a connection sends.
type FrameSink<Sent> = Framed<(), TcpStream, PostcardCodec, LengthDelimited, Sent, ()>;

/// A transport that continues to close if it is flushed or polled for readiness after the close
/// began.
///
/// tarpc's dispatch polls a transport for readiness between two polls of its close. compio's
/// `Framed` panics on that.
pub(crate) struct ClosableTransport<Sent, Received> {
    sink: FrameSink<Sent>,
    received: LocalBoxStream<'static, io::Result<Received>>,
    closing: bool,
    /// The time of the last frame, if it is to be recorded.
    last_received: Option<Rc<Cell<Instant>>>,
}

impl<Sent, Received: DeserializeOwned + 'static> ClosableTransport<Sent, Received> {
    /// Creates the transport of a connection.
    pub(crate) fn new(stream: TcpStream, transfers: TransferWatch) -> Self {
        let codec = PostcardCodec::new(transfers.clone());
        let sink = Framed::new::<Sent, ()>(codec, LengthDelimited::default());
        Self {
            sink: sink.with_writer(stream.clone()).with_reader(()),
            received: read_frames(stream, transfers),
            closing: false,
            last_received: None,
        }
    }

    /// Records the arrival time of each frame in the cell.
    pub(crate) fn with_last_received(self, last_received: Rc<Cell<Instant>>) -> Self {
        Self {
            last_received: Some(last_received),
            ..self
        }
    }
}

impl<Sent: Unpin, Received> Stream for ClosableTransport<Sent, Received> {
    type Item = io::Result<Received>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = self.received.as_mut().poll_next(cx);
        if let Some(last_received) = self.last_received.as_ref().filter(|_| frame.is_ready()) {
            last_received.set(Instant::now());
        }
        frame
    }
}

impl<Sent: Serialize + Unpin, Received> Sink<Sent> for ClosableTransport<Sent, Received> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.closing {
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.sink).poll_ready(cx),
        }
    }

    fn start_send(mut self: Pin<&mut Self>, item: Sent) -> io::Result<()> {
        match self.closing {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => Pin::new(&mut self.sink).start_send(item),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.closing {
            true => Pin::new(&mut self.sink).poll_close(cx),
            false => Pin::new(&mut self.sink).poll_flush(cx),
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.closing = true;
        Pin::new(&mut self.sink).poll_close(cx)
    }
}
