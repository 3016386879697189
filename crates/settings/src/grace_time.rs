//! The time that a process has to stop.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// The shortest accepted time, in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// The longest accepted time, in seconds.
const MAX_GRACE_S: f64 = 3_600.0;

/// The time after which a process that was asked to stop is killed, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct GraceTime(Duration);

impl GraceTime {
    /// Returns the time as a duration.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl Default for GraceTime {
    /// Returns six seconds, as on the users' installations.
    fn default() -> Self {
        Self(Duration::from_secs(6))
    }
}

impl TryFrom<f64> for GraceTime {
    type Error = String;

    fn try_from(seconds: f64) -> Result<Self, Self::Error> {
        match (MIN_GRACE_S..=MAX_GRACE_S).contains(&seconds) {
            true => Ok(Self(Duration::from_secs_f64(seconds))),
            false => Err("use a stop_grace_s from 1 to 3600".to_owned()),
        }
    }
}

impl From<GraceTime> for f64 {
    fn from(grace: GraceTime) -> Self {
        grace.0.as_secs_f64()
    }
}
