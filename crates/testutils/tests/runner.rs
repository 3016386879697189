//! The integration tests of this crate.

#[path = "runner/loopback_net.rs"]
mod loopback_net;
