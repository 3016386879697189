//! Calls about flows, and their answers.

use std::net::SocketAddr;

use roseridge_flow::{
    EndRecord,
    FlowRecord,
    UnstartedRun, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FlowId,
    FlowSpec,
    InstanceName,
    RunKey,
    SiteConfig,
    SiteConfigError,
    SpecError, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::SiteView;

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerAction {
    /// Hands a flow in.
    Submit(FlowSpec),
    /// Reads a flow, or a queue.
    Read,
    /// Cancels a flow.
    Cancel,
}

impl CallerAction {
    /// Returns its name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Read => "read",
            Self::Cancel => "cancel",
        }
    }
}

/// A caller's request to a queue or to a flow in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// The host that the request names, without a port.
    pub host: String,
    /// The whole path.
    pub path: String,
    /// The customer's key, if the request shows one.
    pub key: Option<String>,
    /// What the caller wants.
    pub action: CallerAction,
}

/// A call about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowCall {
    /// A caller's request.
    Caller(CallerRequest),
    /// An operator sets the whole configuration.
    Configure(SiteConfig),
    /// An operator reads the configuration in force.
    ReadConfig,
    /// An agent reports and waits for orders.
    Report(Box<FlowReport>),
    /// A process asks for the members of the control group.
    ReadGroup {
        /// The internal address at which it passes calls on, if it does.
        relay: Option<String>,
    },
    /// An operator looks at the whole installation.
    ReadSite,
    /// An operator looks at one flow.
    ReadFlow {
        /// The flow.
        flow: FlowId,
    },
    /// Another process tells who the members of the control group are.
    #[serde(rename = "tell_group")]
    UpdateGroup(GroupView),
}

/// Where a flow stands, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowStage {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// It has failed.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Why a flow is not taken; it never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadRefusal {
    /// It could not end in time, with what was accepted before it.
    TooLate,
    /// No worker that is here could ever take it.
    NeverFits,
    /// Too many flows are open.
    QueueFull,
}

/// The answer to a call about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowReply {
    /// The flow is accepted and durable.
    Accepted,
    /// The flow is not taken and never runs.
    Refused {
        /// Why.
        reason: LoadRefusal,
        /// When to try again.
        retry_after: DurationMs,
    },
    /// Where the flow stands.
    Stage(FlowStage),
    /// How many flows of the queue wait for a first place.
    Pending(u64),
    /// The flow is cancelled, or had ended.
    Cancelled,
    /// There is no such flow.
    UnknownFlow,
    /// There is no such queue.
    UnknownQueue,
    /// The key belongs to no customer.
    UnknownKey,
    /// The name of the flow is malformed.
    BadName,
    /// The name stands for another flow.
    NameReused,
    /// The flow is malformed.
    BadSpec(SpecError),
    /// No configuration was set yet.
    NoConfig,
    /// The configuration is durable, or an equal or newer one is in force.
    Configured {
        /// The version in force.
        version: u64,
    },
    /// The configuration is invalid.
    InvalidConfig(SiteConfigError),
    /// The configuration in force, as the operator sent it.
    Config {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
    },
    /// The orders of an agent.
    Orders(FlowOrders),
    /// The members of the control group.
    Group(GroupView),
    /// The whole installation.
    Site(SiteView),
    /// All that is kept of a flow.
    Flow(Box<FlowRecord>),
    /// What was told is known now.
    Noted,
}

/// The members of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupView {
    /// A number that differs when the rest does.
    pub digest: u64,
    /// The internal addresses of the members.
    pub addresses: Vec<String>,
    /// The internal addresses of processes that pass calls on to the leader.
    pub relays: Vec<String>,
}

impl GroupView {
    /// Returns the addresses of the members, as far as they can be read.
    pub fn members(&self) -> Vec<SocketAddr> {
        parsed(&self.addresses)
    }

    /// Returns the addresses of the relays that are no members' hosts first.
    ///
    /// What can't reach the members can't reach other processes on their hosts either.
    pub fn fallback_relays(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let is_apart = |relay: &SocketAddr| members.iter().all(|m| m.ip() != relay.ip());
        let (apart, beside): (Vec<_>, Vec<_>) =
            parsed(&self.relays).into_iter().partition(is_apart);
        apart.into_iter().chain(beside).collect()
    }
}

fn parsed(addresses: &[String]) -> Vec<SocketAddr> {
    addresses.iter().filter_map(|a| a.parse().ok()).collect()
}

/// A run that an agent's backend server lists as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningRun {
    /// The run.
    pub run: RunKey,
    /// Its newest checkpoint, or nothing.
    pub saved: String,
    /// How much of its work is done, in whole percent.
    pub percent: u8,
}

/// What an agent knows of its backend server's present life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendReport {
    /// The life.
    pub backend: BackendId,
    /// What it offers and where it is, when the leader asked for it.
    pub profile: Option<roseridge_flow::BackendProfile>,
    /// A reading of the backend server's clock, taken before this report was sent.
    pub clock_ms: u64,
    /// The time that is left at least, if it leaves.
    pub draining: Option<DurationMs>,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// How long ago the backend server told what runs.
    pub listed_ago: DurationMs,
    /// The ends that the leader did not take note of yet.
    pub ends: Vec<EndRecord>,
    /// The runs that were ordered and can't start any more.
    pub unstarted: Vec<UnstartedRun>,
    /// The index of the newest orders that the agent has.
    pub known_orders: u64,
    /// The number of the last end that the leader took note of, as far as the agent knows.
    pub known_ends: u64,
    /// The flows whose text the agent holds.
    pub texts: Vec<FlowId>,
}

/// What an agent reports; the reply is held back until there is news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowReport {
    /// The agent's instance.
    pub instance: InstanceName,
    /// A number that grows with each report of one life of the agent.
    pub sequence: u64,
    /// The backend server, once it has announced itself.
    pub backend: Option<BackendReport>,
    /// Lives that have ended.
    pub ended: Vec<BackendId>,
    /// How long the reply may be held back.
    pub hold: DurationMs,
    /// The highest leader's term that the agent has heard of.
    pub known_fence: u64,
    /// The digest of the control group's members and relays, as far as the agent knows them.
    pub known_group: u64,
}

/// One run that an agent is to keep running, or to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunOrder {
    /// The run.
    pub run: RunKey,
    /// Whether it is to stop.
    pub stop: bool,
    /// The checkpoint to begin from, or nothing.
    pub saved: String,
}

/// An agent's orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowOrders {
    /// The life that the orders are for.
    pub backend: Option<BackendId>,
    /// The leader's term; a backend server obeys no lower one than it has seen.
    pub fence: u64,
    /// The index of the orders.
    pub index: u64,
    /// All runs that the backend server is to have, if they changed.
    pub runs: Option<Vec<RunOrder>>,
    /// The texts of flows that the agent does not hold.
    pub texts: Vec<(FlowId, String)>,
    /// The time on the backend server's clock until which what runs may go on.
    pub lease_until_ms: Option<u64>,
    /// The number of the last end that was taken note of.
    pub ends_seen: u64,
    /// Whether the agent is to tell the backend server's profile again.
    pub wants_profile: bool,
    /// The members of the control group, if they changed.
    pub group: Option<GroupView>,
}
