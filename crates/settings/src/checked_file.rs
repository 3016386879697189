//! Reading a settings file, with errors that name the file and the line.

use std::{
    fs,
    io, //
    ops::Range,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::de::DeserializeOwned;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    AgentSettings,
    InstallationSettings,
    ServeSettings, //
};

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A field is wrong, missing or unknown.
    #[snafu(display("{}:{line}:{column}: {message}", path.display()))]
    BadField {
        /// The file.
        path: PathBuf,
        /// The line, from one.
        line: usize,
        /// The column, from one.
        column: usize,
        /// What is wrong and what would be right.
        message: String,
    },
}

/// A field that is well-formed but wrong.
#[derive(Debug)]
pub(crate) struct FieldFault {
    pub(crate) span: Range<usize>,
    pub(crate) message: String,
}

/// Reads and checks the settings of an entry instance.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the line and what would be right.
pub fn read_serve_settings(path: &Path) -> Result<ServeSettings, SettingsError> {
    read_checked(path, ServeSettings::check)
}

/// Reads and checks the settings of an agent.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the line and what would be right.
pub fn read_agent_settings(path: &Path) -> Result<AgentSettings, SettingsError> {
    read_checked(path, AgentSettings::check)
}

/// Reads and checks the settings of a process in an installation.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file, the line and what would be right.
pub fn read_installation_settings(path: &Path) -> Result<InstallationSettings, SettingsError> {
    read_checked(path, InstallationSettings::check)
}

/// Returns whether a settings file is one of a process in an installation.
///
/// # Errors
///
/// Returns a [`SettingsError`] when the file can't be read.
pub fn is_installation_file(path: &Path) -> Result<bool, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    // A file that is no TOML is told of by whoever reads it whole.
    let table = toml::from_str::<toml::Table>(&text).unwrap_or_default();
    Ok(table.contains_key("installation"))
}

fn read_checked<T: DeserializeOwned>(
    path: &Path,
    check: fn(&T) -> Result<(), FieldFault>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let parsed = toml::from_str(&text).map_err(|error| FieldFault {
        span: error.span().unwrap_or_default(),
        message: error.message().to_owned(),
    });
    let checked = parsed.and_then(|settings| check(&settings).map(|()| settings));
    checked.map_err(|fault| {
        let before = text.get(..fault.span.start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
        SettingsError::BadField {
            path: path.to_owned(),
            line,
            column,
            message: fault.message,
        }
    })
}
