//! The integration tests of this crate.

#[path = "runner/control_calls.rs"]
mod control_calls;
#[path = "runner/fake_control.rs"]
mod fake_control;
#[path = "runner/fallback_route.rs"]
mod fallback_route;
#[path = "runner/finished_transfers.rs"]
mod finished_transfers;
#[path = "runner/frame_size.rs"]
mod frame_size;
#[path = "runner/leader_search.rs"]
mod leader_search;
#[path = "runner/message_encoding.rs"]
mod message_encoding;
#[path = "runner/retry_budget.rs"]
mod retry_budget;
#[path = "runner/stalled_connection.rs"]
mod stalled_connection;
#[path = "runner/waiting_calls.rs"]
mod waiting_calls;
