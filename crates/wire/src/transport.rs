//! A framed transport that tolerates being polled while it closes.

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

use futures::{
    Sink,
    Stream, //
};

/// A transport that continues to close if it is flushed or polled for readiness after the close
/// began.
///
/// tarpc's dispatch polls a transport for readiness between two polls of its close. compio's
/// `Framed` panics on that.
#[derive(Debug)]
pub(crate) struct ClosableTransport<T> {
    inner: T,
    closing: bool,
    /// The time of the last frame, if it is to be recorded.
    last_received: Option<Rc<Cell<Instant>>>,
}

impl<T> ClosableTransport<T> {
    pub(crate) fn new(inner: T) -> Self {
        Self {
            inner,
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

impl<T: Stream + Unpin> Stream for ClosableTransport<T> {
    type Item = T::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = Pin::new(&mut self.inner).poll_next(cx);
        if let Some(last_received) = self.last_received.as_ref().filter(|_| frame.is_ready()) {
            last_received.set(Instant::now());
        }
        frame
    }
}

impl<I, T: Sink<I, Error = io::Error> + Unpin> Sink<I> for ClosableTransport<T> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.closing {
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.inner).poll_ready(cx),
        }
    }

    fn start_send(mut self: Pin<&mut Self>, item: I) -> io::Result<()> {
        match self.closing {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => Pin::new(&mut self.inner).start_send(item),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.closing {
            true => Pin::new(&mut self.inner).poll_close(cx),
            false => Pin::new(&mut self.inner).poll_flush(cx),
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.closing = true;
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
