//! Guards against default settings that differ from the defaults of the components.

use std::time::Duration;

use roseridge_control::LeaseTiming;
use roseridge_entry::EntryLimits;
use roseridge_quorum::ReplicaTiming;
use roseridge_settings::default_settings;

#[test]
fn default_timing_matches_the_replica() {
    let shipped = default_settings().timing;
    let timing = ReplicaTiming::default();
    assert_eq!(shipped.heartbeat_ms, timing.heartbeat_ms);
    assert_eq!(shipped.election_min_ms, timing.election_min_ms);
    assert_eq!(shipped.election_spread_ms, timing.election_spread_ms);
    let lease = LeaseTiming::default();
    assert_eq!(shipped.lease_ms, lease.lease_ms);
    assert_eq!(shipped.lease_margin_ms, lease.margin_ms);
}

#[test]
fn default_limits_match_the_entry() {
    let shipped = default_settings().entry_limits;
    let limits = EntryLimits::default();
    assert_eq!(shipped.connections, limits.server.connections);
    assert_eq!(shipped.call_queue, limits.call_queue);
    let header_timeout = Duration::from_millis(shipped.header_timeout_ms);
    assert_eq!(header_timeout, limits.server.header_timeout);
}
