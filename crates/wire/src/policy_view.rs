//! The scheduler's state as operators see it.

use roseridge_model::{
    UnixMillis,
    WorkerName, //
};
use roseridge_policy::{
    DegradedGuarantee,
    GangReservation,
    GuaranteePlacement, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A worker that receives no work, or only one task, because of its failures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineView {
    /// The worker.
    pub worker: WorkerName,
    /// When it is probed; a time that has passed means that it is being probed.
    pub until: UnixMillis,
}

/// What the scheduler keeps, gives up and quarantines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyView {
    /// The guaranteed shapes that can't be kept for now.
    pub degraded: Vec<DegradedGuarantee>,
    /// The places of the other guaranteed shapes.
    pub guarantees: Vec<GuaranteePlacement>,
    /// The places that are kept for large waiting gangs.
    pub reservations: Vec<GangReservation>,
    /// The workers in quarantine.
    pub quarantined: Vec<QuarantineView>,
}
