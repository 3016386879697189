//! The errors of the commands and their exit codes.

use std::io;

use roseridge_entry::EntryError;
use roseridge_settings::SettingsError;
use roseridge_site::InstallationError;
use snafu::Snafu;

/// The reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The settings are invalid.
    #[snafu(transparent)]
    InvalidSettings {
        /// The settings error.
        source: SettingsError,
    },
    /// A system call failed.
    #[snafu(display("{operation}: {source}"))]
    SystemFailed {
        /// The operation that failed.
        operation: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The entry instance failed.
    #[snafu(transparent)]
    EntryFailed {
        /// The error of the entry.
        source: EntryError,
    },
    /// A process of an installation failed.
    #[snafu(transparent)]
    ProcessFailed {
        /// The error of the process.
        source: InstallationError,
    },
    /// An argument is invalid.
    #[snafu(display("{message}"))]
    InvalidArgument {
        /// The problem and how to correct it.
        message: String,
    },
    /// A file is missing, unreadable or invalid.
    #[snafu(display("{path}: {message}"))]
    InvalidFile {
        /// The path of the file.
        path: String,
        /// The problem.
        message: String,
    },
    /// No entry or leader replied, and the request had no effect.
    #[snafu(display(
        "no entry replied: {message}\n  \
        nothing was done; check the addresses and that the entries are running"
    ))]
    NoReply {
        /// The last error.
        message: String,
    },
    /// No entry replied, and one of them may have applied the request.
    #[snafu(display(
        "it is unknown whether the request took effect: {message}\n  \
        run the same command again with the same key or request id"
    ))]
    OutcomeUnknown {
        /// The last error.
        message: String,
    },
    /// The body of a reply does not match the interface.
    #[snafu(display(
        "the reply of the entry could not be parsed: {source}\n  \
        check that it runs the same version"
    ))]
    InvalidReply {
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The demo could not run, or its results were wrong.
    #[snafu(display("the demo failed: {message}"))]
    DemoFailed {
        /// The problem.
        message: String,
    },
}

/// The exit codes, as documented in docs/interface.md.
pub(crate) mod exit_code {
    /// The entry refused the request, or the job failed.
    pub(crate) const REFUSED: u8 = 1;
    /// An argument is invalid.
    pub(crate) const INVALID_ARGUMENT: u8 = 64;
    /// A file is missing, unreadable or invalid.
    pub(crate) const INVALID_FILE: u8 = 65;
    /// No entry replied or none found the leader, and the request had no effect.
    pub(crate) const UNAVAILABLE: u8 = 69;
    /// A system call, a process or the demo failed, or a reply could not be parsed.
    pub(crate) const SYSTEM_FAILED: u8 = 70;
    /// It is unknown whether the request took effect.
    pub(crate) const OUTCOME_UNKNOWN: u8 = 75;
    /// The settings are invalid.
    pub(crate) const INVALID_SETTINGS: u8 = 78;
}

impl CliError {
    /// Returns the exit code of the program for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidSettings { .. }
            | Self::ProcessFailed {
                source: InstallationError::BadSettings { .. },
            } => exit_code::INVALID_SETTINGS,
            Self::InvalidArgument { .. } => exit_code::INVALID_ARGUMENT,
            Self::InvalidFile { .. } => exit_code::INVALID_FILE,
            Self::NoReply { .. } => exit_code::UNAVAILABLE,
            Self::OutcomeUnknown { .. } => exit_code::OUTCOME_UNKNOWN,
            Self::SystemFailed { .. }
            | Self::EntryFailed { .. }
            | Self::ProcessFailed { .. }
            | Self::InvalidReply { .. }
            | Self::DemoFailed { .. } => exit_code::SYSTEM_FAILED,
        }
    }
}
