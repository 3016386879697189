//! The integration tests of this crate.

#[path = "runner/control_calls.rs"]
mod control_calls;
#[path = "runner/detours.rs"]
mod detours;
#[path = "runner/fake_control.rs"]
mod fake_control;
#[path = "runner/retries.rs"]
mod retries;
#[path = "runner/silent_path.rs"]
mod silent_path;
