//! Tests of the durable store on real files.

#[path = "runner/damage.rs"]
mod damage;
#[path = "runner/faults.rs"]
mod faults;
#[path = "runner/fixtures.rs"]
mod fixtures;
#[path = "runner/identity.rs"]
mod identity;
#[path = "runner/installed_snapshots.rs"]
mod installed_snapshots;
#[path = "runner/low_space.rs"]
mod low_space;
#[path = "runner/reappearing_files.rs"]
mod reappearing_files;
#[path = "runner/replay.rs"]
mod replay;
#[path = "runner/space_reserve.rs"]
mod space_reserve;
#[path = "runner/usage.rs"]
mod usage;
#[path = "runner/vanishing_files.rs"]
mod vanishing_files;
