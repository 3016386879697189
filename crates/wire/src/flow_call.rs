//! Calls about flows and their replies.

use std::net::SocketAddr;

use roseridge_flow::{
    FlowRecord,
    RunCompletion,
    UnstartedRun, //
};
use roseridge_model::{
    BackendId,
    DomainName,
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

use crate::{
    EvacuationsView,
    SiteView, //
};

/// The action that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerAction {
    /// Submits a flow.
    Submit(FlowSpec),
    /// Reads the state of a flow or a queue.
    Read,
    /// Cancels a flow.
    Cancel,
}

impl CallerAction {
    /// Returns the name of the action in log lines.
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
    /// The host of the request, without a port.
    pub host: String,
    /// The full path of the request.
    pub path: String,
    /// The customer's key, if the request has one.
    pub key: Option<String>,
    /// The requested action.
    pub action: CallerAction,
}

/// A call about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowCall {
    /// A caller's request.
    Caller(CallerRequest),
    /// An operator replaces the whole configuration.
    Configure(SiteConfig),
    /// An operator reads the configuration in force.
    ReadConfig,
    /// An agent reports its state and waits for orders.
    Report(Box<FlowReport>),
    /// A process requests the members of the control group.
    ReadGroup {
        /// The internal address at which it forwards calls to the leader, if it does.
        relay: Option<String>,
    },
    /// An operator reads the state of the whole installation.
    ReadSite,
    /// An operator reads the record of one flow.
    ReadFlow {
        /// The flow.
        flow: FlowId,
    },
    /// Another process reports the members of the control group.
    #[serde(rename = "tell_group")]
    UpdateGroup(GroupView),
    /// A process or an operator reads which failure domains are evacuated.
    ReadEvacuations,
    /// An operator evacuates a failure domain.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// The revision of the domain on which the order is based.
        base: u64,
    },
    /// An operator withdraws the evacuation of a failure domain.
    Restore {
        /// The failure domain.
        domain: DomainName,
        /// The revision of the domain on which the order is based.
        base: u64,
    },
    /// An agent whose backend server is cold reports its state and waits for orders.
    ///
    /// It is a call of its own, since older peers can't decode [`FlowReport`] with one more field.
    ReportCold {
        /// The report.
        report: Box<FlowReport>,
        /// The time for which the backend server is still cold, by its newest status report.
        cold_remaining: DurationMs,
    },
}

impl FlowCall {
    /// Returns whether the call has no effect, whatever becomes of it.
    pub fn is_read(&self) -> bool {
        match self {
            Self::Caller(request) => matches!(request.action, CallerAction::Read),
            Self::ReadConfig
            | Self::ReadGroup { .. }
            | Self::ReadSite
            | Self::ReadFlow { .. }
            | Self::ReadEvacuations => true,
            Self::Configure(_)
            | Self::Report(_)
            | Self::ReportCold { .. }
            | Self::UpdateGroup(_)
            | Self::Evacuate { .. }
            | Self::Restore { .. } => false,
        }
    }
}

/// The stage of a flow that is reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowStage {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// The flow has failed.
    Failed,
    /// The flow was cancelled.
    Cancelled,
}

/// The reason why a flow is refused. A refused flow never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadRefusal {
    /// The flow could not be completed in time after the flows accepted before it.
    TooLate,
    /// The present backend servers could never run the flow.
    NeverFits,
    /// The number of open flows, or the size of the kept ones, has reached its limit.
    QueueFull,
}

/// The reply to a [`FlowCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowReply {
    /// The flow is accepted and durable.
    Accepted,
    /// The flow is refused and never runs.
    Refused {
        /// The reason.
        reason: LoadRefusal,
        /// The time after which to submit again.
        retry_after: DurationMs,
    },
    /// The stage of the flow.
    Stage(FlowStage),
    /// The number of flows of the queue that have not been placed yet.
    Pending(u64),
    /// The flow is cancelled, or had already ended.
    Cancelled,
    /// There is no such flow.
    UnknownFlow,
    /// There is no such queue.
    UnknownQueue,
    /// The key belongs to no customer.
    UnknownKey,
    /// The name of the flow is malformed.
    BadName,
    /// The name is already used by another flow.
    NameReused,
    /// The flow is malformed.
    BadSpec(SpecError),
    /// No configuration has been set.
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
    /// The orders for an agent.
    Orders(FlowOrders),
    /// The members of the control group.
    Group(GroupView),
    /// The state of the installation.
    Site(SiteView),
    /// The record of a flow.
    Flow(Box<FlowRecord>),
    /// The report is acknowledged.
    Noted,
    /// The evacuated failure domains.
    Evacuations(EvacuationsView),
    /// The evacuation, or its withdrawal, is durable and in force.
    Evacuated {
        /// The revision of the failure domain.
        revision: u64,
    },
    /// The order about a failure domain had no effect, because another one came before it.
    Overtaken,
    /// The evacuation is refused, because the maximum number of failure domains is evacuated.
    TooManyEvacuations,
    /// The orders for an agent whose backend server may delete completions before they are listed.
    ///
    /// It is a reply of its own, since older agents can't decode [`FlowOrders`] with one more field.
    OrdersOnTrial {
        /// The orders.
        orders: FlowOrders,
        /// The number up to which completions may be deleted.
        hidden_ends: u64,
    },
}

