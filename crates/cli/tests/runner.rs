//! The integration tests of this crate.

#[path = "runner/defaults.rs"]
mod defaults;
#[path = "runner/demo.rs"]
mod demo;
#[path = "runner/exit_codes.rs"]
mod exit_codes;
#[path = "runner/fake_entry.rs"]
mod fake_entry;
#[path = "runner/help.rs"]
mod help;
#[path = "runner/program.rs"]
mod program;
#[path = "runner/site.rs"]
mod site;
#[path = "runner/tables.rs"]
mod tables;
