//! The configuration of an agent and its errors.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use roseridge_model::WorkerName;
use snafu::Snafu;

/// The configuration of an agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The worker that the agent serves.
    pub worker: WorkerName,
    /// The name of the cluster, which the agent's links present.
    pub cluster: String,
    /// The internal addresses of the entries, those in the agent's failure domain first.
    pub relays: Vec<SocketAddr>,
    /// The duration of the agent's lease, counted from the time at which the renewing report was sent.
    pub lease: Duration,
    /// The maximum time that a stop waits for the tasks to end.
    pub stop_limit: Duration,
}

/// Why an agent could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AgentError {
    /// The configuration names no relay.
    #[snafu(display("the agent has no relay"))]
    NoRelay,
}
