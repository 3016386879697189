//! Errors of the program, with their exit codes.

use std::io;

use roseridge_entry::EntryError;
use roseridge_settings::SettingsError;
use roseridge_site::InstallationError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The settings can't be used.
    #[snafu(transparent)]
    BadSettings {
        /// The cause.
        source: SettingsError,
    },
    /// An operation of the system failed.
    #[snafu(display("{what}: {source}"))]
    SystemFailed {
        /// What was tried.
        what: String,
        /// The cause.
        source: io::Error,
    },
    /// The entry instance failed.
    #[snafu(transparent)]
    EntryFailed {
        /// The cause.
        source: EntryError,
    },
    /// A process of an installation failed.
    #[snafu(transparent)]
    ProcessFailed {
        /// The cause.
        source: InstallationError,
    },
    /// An argument is wrong.
    #[snafu(display("{message}"))]
    BadArgument {
        /// What is wrong and what would be right.
        message: String,
    },
    /// A file that was given is wrong.
    #[snafu(display("{path}: {message}"))]
    BadFile {
        /// The file.
        path: String,
        /// What is wrong and what would be right.
        message: String,
    },
    /// No entry answered; nothing was done.
    #[snafu(display(
        "no entry answered: {message}\n  \
        nothing was done; see that the addresses are right and the entries run"
    ))]
    NoAnswer {
        /// What happened last.
        message: String,
    },
    /// No entry answered, and one of them may have taken the request.
    #[snafu(display(
        "whether the request took effect is not known: {message}\n  \
        run the same command again with the same key or request id"
    ))]
    OutcomeUnknown {
        /// What happened last.
        message: String,
    },
    /// An entry answered with something else than the interface says.
    #[snafu(display(
        "the entry's answer can't be read: {source}\n  see that it runs this version"
    ))]
    BadReply {
        /// The cause.
        source: serde_json::Error,
    },
    /// The demo did not come out as it must.
    #[snafu(display("the demo failed: {message}"))]
    DemoFailed {
        /// What happened.
        message: String,
    },
}

/// The exit codes, which docs/interface.md lists.
pub(crate) mod exit_code {
    /// The entry refused, or the job failed.
    pub(crate) const REFUSED: u8 = 1;
    /// An argument is wrong.
    pub(crate) const BAD_ARGUMENT: u8 = 64;
    /// A file that was given is wrong.
    pub(crate) const BAD_FILE: u8 = 65;
    /// No entry answered, or none found the leader; nothing was done.
    pub(crate) const NO_ANSWER: u8 = 69;
    /// The system failed.
    pub(crate) const SYSTEM_FAILED: u8 = 70;
    /// Whether the request took effect is not known.
    pub(crate) const OUTCOME_UNKNOWN: u8 = 75;
    /// The settings are wrong.
    pub(crate) const BAD_SETTINGS: u8 = 78;
}

impl CliError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::BadSettings { .. }
            | Self::ProcessFailed {
                source: InstallationError::BadSettings { .. },
            } => exit_code::BAD_SETTINGS,
            Self::BadArgument { .. } => exit_code::BAD_ARGUMENT,
            Self::BadFile { .. } => exit_code::BAD_FILE,
            Self::NoAnswer { .. } => exit_code::NO_ANSWER,
            Self::OutcomeUnknown { .. } => exit_code::OUTCOME_UNKNOWN,
            Self::SystemFailed { .. }
            | Self::EntryFailed { .. }
            | Self::ProcessFailed { .. }
            | Self::BadReply { .. }
            | Self::DemoFailed { .. } => exit_code::SYSTEM_FAILED,
        }
    }
}
