//! Stop signals for graceful shutdown.
//!
//! The owner of a [`StopHandle`] requests the stop; each task waits for it on a [`StopSignal`].

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

/// Requests a stop from every task with a matching [`StopSignal`]. Dropping all clones of the
/// handle does so too.
#[derive(Debug, Clone)]
pub struct StopHandle(Sender<()>);

/// Notifies a task that it has to stop.
#[derive(Debug, Clone)]
pub struct StopSignal(Receiver<()>);

/// Creates a handle and its signal.
pub fn stop_pair() -> (StopHandle, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopHandle(sender), StopSignal(receiver))
}

impl StopHandle {
    /// Requests the stop. Repeated calls have no further effect.
    pub fn stop(&self) {
        self.0.close();
    }
}

impl StopSignal {
    /// Returns whether the stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the stop is requested.
    pub async fn wait(&self) {
        // No message is ever sent; the channel is closed to request the stop.
        let _ = self.0.recv().await;
    }

    /// Runs a future to completion, or returns `None` if the stop is requested first.
    pub async fn or<F: Future>(&self, future: F) -> Option<F::Output> {
        let stop = std::pin::pin!(self.wait());
        let future = std::pin::pin!(future);
        match select(stop, future).await {
            Either::Left(_) => None,
            Either::Right((output, _)) => Some(output),
        }
    }

    /// Sleeps for a time or until the stop is requested. Returns whether the stop was requested.
    pub async fn sleep(&self, duration: Duration) -> bool {
        self.or(compio::time::sleep(duration)).await.is_none()
    }
}
