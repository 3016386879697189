//! Runs one component of the system on its own thread.

use std::{
    future::Future,
    thread::{
        Builder,
        JoinHandle, //
    },
};

use roseridge_shutdown::{
    StopHandle,
    StopSignal,
    stop_pair, //
};

/// A component that runs on its own thread, with its own event loop.
///
/// A component can be stopped gracefully or killed. A kill drops its future at whatever point it
/// has reached, together with the event loop, which closes its sockets. Dropping this value kills
/// the component.
#[derive(Debug)]
pub struct ComponentThread {
    stop: StopHandle,
    kill: StopHandle,
    thread: Option<JoinHandle<()>>,
}

impl ComponentThread {
    /// Starts a component; `make` creates its future on the new thread.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be started.
    pub fn start<M, F>(name: &str, make: M) -> Self
    where
        M: FnOnce(StopSignal) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let (stop, stop_signal) = stop_pair();
        let (kill, kill_signal) = stop_pair();
        let run = move || {
            let running = async move {
                let component = make(stop_signal);
                // The result is `None` if the component was killed.
                let _ = kill_signal.or(component).await;
            };
            roseridge_wire::block_on(running).expect("an event loop can be created");
        };
        let thread = Builder::new().name(name.to_owned()).spawn(run);
        Self {
            stop,
            kill,
            thread: Some(thread.expect("the component's thread can be started")),
        }
    }

    /// Returns whether the component is still running.
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }

    /// Requests a graceful stop and returns immediately.
    pub fn request_stop(&self) {
        self.stop.stop();
    }

    /// Stops the component gracefully and waits until it has ended.
    ///
    /// # Panics
    ///
    /// Panics if the component panicked.
    pub fn stop(&mut self) {
        self.stop.stop();
        self.join();
    }

    /// Kills the component and waits until its thread has ended.
    ///
    /// # Panics
    ///
    /// Panics if the component panicked.
    pub fn kill(&mut self) {
        self.kill.stop();
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the component did not panic");
        }
    }
}

impl Drop for ComponentThread {
    fn drop(&mut self) {
        self.kill.stop();
        if let Some(thread) = self.thread.take() {
            // The message of a panicked component has been printed already.
            let _ = thread.join();
        }
    }
}
