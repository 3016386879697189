//! Tests of the replicated log against fake disks, a fake network and a virtual clock.

#[path = "runner/election_time.rs"]
mod election_time;
#[path = "runner/fake_cluster.rs"]
mod fake_cluster;
#[path = "runner/fake_disk.rs"]
mod fake_disk;
#[path = "runner/fuzz.rs"]
mod fuzz;
#[path = "runner/handover.rs"]
mod handover;
#[path = "runner/isolation.rs"]
mod isolation;
#[path = "runner/lone_voter.rs"]
mod lone_voter;
#[path = "runner/members.rs"]
mod members;
#[path = "runner/raft_rules.rs"]
mod raft_rules;
#[path = "runner/regressions.rs"]
mod regressions;
#[path = "runner/succession.rs"]
mod succession;
