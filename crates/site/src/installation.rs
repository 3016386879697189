//! Runs a process of an installation, from reading its settings file to writing its last log line.

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

/// The maximum time for writing the last log lines.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason for which a process of an installation failed.
#[derive(Debug, Snafu)]
pub enum InstallationError {
    /// The settings can't be read or are invalid.
    #[snafu(transparent)]
    BadSettings {
        /// The cause.
        source: SettingsError,
    },
    /// The logger can't be started.
    #[snafu(display("starting the logs: {source}"))]
    LoggingFailed {
        /// The cause.
        source: io::Error,
    },
    /// The event loop can't be started.
    #[snafu(display("starting the event loop: {source}"))]
    NoEventLoop {
        /// The cause.
        source: io::Error,
    },
    /// A component can't be started.
    #[snafu(transparent)]
    ComponentFailed {
        /// The cause.
        source: ProcessError,
    },
}

/// Runs the process that the settings file at `path` describes, until the stop signal.
///
/// # Errors
///
/// Returns an [`InstallationError`] if the settings are unusable, or if the logger, the event loop
/// or a component can't be started.
pub fn serve_installation(
    path: &Path,
    adapter: SiteAdapter,
    signals: ProcessSignals,
) -> Result<(), InstallationError> {
    let settings = read_installation_settings(path)?;
    let log_queue = start_logs(settings.installation.logs).context(LoggingFailedSnafu)?;
    let signals = SiteSignals {
        stop: signals.stop,
        reload: signals.reload,
        settings: path.to_owned(),
    };
    let running = run_process(settings, adapter, signals);
    let result = roseridge_wire::block_on(running).context(NoEventLoopSnafu);
    log_queue.drain(LOG_DRAIN_TIMEOUT);
    Ok(result??)
}
