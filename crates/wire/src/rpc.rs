//! The RPC service between the processes.

use roseridge_quorum::{
    MemberId,
    PeerMessage, //
};

use crate::{
    AgentOrders,
    AgentReport,
    CallError,
    ControlCall,
    ControlReply,
    LinkHello,
    LinkRefusal, //
};

/// The version of the protocol between the processes. Peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 2;

/// The calls between the processes.
#[tarpc::service]
pub trait InternalRpc {
    /// Opens a connection. All other calls are refused before it.
    async fn hello(hello: LinkHello) -> Result<(), LinkRefusal>;
    /// Checks that the connection works.
    async fn ping() -> Result<(), LinkRefusal>;
    /// Delivers messages between replicas.
    async fn deliver(from: MemberId, messages: Vec<PeerMessage>) -> Result<(), CallError>;
    /// Calls the control group.
    async fn control(call: ControlCall) -> Result<ControlReply, CallError>;
    /// Reports on behalf of an agent and returns its orders.
    async fn exchange(report: AgentReport) -> Result<AgentOrders, CallError>;
}
