//! A small fake backend server for the demo and the tests.
//!
//! It speaks the interface of `roseridge_model::backend_api` on loopback, runs tasks as timers and
//! counts how often each task was started.

mod fake_backend;
mod fake_payload;
mod fake_record;
mod fake_state;

pub use fake_backend::FakeBackend;
pub use fake_backend::FakeError;
pub use fake_payload::FakePayload;
pub use fake_record::AnswerFault;
pub use fake_record::FaultInjector;
pub use fake_record::TaskEvent;
pub use fake_record::TaskEventKind;
pub use fake_record::TaskEventLog;
pub use fake_record::TestHooks;
