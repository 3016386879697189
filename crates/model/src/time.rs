//! Points in time and durations, in milliseconds.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// A wall-clock time in milliseconds since the Unix epoch, as set by the leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationMs(pub u64);

impl UnixMillis {
    /// Returns the time that is `span` later, saturating at the maximum value.
    pub fn plus(self, span: DurationMs) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl From<DurationMs> for Duration {
    fn from(span: DurationMs) -> Self {
        Self::from_millis(span.0)
    }
}
