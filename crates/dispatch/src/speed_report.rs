//! The bounded report of learned speeds to operators.

use std::fmt;

use roseridge_model::{
    BackendId,
    UnixMillis, //
};

use crate::{
    DispatchView,
    known_speeds, //
};

/// The minimum time between two reports, in milliseconds. It keeps speeds that change with every run from
/// filling the log.
const REPORT_INTERVAL_MS: u64 = 10_000;
/// The maximum number of backend servers that a report names.
const MAX_NAMED: usize = 8;
/// The maximum speed of a backend server that is reported as slow.
const SLOW_SPEED: f64 = 0.8;

/// The slow backend servers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpeedSummary {
    /// The number of slow backend servers.
    pub count: usize,
    /// The slowest ones, with their speeds relative to the usual one.
    pub slowest: Vec<(BackendId, f64)>,
}

impl fmt::Display for SpeedSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = self.slowest.iter();
        let named: Vec<_> = named
            .map(|(id, speed)| format!("{id}={speed:.2}"))
            .collect();
        formatter.write_str(&named.join(" "))
    }
}

/// Reports the slow backend servers when their number changes.
#[derive(Debug, Clone, Default)]
pub struct SpeedReport {
    /// The time of the last check and the number of slow backend servers that was reported last.
    last: Option<(UnixMillis, usize)>,
}

impl SpeedReport {
    /// Returns a summary if the number of slow backend servers has changed since the last report, at
    /// most once in ten seconds.
    pub fn update(&mut self, view: &DispatchView<'_>) -> Option<SpeedSummary> {
        let reported = match self.last {
            Some((at, _)) if view.now.since(at).0 < REPORT_INTERVAL_MS => return None,
            Some((_, reported)) => reported,
            None => 0,
        };
        let mut slow: Vec<_> = known_speeds(view)
            .into_iter()
            .filter(|(_, speed)| *speed <= SLOW_SPEED)
            .map(|(id, speed)| (id.clone(), speed))
            .collect();
        let count = slow.len();
        self.last = Some((view.now, count));
        slow.sort_by(|a, b| a.1.total_cmp(&b.1));
        slow.truncate(MAX_NAMED);
        (count != reported).then_some(SpeedSummary {
            count,
            slowest: slow,
        })
    }
}
