//! An entry instance: the HTTP interfaces for callers and operators, and the relay between agents
//! and the leader of the control group.

mod call_relay;
mod caller_api;
mod entry_instance;
mod evacuation_order;
mod explain;
mod flow_client;
mod health;
mod job_reply;
mod metrics_reply;
mod operator_api;
mod operator_page;
mod relay_agents;
mod relay_task;
mod replica_api;
mod request_parts;
mod template_check;

pub use call_relay::relay_calls;
pub use entry_instance::EntryConfig;
pub use entry_instance::EntryError;
pub use entry_instance::EntryLimits;
pub use entry_instance::EntryListeners;
pub use entry_instance::run_entry;
pub use entry_instance::run_entry_with_limits;
pub use evacuation_order::EvacuationOrder;
pub use evacuation_order::send_evacuation_order;
pub use flow_client::CallResult;
pub use flow_client::FlowClient;
pub use health::ControlAnswer;
pub use health::ReadyState;
pub use metrics_reply::scrape_response;
