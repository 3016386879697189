//! The integration tests of this crate.

#[path = "runner/bad_change.rs"]
mod bad_change;
#[path = "runner/bad_installations.rs"]
mod bad_installations;
#[path = "runner/bad_settings.rs"]
mod bad_settings;
#[path = "runner/docs.rs"]
mod docs;
#[path = "runner/good_settings.rs"]
mod good_settings;
#[path = "runner/tokens.rs"]
mod tokens;
