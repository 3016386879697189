//! The integration tests of this crate.

#[path = "runner/ack_cases.rs"]
mod ack_cases;
#[path = "runner/barrier_cases.rs"]
mod barrier_cases;
#[path = "runner/fake_backend.rs"]
mod fake_backend;
#[path = "runner/life_cases.rs"]
mod life_cases;
#[path = "runner/life_orders.rs"]
mod life_orders;
#[path = "runner/random_histories.rs"]
mod random_histories;
#[path = "runner/restart_histories.rs"]
mod restart_histories;
#[path = "runner/server_life.rs"]
mod server_life;
#[path = "runner/table_cases.rs"]
mod table_cases;
