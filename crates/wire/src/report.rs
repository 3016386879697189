//! Reports that agents send through relays, and the orders for the agents.

use roseridge_model::{
    ConfigRevision,
    IncarnationId,
    TaskOrder,
    TaskStatus,
    WorkerName,
    WorkerShape, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A report of an agent. The reply is delayed until there are new orders or a time has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentReport {
    /// The worker.
    pub worker: WorkerName,
    /// The incarnation of the agent.
    pub incarnation: IncarnationId,
    /// A number that increases with each report of this incarnation.
    pub sequence: u64,
    /// The index of the newest orders that the agent has received.
    pub known_orders: u64,
    /// The newest revision of the configuration that the agent has received.
    pub known_revision: ConfigRevision,
    /// The worker's shape, until the leader has acknowledged it.
    pub announce: Option<WorkerShape>,
    /// The tasks whose phase the leader has not acknowledged.
    pub statuses: Vec<TaskStatus>,
    /// Whether the backend server or the agent is leaving.
    pub leaving: bool,
}

impl AgentReport {
    /// Returns whether a later report has the same revision and leaving flag as this one.
    ///
    /// A later report without statuses for which this holds reports nothing new.
    pub fn has_same_state(&self, later: &Self) -> bool {
        self.known_revision == later.known_revision && self.leaving == later.leaving
    }
}

/// The reply to an agent's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOrders {
    /// The incarnation of the agent to which the reply applies; another incarnation ignores it.
    pub incarnation: IncarnationId,
    /// The number of the newest report that the leader has committed. It renews the lease if the
    /// incarnation is known.
    pub renewed: u64,
    /// Whether the leader knows the incarnation; if not, the agent has to announce itself.
    pub known: bool,
    /// Whether the leader treats the incarnation as an outdated one, so that the agent has to start
    /// a new one.
    pub fenced: bool,
    /// The index of the state from which the orders were derived.
    pub orders_index: u64,
    /// All orders, or `None` if the agent has the newest ones.
    pub orders: Option<Vec<TaskOrder>>,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
}

/// One agent that is attached to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttachedAgent {
    /// The number that identifies the agent within the relay's session.
    pub slot: u32,
    /// The worker.
    pub worker: WorkerName,
    /// The incarnation of the agent.
    pub incarnation: IncarnationId,
    /// The index of the newest orders that the agent has received or that the relay has for it.
    pub known_orders: u64,
    /// The newest revision of the configuration that the agent has received.
    pub known_revision: ConfigRevision,
}

/// A change of the set of agents that are attached to a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttachedChange {
    /// The number of the change within the session. Numbers are consecutive.
    pub number: u64,
    /// Whether this is the complete set, which replaces the one known before.
    pub whole: bool,
    /// The agents that were attached or changed.
    pub attached: Vec<AttachedAgent>,
    /// The slots of the agents that were detached.
    pub detached: Vec<u32>,
}

/// A request of a relay to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRequest {
    /// Forwards reports and renews leases.
    Report {
        /// The reports with new information.
        reports: Vec<AgentReport>,
        /// The slots of the agents that reported nothing new, with the numbers of their reports.
        renewals: Vec<(u32, u64)>,
    },
    /// Waits for new orders of the session's agents.
    Watch(AttachedChange),
}

/// A relay's request within its session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayReport {
    /// A random number that the relay chooses when it starts.
    pub session: u64,
    /// The request.
    #[serde(rename = "ask")]
    pub request: RelayRequest,
}

/// The leader's reply to a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayReply {
    /// The replies to agents, by the names of their workers.
    pub orders: Vec<(WorkerName, AgentOrders)>,
    /// The slots whose renewals were rejected; their agents have to send full reports.
    pub unknown: Vec<u32>,
    /// Whether the relay has to send the complete set of its agents.
    pub resync: bool,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
}
