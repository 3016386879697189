//! Stops and reloads that are requested by process signals.

use std::{
    io,
    process,
    thread, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use signal_hook::{
    consts::{
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

use crate::{
    StopHandle,
    StopSignal,
    stop_pair, //
};

/// The exit code after a second SIGTERM or SIGINT, which aborts the work in progress.
pub const FORCED_EXIT_CODE: i32 = 70;

/// The requests that signals make of a process.
#[derive(Debug, Clone)]
pub struct ProcessSignals {
    /// The stop, which the first SIGTERM or SIGINT requests. A second one exits the process.
    pub stop: StopSignal,
    /// Reloads of the settings, which SIGHUP requests. Several signals before the message is
    /// received count as one.
    pub reload: Receiver<()>,
}

/// Returns a stop signal for the first SIGTERM or SIGINT. A second one exits the process with
/// [`FORCED_EXIT_CODE`].
///
/// # Errors
///
/// Returns an error if the process can't register signal handlers or start a thread.
pub fn stop_on_signals() -> io::Result<StopSignal> {
    watch_signals().map(|signals| signals.stop)
}

/// Starts a thread that handles the signals of the process.
///
/// # Errors
///
/// Returns an error if the process can't register signal handlers or start a thread.
pub fn watch_signals() -> io::Result<ProcessSignals> {
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (handle, stop) = stop_pair();
    let (reloads, reload) = async_channel::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || handle_signals(signals, &handle, &reloads))?;
    Ok(ProcessSignals { stop, reload })
}

/// Turns signals into stop and reload requests. A second stop signal exits the process.
fn handle_signals(mut signals: Signals, handle: &StopHandle, reloads: &Sender<()>) {
    let mut is_stopping = false;
    for signal in signals.forever() {
        match signal {
            SIGHUP => {
                // If the channel is full, the pending reload also covers this signal.
                let _ = reloads.try_send(());
            }
            _ if is_stopping => process::exit(FORCED_EXIT_CODE),
            _ => {
                is_stopping = true;
                handle.stop();
            }
        }
    }
}
