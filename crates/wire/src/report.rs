//! What agents report through relays, and the orders that come back.

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

/// A report of an agent; the reply is held back until there are new orders or for a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentReport {
    /// The worker.
    pub worker: WorkerName,
    /// The agent's life.
    pub incarnation: IncarnationId,
    /// Grows with each report of this life.
    pub sequence: u64,
    /// The index of the newest orders that the agent holds.
    pub known_orders: u64,
    /// The newest revision of the configuration that the agent has heard of.
    pub known_revision: ConfigRevision,
    /// The worker's shape, until the leader has acknowledged it.
    pub announce: Option<WorkerShape>,
    /// The tasks whose phase the leader has not acknowledged.
    pub statuses: Vec<TaskStatus>,
    /// Whether the backend server or the agent is leaving.
    pub leaving: bool,
}

impl AgentReport {
    /// Returns whether a later report without statuses tells nothing that this one did not.
    pub fn has_same_state(&self, later: &Self) -> bool {
        self.known_revision == later.known_revision && self.leaving == later.leaving
    }
}

/// The answer to an agent's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOrders {
    /// The agent's life that the answer is for; another life ignores it.
    pub incarnation: IncarnationId,
    /// The newest report that the leader has committed; it renews the lease if the life is known.
    pub renewed: u64,
    /// Whether the leader knows the agent's life; if not, the agent announces itself.
    pub known: bool,
    /// Whether the life was taken for an earlier one, so that the agent has to start another.
    pub fenced: bool,
    /// The index of the state that the orders were taken from.
    pub orders_index: u64,
    /// All orders, or nothing when the agent's are the newest.
    pub orders: Option<Vec<TaskOrder>>,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
}

/// One agent that is attached to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttachedAgent {
    /// The number that stands for the agent within the relay's session.
    pub slot: u32,
    /// The worker.
    pub worker: WorkerName,
    /// The agent's life.
    pub incarnation: IncarnationId,
    /// The index of the newest orders that the agent holds or that the relay holds for it.
    pub known_orders: u64,
    /// The newest revision of the configuration that the agent has heard of.
    pub known_revision: ConfigRevision,
}

/// How the set of a relay's agents changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttachedChange {
    /// The number of the change within the session; it follows the one before without a gap.
    pub number: u64,
    /// Whether this is the whole set, whatever was known before.
    pub whole: bool,
    /// The agents that came or changed.
    pub attached: Vec<AttachedAgent>,
    /// The slots of the agents that went.
    pub detached: Vec<u32>,
}

/// What a relay asks of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRequest {
    /// Passes reports on and renews leases.
    Report {
        /// The reports that tell something new.
        reports: Vec<AgentReport>,
        /// The slots of the agents that were heard and told nothing new, with their reports' numbers.
        renewals: Vec<(u32, u64)>,
    },
    /// Waits for new orders of the session's agents.
    Watch(AttachedChange),
}

/// A call of a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayReport {
    /// A random number that the relay draws at its start.
    pub session: u64,
    /// What is asked.
    #[serde(rename = "ask")]
    pub request: RelayRequest,
}

/// The leader's answer to a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayReply {
    /// The answers to agents, each for the named worker.
    pub orders: Vec<(WorkerName, AgentOrders)>,
    /// The slots whose renewal was not taken: the agents have to report in full.
    pub unknown: Vec<u32>,
    /// Whether the relay has to send the whole set of its agents.
    pub resync: bool,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
}
