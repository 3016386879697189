//! The agent, which runs beside a backend server and handles its leases, orders and answers.
//!
//! [`TaskTable`] is a state machine without I/O: it decides which actions to request from the backend
//! server and what to report. [`run_agent`] is the asynchronous task that owns it and the sockets.

mod agent_config;
mod agent_event;
mod agent_task;
mod announce;
mod backend_client;
mod backend_watch;
mod call_breaker;
mod known_revision;
mod lease_clock;
mod local_task;
mod relay_session;
mod replica_host;
mod task_action;
mod task_table;

pub use agent_config::AgentConfig;
pub use agent_config::AgentError;
pub use agent_task::run_agent;
pub use call_breaker::CallBreaker;
pub use lease_clock::LeaseState;
pub use replica_host::host_replica;
pub use task_action::TaskAction;
pub use task_table::BackendLimits;
pub use task_table::TaskTable;
