//! Stop signals for graceful shutdown.
//!
//! A [`StopHandle`] is kept by whoever may ask for a stop; each task holds a [`StopSignal`].

mod signals;

pub use signals::FORCED_EXIT_CODE;
pub use signals::ProcessSignals;
pub use signals::stop_on_signals;
pub use signals::watch_signals;

use std::{
    future::Future,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures::future::{
    Either,
    select, //
};

/// Asks every holder of the matching signal to stop.
#[derive(Debug, Clone)]
pub struct StopHandle(Sender<()>);

/// Tells a task that it is to stop.
#[derive(Debug, Clone)]
pub struct StopSignal(Receiver<()>);

/// Makes a handle and its signal.
pub fn stop_pair() -> (StopHandle, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopHandle(sender), StopSignal(receiver))
}

impl StopHandle {
    /// Asks for the stop; later calls change nothing.
    pub fn stop(&self) {
        self.0.close();
    }
}

impl StopSignal {
    /// Returns whether the stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the stop is asked for.
    pub async fn wait(&self) {
        // Nothing is ever sent: the channel only closes.
        let _ = self.0.recv().await;
    }

    /// Runs a future to its end, or returns nothing when the stop comes first.
    pub async fn or<F: Future>(&self, future: F) -> Option<F::Output> {
        let stop = std::pin::pin!(self.wait());
        let future = std::pin::pin!(future);
        match select(stop, future).await {
            Either::Left(_) => None,
            Either::Right((output, _)) => Some(output),
        }
    }

    /// Sleeps for a time; returns whether the stop was asked for.
    pub async fn sleep(&self, span: Duration) -> bool {
        self.or(compio::time::sleep(span)).await.is_none()
    }
}
