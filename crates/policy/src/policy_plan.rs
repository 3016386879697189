//! The plan that one scheduling pass leaves to the next.

use roseridge_model::{
    CustomerName,
    JobId,
    UnixMillis,
    WorkerName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The workers that are set aside for one guaranteed shape of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteePlacement {
    /// The customer that owns the guarantee.
    pub customer: CustomerName,
    /// The position of the shape in the customer's template.
    pub shape: u16,
    /// One worker for each member of the shape.
    pub workers: Vec<WorkerName>,
}

/// A guaranteed shape that currently has no placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DegradedGuarantee {
    /// The customer that owns the guarantee.
    pub customer: CustomerName,
    /// The position of the shape in the customer's template.
    pub shape: u16,
    /// The number of accelerators of the shape.
    pub accelerators: u64,
}

/// The workers that are reserved for one waiting gang that is large or overdue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangReservation {
    /// The waiting job.
    pub job: JobId,
    /// One worker for each member.
    pub workers: Vec<WorkerName>,
    /// The time at which the reservation was made.
    pub since: UnixMillis,
}

/// The guarantees, reservations and latest migration, as of the end of the last pass.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyPlan {
    /// The placements of the guaranteed shapes.
    pub guarantees: Vec<GuaranteePlacement>,
    /// The guaranteed shapes that have no placement.
    pub degraded: Vec<DegradedGuarantee>,
    /// The reservations of large and overdue gangs.
    pub reservations: Vec<GangReservation>,
    /// The time at which all guarantees were last planned from scratch.
    #[serde(rename = "replanned")]
    pub last_replan: UnixMillis,
    /// The number of workers that could receive new work at the last replan.
    #[serde(rename = "open_workers")]
    pub schedulable_workers: usize,
    /// The time at which a gang was last migrated to free resources for a reservation.
    #[serde(rename = "moved")]
    pub last_migration: UnixMillis,
}
