//! Runs the tasks of flows on the backend server of an instance.
//!
//! [`RunTable`] is a state machine without I/O: it decides which calls to make to the backend server
//! and what to report to the leader. [`run_runner`] is the asynchronous task that owns it. Calls reach
//! the backend server through a [`BackendPort`], which an adapter for its protocol provides.

mod backend_incarnation;
mod backend_port;
mod call_answers;
mod candidate_calls;
mod completion_trial;
mod contact_backoff;
mod due_calls;
mod input_faults;
mod listed_runs;
mod open_acks;
mod run_progress;
mod run_table;
mod runner_task;
mod stop_barrier;

pub use backend_port::AnswerFuture;
pub use backend_port::BackendPort;
pub use backend_port::ListedRun;
pub use backend_port::RunAnswer;
pub use backend_port::RunCall;
pub use backend_port::RunList;
pub use backend_port::RunRefusal;
pub use backend_port::RunnerEvent;
pub use backend_port::StatusReport;
pub use candidate_calls::BarrierView;
pub use run_table::RunTable;
pub use run_table::RunnerTiming;
pub use runner_task::RunnerConfig;
pub use runner_task::run_runner;
