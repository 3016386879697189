//! The agent's lease, measured on its monotonic clock.

use std::time::{
    Duration,
    Instant, //
};

/// What the lease allows the agent to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// There is no lease: every task is stopped.
    Expired,
    /// The lease of an earlier incarnation has not expired: tasks keep running, and nothing is started.
    Inherited,
    /// The lease is valid: orders are carried out.
    Valid,
}

/// The end of the agent's lease and of the one inherited from an earlier incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeaseClock {
    valid_until: Option<Instant>,
    inherited_until: Option<Instant>,
}

impl LeaseClock {
    /// Extends the lease to `lease` after the time at which a report was sent; it is never shortened.
    pub(crate) fn renew(&mut self, sent_at: Instant, lease: Duration) {
        self.valid_until = self.valid_until.max(Some(sent_at + lease));
    }

    /// Sets the time until which the tasks of an earlier incarnation keep running without orders.
    pub(crate) fn inherit(&mut self, until: Instant) {
        self.inherited_until = Some(until);
    }

    /// Starts a new incarnation, which has no lease of its own and inherits the rest of the last one.
    pub(crate) fn start_incarnation(&mut self) {
        self.inherited_until = self.valid_until.take().or(self.inherited_until);
    }

    /// Returns the state of the lease.
    pub(crate) fn state(&self, now: Instant) -> LeaseState {
        match (self.valid_until, self.inherited_until) {
            (Some(until), _) if now < until => LeaseState::Valid,
            (None, Some(until)) if now < until => LeaseState::Inherited,
            _ => LeaseState::Expired,
        }
    }

    /// Returns whether this incarnation had a lease that has expired.
    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }

    /// Returns the end of this incarnation's lease, or of the inherited one before the first renewal.
    pub(crate) fn end(&self) -> Option<Instant> {
        self.valid_until.or(self.inherited_until)
    }
}
