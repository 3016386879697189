//! The integration tests of this crate.

#[path = "runner/loopback_nets.rs"]
mod loopback_nets;
