//! The intervals of elections and heartbeats.

/// Intervals in milliseconds of the host's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTiming {
    /// The time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// The shortest time without a leader after which an election starts.
    ///
    /// A leader that has heard no majority for this long steps down, and a follower that has heard a
    /// leader within it grants nobody a vote, so an old leader is silent before a new one leads.
    pub election_min_ms: u64,
    /// The random part that is added to the shortest time, to keep candidates apart.
    pub election_spread_ms: u64,
    /// The most entries in one append message.
    pub append_entries: usize,
    /// The most payload bytes in one append message, though always at least one entry.
    pub append_bytes: usize,
    /// The entries before a snapshot that stay in memory for followers that lag a little.
    pub retained_entries: u64,
    /// The applied entries after which a new snapshot pays.
    pub snapshot_threshold: u64,
}

impl ReplicaTiming {
    /// Returns how long after a majority's sign a leader may serve.
    ///
    /// It is shorter than the followers' promise, so that clocks may differ a little in rate.
    pub(crate) fn serve_ms(&self) -> u64 {
        self.election_min_ms - self.election_min_ms / 10
    }

    /// Returns the time between two requests to join.
    pub(crate) fn join_ms(&self) -> u64 {
        self.heartbeat_ms * 2
    }

    /// Returns how long a member hears no leader before it asks whether it was removed.
    pub(crate) fn lonely_ms(&self) -> u64 {
        self.election_min_ms * 4
    }

    /// Returns how long a request to join is remembered.
    pub(crate) fn join_valid_ms(&self) -> u64 {
        self.election_min_ms * 10
    }
}

impl Default for ReplicaTiming {
    fn default() -> Self {
        Self {
            heartbeat_ms: 150,
            election_min_ms: 600,
            election_spread_ms: 400,
            append_entries: 256,
            append_bytes: 131_072,
            retained_entries: 256,
            snapshot_threshold: 1_024,
        }
    }
}
