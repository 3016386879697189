//! The integration tests of this crate.

#[path = "runner/bad_change.rs"]
mod bad_change;
#[path = "runner/bad_installations.rs"]
mod bad_installations;
#[path = "runner/bad_settings.rs"]
mod bad_settings;
#[path = "runner/settings_docs.rs"]
mod settings_docs;
#[path = "runner/tokens.rs"]
mod tokens;
#[path = "runner/valid_settings.rs"]
mod valid_settings;
