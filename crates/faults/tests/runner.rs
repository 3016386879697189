//! End-to-end tests with fault injection: each injects faults and then checks the invariants.

#[path = "runner/answer_faults.rs"]
mod answer_faults;
#[path = "runner/guarantees.rs"]
mod guarantees;
#[path = "runner/harness.rs"]
mod harness;
#[path = "runner/kills.rs"]
mod kills;
#[path = "runner/load_and_failures.rs"]
mod load_and_failures;
#[path = "runner/operators.rs"]
mod operators;
#[path = "runner/partitions.rs"]
mod partitions;
#[path = "runner/regions.rs"]
mod regions;
#[path = "runner/stalled_connections.rs"]
mod stalled_connections;
#[path = "runner/stops.rs"]
mod stops;
