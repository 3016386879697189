//! Reads and validates settings files. Errors name the file, the line and the column.

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

/// Why a settings file is rejected.
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
    /// A field is invalid, missing or unknown.
    #[snafu(display("{}:{line}:{column}: {message}", path.display()))]
    BadField {
        /// The file.
        path: PathBuf,
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
        /// What is wrong, with a valid alternative where there is one.
        message: String,
    },
}

/// A syntax error, or a field that is well-formed but has an invalid value.
#[derive(Debug)]
pub(crate) struct FieldError {
    pub(crate) span: Range<usize>,
    pub(crate) message: String,
}

/// Reads and validates the settings of an entry instance.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file can't be read or a field is invalid.
pub fn read_serve_settings(path: &Path) -> Result<ServeSettings, SettingsError> {
    read_checked(path, ServeSettings::check)
}

/// Reads and validates the settings of an agent.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file can't be read or a field is invalid.
pub fn read_agent_settings(path: &Path) -> Result<AgentSettings, SettingsError> {
    read_checked(path, AgentSettings::check)
}

/// Reads and validates the settings of a process in an installation.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file can't be read or a field is invalid.
pub fn read_installation_settings(path: &Path) -> Result<InstallationSettings, SettingsError> {
    read_checked(path, InstallationSettings::check)
}

/// Returns whether a settings file has an `installation` section and so belongs to a process in an
/// installation.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file can't be read.
pub fn is_installation_file(path: &Path) -> Result<bool, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    // Malformed TOML is not an error here: reading all settings of the file reports it.
    let table = toml::from_str::<toml::Table>(&text).unwrap_or_default();
    Ok(table.contains_key("installation"))
}

fn read_checked<T: DeserializeOwned>(
    path: &Path,
    check: fn(&T) -> Result<(), FieldError>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let parsed = toml::from_str(&text).map_err(|error| FieldError {
        span: error.span().unwrap_or_default(),
        message: error.message().to_owned(),
    });
    let checked = parsed.and_then(|settings| check(&settings).map(|()| settings));
    checked.map_err(|field_error| {
        let before = text.get(..field_error.span.start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
        SettingsError::BadField {
            path: path.to_owned(),
            line,
            column,
            message: field_error.message,
        }
    })
}
