//! The expiry of each worker's lease, by the leader's monotonic clock.

use std::collections::BTreeSet;

use roseridge_model::{
    FastMap,
    IncarnationId,
    WorkerName, //
};

/// Interval at which an expired lease is returned again until it is ended, in milliseconds.
///
/// The loss of the worker is thereby proposed again if its first proposal was not committed.
const REPEAT_INTERVAL_MS: u64 = 1_000;

/// The leases of workers' agents, with one timer for each worker in one ordered set.
#[derive(Debug)]
pub struct LeaseTable {
    duration_ms: u64,
    leases: FastMap<WorkerName, (IncarnationId, u64)>,
    timers: BTreeSet<(u64, WorkerName)>,
}

impl LeaseTable {
    /// Creates an empty table of leases that expire `duration_ms` after their last renewal.
    pub fn new(duration_ms: u64) -> Self {
        Self {
            duration_ms,
            leases: FastMap::default(),
            timers: BTreeSet::new(),
        }
    }

    /// Starts the lease of an incarnation of a worker's agent, in place of the lease of any other
    /// incarnation.
    pub fn start(&mut self, worker: &WorkerName, incarnation: IncarnationId, now_ms: u64) {
        self.set_expiry(worker, incarnation, now_ms + self.duration_ms);
    }

    /// Renews a lease if it belongs to this incarnation of the agent.
    pub fn renew(&mut self, worker: &WorkerName, incarnation: IncarnationId, now_ms: u64) {
        match self.leases.get(worker) {
            Some((known, _)) if *known == incarnation => self.start(worker, incarnation, now_ms),
            _ => {}
        }
    }

    /// Ends the lease of a worker.
    pub fn end(&mut self, worker: &WorkerName) {
        if let Some((_, expiry_ms)) = self.leases.remove(worker) {
            self.timers.remove(&(expiry_ms, worker.clone()));
        }
    }

    /// Returns the expired leases. Each is returned again after an interval until it is ended.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(WorkerName, IncarnationId)> {
        let mut expired = Vec::new();
        while let Some((expiry_ms, worker)) = self.timers.first().cloned() {
            if expiry_ms > now_ms {
                break;
            }
            self.timers.pop_first();
            if let Some((incarnation, _)) = self.leases.get(&worker).copied() {
                self.set_expiry(&worker, incarnation, now_ms + REPEAT_INTERVAL_MS);
                expired.push((worker, incarnation));
            }
        }
        expired
    }

    fn set_expiry(&mut self, worker: &WorkerName, incarnation: IncarnationId, expiry_ms: u64) {
        self.end(worker);
        self.leases.insert(worker.clone(), (incarnation, expiry_ms));
        self.timers.insert((expiry_ms, worker.clone()));
    }
}
