//! The timer thread for tarpc's deadlines.

use std::{
    io,
    sync::OnceLock, //
};

use tokio::runtime::{
    Builder,
    EnterGuard,
    Runtime, //
};

/// The runtime that drives the timers, shared by all threads of the process.
static TIMERS: OnceLock<Runtime> = OnceLock::new();

/// Enters the runtime that drives tarpc's timers. Each thread that runs links must hold the guard.
///
/// This is the only use of tokio: tarpc keeps deadlines in a tokio `DelayQueue`.
///
/// # Panics
///
/// Panics if the process can't start a thread.
pub fn enter_timers() -> EnterGuard<'static> {
    let timers = TIMERS.get_or_init(|| {
        Builder::new_multi_thread()
            .worker_threads(1)
            .enable_time()
            .build()
            .expect("the process can start a timer thread")
    });
    timers.enter()
}

/// Runs a future to completion on this thread, with the timers that links need.
///
/// # Errors
///
/// Returns an error if the process can't create an event loop.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let _guard = enter_timers();
    let runtime = compio::runtime::Runtime::new()?;
    Ok(runtime.block_on(future))
}
