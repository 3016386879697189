//! Small clusters of real components, for fault injection tests and for measurements.
//!
//! Each component runs on its own thread, with its own event loop and real loopback sockets, so
//! that a test can kill it abruptly, restart it from its data folder or stop it gracefully. Every
//! connection between processes passes through a [`LinkForwarder`], which can stall, delay or close
//! it. No production crate depends on this crate.

mod caller_client;
mod cluster_config;
mod component_thread;
mod connection_copy;
mod entry_process;
mod invariant_checks;
mod line_fit;
mod link_forwarder;
mod request_record;
mod resource_usage;
mod role_cluster;
mod small_cluster;
mod worker_process;

pub use caller_client::CallerClient;
pub use caller_client::HttpReply;
pub use cluster_config::ClusterShape;
pub use cluster_config::agent_cluster_name;
pub use cluster_config::entry_cluster_name;
pub use cluster_config::token_for;
pub use component_thread::ComponentThread;
pub use invariant_checks::check_answers_complete;
pub use invariant_checks::check_at_most_once;
pub use invariant_checks::check_configuration_in_force;
pub use invariant_checks::check_guarantee_reclaimable;
pub use invariant_checks::check_invariants;
pub use invariant_checks::check_no_partial_gang;
pub use invariant_checks::check_not_run_reports;
pub use line_fit::LineFit;
pub use line_fit::min_median_max;
pub use link_forwarder::LinkFlow;
pub use link_forwarder::LinkForwarder;
pub use link_forwarder::LinkNetwork;
pub use request_record::CallerRequest;
pub use request_record::RequestOutcome;
pub use request_record::RequestRecord;
pub use resource_usage::ProcessUsage;
pub use resource_usage::process_usage;
pub use resource_usage::thread_cpu_seconds;
pub use role_cluster::LinkTraffic;
pub use role_cluster::RoleCluster;
pub use small_cluster::SmallCluster;
pub use small_cluster::TrafficDirection;
