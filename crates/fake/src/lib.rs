//! A fake backend server for the demo and the tests.
//!
//! The server implements the API of `roseridge_model::backend_api` on a loopback address. It runs
//! each task as a timer and counts the starts of each task.

mod fake_backend;
mod fake_payload;
mod fake_state;
mod test_hooks;

pub use fake_backend::FakeBackend;
pub use fake_backend::FakeError;
pub use fake_payload::FakePayload;
pub use test_hooks::AnswerFault;
pub use test_hooks::FaultInjector;
pub use test_hooks::TaskEvent;
pub use test_hooks::TaskEventKind;
pub use test_hooks::TaskEventLog;
pub use test_hooks::TestHooks;
