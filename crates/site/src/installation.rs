//! The life of a process of an installation, from its settings file to its last log line.

use std::{
    io,
    path::Path,
    time::Duration, //
};

use roseridge_logs::start_logs;
use roseridge_settings::{
    SettingsError,
    read_installation_settings, //
};
use roseridge_shutdown::ProcessSignals;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    ProcessError,
    SiteAdapter,
    SiteSignals,
    run_process, //
};

/// How long the last log lines may take to be written.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// Why a process of an installation ended.
#[derive(Debug, Snafu)]
pub enum InstallationError {
    /// Its settings can't be used.
    #[snafu(transparent)]
    BadSettings {
        /// The cause.
        source: SettingsError,
    },
    /// Its logs can't be started.
    #[snafu(display("starting the logs: {source}"))]
    LoggingFailed {
        /// The cause.
        source: io::Error,
    },
    /// It has no event loop.
    #[snafu(display("starting the event loop: {source}"))]
    NoEventLoop {
        /// The cause.
        source: io::Error,
    },
    /// A part can't run.
    #[snafu(transparent)]
    ComponentFailed {
        /// The cause.
        source: ProcessError,
    },
}

/// Runs the process that a settings file describes until the stop.
///
/// # Errors
///
/// Returns an [`InstallationError`] when the process can't be started or fails for good.
pub fn serve_installation(
    path: &Path,
    adapter: SiteAdapter,
    signals: ProcessSignals,
) -> Result<(), InstallationError> {
    let settings = read_installation_settings(path)?;
    let lines = start_logs(settings.installation.logs).context(LoggingFailedSnafu)?;
    let signals = SiteSignals {
        stop: signals.stop,
        reload: signals.reload,
        settings: path.to_owned(),
    };
    let running = run_process(settings, adapter, signals);
    let ended = roseridge_wire::block_on(running).context(NoEventLoopSnafu);
    lines.drain(DRAIN_LIMIT);
    Ok(ended??)
}
