//! The integration tests of this crate.

#[path = "runner/admitting.rs"]
mod admitting;
#[path = "runner/displacing.rs"]
mod displacing;
#[path = "runner/evacuating.rs"]
mod evacuating;
#[path = "runner/flow_orders.rs"]
mod flow_orders;
#[path = "runner/load_patterns.rs"]
mod load_patterns;
#[path = "runner/pacing.rs"]
mod pacing;
#[path = "runner/placing.rs"]
mod placing;
#[path = "runner/replay_world.rs"]
mod replay_world;
#[path = "runner/site_loads.rs"]
mod site_loads;
#[path = "runner/small_site.rs"]
mod small_site;
#[path = "runner/sparing.rs"]
mod sparing;
