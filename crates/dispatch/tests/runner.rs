//! The integration tests of this crate.

#[path = "runner/admission.rs"]
mod admission;
#[path = "runner/avoidance.rs"]
mod avoidance;
#[path = "runner/crash_suspects.rs"]
mod crash_suspects;
#[path = "runner/crash_trials.rs"]
mod crash_trials;
#[path = "runner/customer_shares.rs"]
mod customer_shares;
#[path = "runner/domain_evacuation.rs"]
mod domain_evacuation;
#[path = "runner/domain_return.rs"]
mod domain_return;
#[path = "runner/evacuation.rs"]
mod evacuation;
#[path = "runner/flow_order.rs"]
mod flow_order;
#[path = "runner/idle_placement.rs"]
mod idle_placement;
#[path = "runner/load_patterns.rs"]
mod load_patterns;
#[path = "runner/placement.rs"]
mod placement;
#[path = "runner/preemption.rs"]
mod preemption;
#[path = "runner/progress_rates.rs"]
mod progress_rates;
#[path = "runner/site_loads.rs"]
mod site_loads;
#[path = "runner/site_simulation.rs"]
mod site_simulation;
#[path = "runner/small_site.rs"]
mod small_site;
