//! The integration tests of this crate.

#[path = "runner/replay_world.rs"]
mod replay_world;
#[path = "runner/site_loads.rs"]
mod site_loads;
