//! The monotonic clock and the wall clock of the host.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use roseridge_model::UnixMillis;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// A monotonic clock that counts milliseconds from its creation.
///
/// It includes the time during which the host was suspended, so that a leader that resumes notices
/// that its leadership has expired.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostClock {
    started_ms: u64,
}

impl HostClock {
    /// Starts the clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            started_ms: boot_ms(),
        }
    }

    /// Returns the time since the clock was started, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.started_ms)
    }

    /// Returns the time of the wall clock, which is used only as a timestamp.
    ///
    /// Returns zero for times before 1970.
    pub(crate) fn wall_time(&self) -> UnixMillis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = elapsed.map_or(0, |d| d.as_millis());
        UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the host booted, in milliseconds.
fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
