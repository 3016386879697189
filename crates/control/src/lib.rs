//! A control replica: the replicated log, the ledger and the scheduler in one task.
//!
//! The task owns the core, the store and the ledger. Peers, entries and relays reach it by messages;
//! it reaches its peers through one link task for each.

mod clock;
mod control_calls;
mod flow_calls;
mod flow_desk;
mod flow_events;
mod group_plan;
mod leader_desk;
mod leader_meter;
mod leader_work;
mod lease_table;
mod member_desk;
mod peer_links;
mod relay_calls;
mod relay_desk;
mod relay_session;
mod replica_config;
mod replica_error;
mod replica_log;
mod replica_task;
mod rollout_desk;
mod site_report;
mod views;

pub use group_plan::GroupSeats;
pub use group_plan::SeatView;
pub use group_plan::next_change;
pub use leader_meter::LeaderMeter;
pub use leader_meter::LogExtent;
pub use lease_table::LeaseTable;
pub use relay_session::RelaySession;
pub use replica_config::FlowTiming;
pub use replica_config::GroupRule;
pub use replica_config::LeaseTiming;
pub use replica_config::ReplicaConfig;
pub use replica_config::replica_id_from_address;
pub use replica_config::replica_timing;
pub use replica_error::ReplicaError;
pub use replica_task::run_replica;
