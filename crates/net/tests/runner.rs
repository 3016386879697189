//! The integration tests of this crate.

#[path = "runner/accept_retry.rs"]
mod accept_retry;
