//! The clocks of the host.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use roseridge_model::UnixMillis;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// A monotonic clock that counts milliseconds from its making, those in which the host was suspended
/// included: a leader that wakes up must know that its time is over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostClock {
    started_ms: u64,
}

impl HostClock {
    pub(crate) fn start() -> Self {
        Self {
            started_ms: boot_ms(),
        }
    }

    /// Returns the milliseconds of the monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.started_ms)
    }

    /// Returns the wall clock, which only stamps commands.
    pub(crate) fn wall(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |d| d.as_millis());
        UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the milliseconds since the host booted.
fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
