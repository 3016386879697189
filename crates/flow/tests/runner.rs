//! Integration tests of the flow state machine.

#[path = "runner/backends.rs"]
mod backends;
#[path = "runner/configuration.rs"]
mod configuration;
#[path = "runner/crashes.rs"]
mod crashes;
#[path = "runner/evacuations.rs"]
mod evacuations;
#[path = "runner/flow_fuzz.rs"]
mod flow_fuzz;
#[path = "runner/gangs.rs"]
mod gangs;
#[path = "runner/restarts.rs"]
mod restarts;
#[path = "runner/runs.rs"]
mod runs;
#[path = "runner/small_site.rs"]
mod small_site;
#[path = "runner/submissions.rs"]
mod submissions;
