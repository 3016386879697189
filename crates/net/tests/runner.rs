//! The integration tests of this crate.

#[path = "runner/accepting.rs"]
mod accepting;
