//! Stops and reloads that are asked for by signals.

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

/// The exit code after a second signal, which cuts what is in progress.
pub const FORCED_EXIT_CODE: i32 = 70;

/// What signals ask of a process.
#[derive(Debug, Clone)]
pub struct ProcessSignals {
    /// The stop, at the first SIGTERM or SIGINT; a second one ends the process.
    pub stop: StopSignal,
    /// A reload of the settings, at each SIGHUP; those that come before it was taken count once.
    pub reload: Receiver<()>,
}

/// Returns a signal that stops at the first SIGTERM or SIGINT; a second one ends the process.
///
/// # Errors
///
/// Returns an error when the process can't register for signals.
pub fn stop_on_signals() -> io::Result<StopSignal> {
    watch_signals().map(|signals| signals.stop)
}

/// Watches the signals of the process.
///
/// # Errors
///
/// Returns an error when the process can't register for signals.
pub fn watch_signals() -> io::Result<ProcessSignals> {
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (handle, stop) = stop_pair();
    let (reloads, reload) = async_channel::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || pass_on(signals, &handle, &reloads))?;
    Ok(ProcessSignals { stop, reload })
}

fn pass_on(mut signals: Signals, handle: &StopHandle, reloads: &Sender<()>) {
    let mut is_stopping = false;
    for signal in signals.forever() {
        match signal {
            SIGHUP => {
                // A reload that was not taken yet covers this one too.
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
