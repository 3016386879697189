//! The integration tests of this crate.

#[path = "runner/plan_fuzz.rs"]
mod plan_fuzz;
#[path = "runner/plan_oracle.rs"]
mod plan_oracle;
#[path = "runner/scheduling_cases.rs"]
mod scheduling_cases;
#[path = "runner/small_cluster.rs"]
mod small_cluster;
