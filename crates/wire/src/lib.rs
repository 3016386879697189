//! The RPC service between the processes, its transport and the supervision of connections.
//!
//! All links between processes use one tarpc service, [`InternalRpc`], over length-delimited
//! postcard frames. Handlers hold no state: each forwards its call to the task that owns the state
//! and waits for the reply. A handler that tarpc drops therefore leaves no partial update.

mod call;
mod control_client;
mod fallback;
mod flow_call;
mod frame;
mod link;
mod members_view;
mod policy_view;
mod report;
mod retry_budget;
mod rollout;
mod rpc;
mod serve;
mod site_view;
mod timers;
mod transport;
mod worker_view;

pub use call::CallError;
pub use call::ControlCall;
pub use call::ControlReply;
pub use call::JobView;
pub use call::LinkHello;
pub use call::LinkRefusal;
pub use call::ReplicaView;
pub use call::StatusView;
pub use control_client::ControlClient;
pub use control_client::ControlError;
pub use flow_call::BackendReport;
pub use flow_call::CallerAction;
pub use flow_call::CallerRequest;
pub use flow_call::FlowCall;
pub use flow_call::FlowOrders;
pub use flow_call::FlowReply;
pub use flow_call::FlowReport;
pub use flow_call::FlowStage;
pub use flow_call::GroupView;
pub use flow_call::LoadRefusal;
pub use flow_call::RunOrder;
pub use flow_call::RunningRun;
pub use frame::MAX_FRAME_BYTES;
pub use link::LinkError;
pub use link::PING_INTERVAL;
pub use link::PING_TIMEOUT;
pub use link::RpcLink;
pub use members_view::MemberState;
pub use members_view::MemberView;
pub use members_view::MembersView;
pub use policy_view::PolicyView;
pub use policy_view::QuarantineView;
pub use report::AgentOrders;
pub use report::AgentReport;
pub use report::AttachedAgent;
pub use report::AttachedChange;
pub use report::RelayReply;
pub use report::RelayReport;
pub use report::RelayRequest;
pub use retry_budget::RetryBudget;
pub use rollout::RolloutTarget;
pub use rollout::RolloutTargetKind;
pub use rollout::RolloutView;
pub use rpc::InternalRpc;
pub use rpc::InternalRpcClient;
pub use rpc::PROTOCOL_VERSION;
pub use serve::InboundCall;
pub use serve::InboundSender;
pub use serve::serve_listener;
pub use site_view::BackendView;
pub use site_view::QueueView;
pub use site_view::SiteView;
pub use timers::block_on;
pub use timers::enter_timers;
pub use worker_view::WorkerView;
