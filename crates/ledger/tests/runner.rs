//! The integration tests of this crate.

#[path = "runner/drains.rs"]
mod drains;
#[path = "runner/fake_agent.rs"]
mod fake_agent;
#[path = "runner/gang_faults.rs"]
mod gang_faults;
#[path = "runner/history_oracle.rs"]
mod history_oracle;
#[path = "runner/ledger_fuzz.rs"]
mod ledger_fuzz;
#[path = "runner/ledger_simulation.rs"]
mod ledger_simulation;
#[path = "runner/policy_decisions.rs"]
mod policy_decisions;
#[path = "runner/regressions.rs"]
mod regressions;
#[path = "runner/samples.rs"]
mod samples;
#[path = "runner/simulation_step.rs"]
mod simulation_step;
#[path = "runner/template_effect.rs"]
mod template_effect;
#[path = "runner/template_requests.rs"]
mod template_requests;
