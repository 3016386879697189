//! Guarantees, reservations and quarantines as operators see them.

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

/// A worker that receives no task, or a single probe task, because of its failures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineView {
    /// The worker.
    pub worker: WorkerName,
    /// When it is probed. A time in the past means that the probe has begun.
    pub until: UnixMillis,
}

/// The guarantees, reservations and quarantined workers of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyView {
    /// The guaranteed shapes that can't be reserved at present.
    pub degraded: Vec<DegradedGuarantee>,
    /// The placements of the other guaranteed shapes.
    pub guarantees: Vec<GuaranteePlacement>,
    /// The capacity that is reserved for large waiting gangs.
    pub reservations: Vec<GangReservation>,
    /// The workers in quarantine.
    pub quarantined: Vec<QuarantineView>,
}
