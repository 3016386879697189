//! The integration tests of this crate.

#[path = "runner/access.rs"]
mod access;
#[path = "runner/agents.rs"]
mod agents;
#[path = "runner/caller_errors.rs"]
mod caller_errors;
#[path = "runner/changes.rs"]
mod changes;
#[path = "runner/entry_fixture.rs"]
mod entry_fixture;
#[path = "runner/flow_client.rs"]
mod flow_client;
#[path = "runner/health.rs"]
mod health;
#[path = "runner/links.rs"]
mod links;
#[path = "runner/log_capture.rs"]
mod log_capture;
#[path = "runner/metrics.rs"]
mod metrics;
#[path = "runner/page.rs"]
mod page;
#[path = "runner/small_entry.rs"]
mod small_entry;
#[path = "runner/worker_fixture.rs"]
mod worker_fixture;
