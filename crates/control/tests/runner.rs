//! Tests of control replicas over real sockets and files, and of their parts.

#[path = "runner/agent_orders.rs"]
mod agent_orders;
#[path = "runner/configuration.rs"]
mod configuration;
#[path = "runner/control_group.rs"]
mod control_group;
#[path = "runner/evacuations.rs"]
mod evacuations;
#[path = "runner/full_disks.rs"]
mod full_disks;
#[path = "runner/group_plans.rs"]
mod group_plans;
#[path = "runner/leader_meter.rs"]
mod leader_meter;
#[path = "runner/lease_table.rs"]
mod lease_table;
#[path = "runner/member_replacement.rs"]
mod member_replacement;
#[path = "runner/relay_session.rs"]
mod relay_session;
#[path = "runner/site_configuration.rs"]
mod site_configuration;
#[path = "runner/slow_links.rs"]
mod slow_links;
#[path = "runner/snapshots.rs"]
mod snapshots;
#[path = "runner/stalled_connections.rs"]
mod stalled_connections;
#[path = "runner/stalling_proxy.rs"]
mod stalling_proxy;
#[path = "runner/state_size.rs"]
mod state_size;
#[path = "runner/store_reports.rs"]
mod store_reports;
#[path = "runner/withdrawals.rs"]
mod withdrawals;
