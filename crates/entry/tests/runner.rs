//! The integration tests of this crate.

#[path = "runner/access.rs"]
mod access;
#[path = "runner/agent_jobs.rs"]
mod agent_jobs;
#[path = "runner/body_budget.rs"]
mod body_budget;
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
#[path = "runner/test_caller.rs"]
mod test_caller;
#[path = "runner/worker_fixture.rs"]
mod worker_fixture;
