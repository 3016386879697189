//! The integration tests of this crate.

#[path = "runner/replay_world.rs"]
#[expect(dead_code, reason = "The example plays more patterns than the tests.")]
mod replay_world;
#[expect(dead_code, reason = "The example plays more patterns than the tests.")]
#[path = "runner/site_loads.rs"]
mod site_loads;
