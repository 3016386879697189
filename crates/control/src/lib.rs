//! A control replica: the replicated log, the ledger and the scheduler in one task.
//!
//! The replica task owns the Raft core, the store and the ledger. Peers, entries and relays send it
//! messages over channels. A separate task for each peer delivers the messages that the replica
//! sends.

mod clock;
mod control_calls;
mod ending_run;
mod evacuation_calls;
mod evacuation_events;
mod flow_calls;
mod flow_controller;
mod flow_events;
mod group_plan;
mod leader_controller;
mod leader_meter;
mod leadership;
mod lease_table;
mod ledger_snapshot;
mod membership;
mod peer_links;
mod relay_calls;
mod relay_controller;
mod relay_session;
mod replica_config;
mod replica_error;
mod replica_log;
mod replica_task;
mod restart_barrier;
mod rollout_controller;
mod share_meter;
mod site_report;
mod state_size;
mod views;

pub use flow_controller::FlowController;
pub use group_plan::GroupStatus;
pub use group_plan::MemberStatus;
pub use group_plan::next_member_change;
pub use leader_meter::LeaderMeter;
pub use leader_meter::LogExtent;
pub use lease_table::LeaseTable;
pub use ledger_snapshot::decode_snapshot;
pub use ledger_snapshot::encode_snapshot;
pub use relay_session::RelaySession;
pub use replica_config::FlowTiming;
pub use replica_config::GroupRule;
pub use replica_config::LeaseTiming;
pub use replica_config::ReplicaConfig;
pub use replica_config::StateLimits;
pub use replica_config::replica_id_from_address;
pub use replica_config::replica_timing;
pub use replica_error::ReplicaError;
pub use replica_task::run_replica;
pub use state_size::StateSize;
