//! Timeouts of elections and heartbeats, and limits of appends and snapshots.

/// The timing and batching parameters of a replica.
///
/// Times are in milliseconds of the host's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTiming {
    /// The time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// The minimum time without contact with a leader after which an election starts.
    ///
    /// A leader without contact with a majority for this long steps down, and a follower that had
    /// contact with a leader within this time grants no vote. An old leader therefore stops serving
    /// before a new one is elected.
    pub election_min_ms: u64,
    /// The maximum random time that is added to `election_min_ms`, which makes split votes
    /// unlikely.
    pub election_spread_ms: u64,
    /// The maximum number of entries in one append message.
    pub max_append_entries: usize,
    /// The maximum size of the entries in one append message and of the state in one snapshot
    /// chunk, in bytes. An append may exceed it by holding a single larger entry.
    pub max_append_bytes: usize,
    /// The number of entries before a snapshot that stay in memory, for followers that lag slightly.
    /// More of them stay if a follower in contact needs them.
    pub retained_entries: u64,
    /// The maximum size of the entries before a snapshot that stay in memory, in bytes, unless the
    /// snapshot itself is larger. Sending the snapshot to a follower then costs no more than sending
    /// the entries.
    pub max_retained_bytes: usize,
    /// The number of entries applied since the newest snapshot after which to take a new one.
    pub snapshot_threshold: u64,
    /// The size of the entries applied since the newest snapshot after which to take a new one, in
    /// bytes, unless that snapshot is larger. Snapshots then never write more than the log does.
    pub snapshot_threshold_bytes: usize,
}

impl ReplicaTiming {
    /// Returns the duration of a leader's lease after its last contact with a majority.
    ///
    /// The lease is a tenth shorter than the time for which followers withhold their votes, to
    /// tolerate small differences in clock rate.
    pub(crate) fn leader_lease_ms(&self) -> u64 {
        self.election_min_ms - self.election_min_ms / 10
    }

    /// Returns the time between two join requests.
    pub(crate) fn join_interval_ms(&self) -> u64 {
        self.heartbeat_ms * 2
    }

    /// Returns the time without contact with a leader after which a member sends join requests, in
    /// case it was removed.
    pub(crate) fn rejoin_after_ms(&self) -> u64 {
        self.election_min_ms * 4
    }

    /// Returns the time for which a join request is valid.
    pub(crate) fn join_request_ttl_ms(&self) -> u64 {
        self.election_min_ms * 10
    }
}

impl Default for ReplicaTiming {
    fn default() -> Self {
        Self {
            heartbeat_ms: 150,
            election_min_ms: 600,
            election_spread_ms: 400,
            max_append_entries: 256,
            max_append_bytes: 131_072,
            retained_entries: 256,
            max_retained_bytes: 4 * 1_048_576,
            snapshot_threshold: 1_024,
            snapshot_threshold_bytes: 8 * 1_048_576,
        }
    }
}
