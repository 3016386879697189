//! The process beside a backend server: leases, orders and answers.
//!
//! [`TaskTable`] decides, without I/O, what to ask of the backend server and what to report;
//! [`run_agent`] is the task that owns it together with the sockets.

mod agent_config;
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
