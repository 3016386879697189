//! Reads template files in TOML or JSON.

use std::{
    fs,
    path::Path, //
};

use roseridge_model::CustomerTemplate;

use crate::cli_error::CliError;

/// Reads a template file, as JSON if its name ends in `.json` and as TOML otherwise.
pub(crate) fn read_template(path: &str) -> Result<CustomerTemplate, CliError> {
    let error_of = |message: String| CliError::InvalidFile {
        path: path.to_owned(),
        message,
    };
    let text = fs::read_to_string(path).map_err(|error| error_of(error.to_string()))?;
    match Path::new(path).extension() {
        Some(extension) if extension == "json" => {
            serde_json::from_str(&text).map_err(|error| error_of(error.to_string()))
        }
        _ => toml::from_str(&text).map_err(|error| error_of(error.to_string())),
    }
}
