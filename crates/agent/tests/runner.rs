//! The integration tests of this crate.

#[path = "runner/agent_shutdown.rs"]
mod agent_shutdown;
#[path = "runner/table_cases.rs"]
mod table_cases;
#[path = "runner/table_properties.rs"]
mod table_properties;
#[path = "runner/table_simulation.rs"]
mod table_simulation;
