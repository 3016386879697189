//! Tests of the Raft core against fake disks, a fake network and a virtual clock.

#[path = "runner/disk_replacement.rs"]
mod disk_replacement;
#[path = "runner/election_time.rs"]
mod election_time;
#[path = "runner/fake_cluster.rs"]
mod fake_cluster;
#[path = "runner/fake_disk.rs"]
mod fake_disk;
#[path = "runner/fuzz.rs"]
mod fuzz;
#[path = "runner/isolation.rs"]
mod isolation;
#[path = "runner/lagging_followers.rs"]
mod lagging_followers;
#[path = "runner/large_entries.rs"]
mod large_entries;
#[path = "runner/leadership_transfer.rs"]
mod leadership_transfer;
#[path = "runner/log_bounds.rs"]
mod log_bounds;
#[path = "runner/log_tail.rs"]
mod log_tail;
#[path = "runner/membership_changes.rs"]
mod membership_changes;
#[path = "runner/raft_rules.rs"]
mod raft_rules;
#[path = "runner/regressions.rs"]
mod regressions;
#[path = "runner/single_voter.rs"]
mod single_voter;
