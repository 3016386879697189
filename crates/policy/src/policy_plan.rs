//! The part of the decisions that outlasts one round.

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

/// The places that stand ready for one guaranteed shape of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteePlacement {
    /// The customer.
    pub customer: CustomerName,
    /// The position of the shape in the customer's template.
    pub shape: u16,
    /// A worker for each member of the shape.
    pub workers: Vec<WorkerName>,
}

/// A guaranteed shape that can't be kept for now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DegradedGuarantee {
    /// The customer.
    pub customer: CustomerName,
    /// The position of the shape in the customer's template.
    pub shape: u16,
    /// The accelerators of the shape.
    pub accelerators: u64,
}

/// The places that are kept for one large waiting gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangReservation {
    /// The waiting job.
    pub job: JobId,
    /// A worker for each member.
    pub workers: Vec<WorkerName>,
    /// When the reservation was made.
    pub since: UnixMillis,
}

/// Guarantees, reservations and the newest move, as the last round left them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyPlan {
    /// The places of the guaranteed shapes.
    pub guarantees: Vec<GuaranteePlacement>,
    /// The guaranteed shapes that have no places.
    pub degraded: Vec<DegradedGuarantee>,
    /// The reservations of large gangs.
    pub reservations: Vec<GangReservation>,
    /// When all guarantees were last planned anew.
    pub replanned: UnixMillis,
    /// The workers that could be used then.
    pub open_workers: usize,
    /// When work was last moved to make room for a large gang.
    pub moved: UnixMillis,
}
