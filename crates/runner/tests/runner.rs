//! The integration tests of this crate.

#[path = "runner/ack_cases.rs"]
mod ack_cases;
#[path = "runner/barrier_cases.rs"]
mod barrier_cases;
#[path = "runner/fake_backend.rs"]
mod fake_backend;
#[path = "runner/random_histories.rs"]
mod random_histories;
#[path = "runner/restart_histories.rs"]
mod restart_histories;
#[path = "runner/table_cases.rs"]
mod table_cases;
