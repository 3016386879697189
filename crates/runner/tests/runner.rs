//! The integration tests of this crate.

#[path = "runner/fake_backend.rs"]
mod fake_backend;
#[path = "runner/random_histories.rs"]
mod random_histories;
#[path = "runner/table_cases.rs"]
mod table_cases;