/// The members of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupView {
    /// A digest of the other fields, which changes when they do.
    pub digest: u64,
    /// The internal addresses of the members.
    pub addresses: Vec<String>,
    /// The internal addresses of processes that forward calls to the leader.
    pub relays: Vec<String>,
}

impl GroupView {
    /// Returns the addresses of the members. Addresses that can't be parsed are omitted.
    pub fn members(&self) -> Vec<SocketAddr> {
        parse_addresses(&self.addresses)
    }

    /// Returns the addresses of the relays, those on hosts without a member first.
    ///
    /// A process that can't reach the members usually can't reach relays on the same hosts either.
    /// Addresses that can't be parsed are omitted.
    pub fn fallback_relays(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let is_separate = |relay: &SocketAddr| members.iter().all(|m| m.ip() != relay.ip());
        let (separate, colocated): (Vec<_>, Vec<_>) = parse_addresses(&self.relays)
            .into_iter()
            .partition(is_separate);
        separate.into_iter().chain(colocated).collect()
    }
}

/// Parses addresses and omits those that are malformed.
fn parse_addresses(addresses: &[String]) -> Vec<SocketAddr> {
    addresses.iter().filter_map(|a| a.parse().ok()).collect()
}

/// A run that a backend server lists as running, or has started since its last list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningRun {
    /// The run.
    pub run: RunKey,
    /// Its newest checkpoint; empty if there is none.
    pub saved: String,
    /// The completed share of its work, in whole percent.
    pub percent: u8,
}

/// The state of the current incarnation of a backend server, as its agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendReport {
    /// The incarnation.
    pub backend: BackendId,
    /// Its resources and location, if the leader requested them.
    pub profile: Option<roseridge_flow::BackendProfile>,
    /// A reading of the backend server's clock, taken before this report was sent.
    pub clock_ms: u64,
    /// The minimum time until it leaves, if it is draining.
    pub draining: Option<DurationMs>,
    /// The runs in progress.
    pub running: Vec<RunningRun>,
    /// The time since the backend server listed its runs.
    pub listed_ago: DurationMs,
    /// The completions of runs that the leader has not acknowledged.
    pub ends: Vec<RunCompletion>,
    /// The runs that were ordered and can no longer start.
    pub unstarted: Vec<UnstartedRun>,
    /// The index of the newest orders that the agent has received.
    pub known_orders: u64,
    /// The number of the last completion that the leader has acknowledged, as known to the agent.
    pub known_ends: u64,
    /// The flows whose text the agent has.
    pub texts: Vec<FlowId>,
}

/// A report of an agent. The reply is delayed until there are new orders or [`hold`](Self::hold)
/// has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowReport {
    /// The agent's instance.
    pub instance: InstanceName,
    /// A number that increases with each report of one incarnation of the agent.
    pub sequence: u64,
    /// The backend server, once it has announced itself.
    pub backend: Option<BackendReport>,
    /// The incarnations that have ended.
    pub ended: Vec<BackendId>,
    /// The maximum time for which the reply may be delayed.
    pub hold: DurationMs,
    /// The highest leader's term that the agent has received.
    pub known_fence: u64,
    /// The digest of the members and relays of the control group that the agent knows.
    pub known_group: u64,
}

/// An order to run one run, or to stop it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunOrder {
    /// The run.
    pub run: RunKey,
    /// Whether the run has to stop.
    pub stop: bool,
    /// The checkpoint to start from; empty if there is none.
    pub saved: String,
}

/// The orders for an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowOrders {
    /// The incarnation to which the orders apply.
    pub backend: Option<BackendId>,
    /// The number that grows with the leader's term and with each incarnation on the instance. A backend server
    /// ignores calls with a lower number than it has seen.
    pub fence: u64,
    /// The index of the orders.
    pub index: u64,
    /// All runs that the backend server should have, if they changed.
    pub runs: Option<Vec<RunOrder>>,
    /// The texts of flows that the agent does not have.
    pub texts: Vec<(FlowId, String)>,
    /// The end of the lease, as a time on the backend server's clock. Runs have to stop at that
    /// time unless the lease is renewed.
    pub lease_until_ms: Option<u64>,
    /// The number of the last completion that the leader has acknowledged.
    pub ends_seen: u64,
    /// Whether the agent has to report the backend server's profile again.
    pub wants_profile: bool,
    /// The members of the control group, if they changed.
    pub group: Option<GroupView>,
}
