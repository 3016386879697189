//! The reasons why a job waits, and the conditions under which it can start.

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
use snafu::Snafu;

/// The reason why a scheduling pass did not place a waiting job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No group of workers that its adjacency rule allows has enough free resources.
    #[serde(rename = "no_room")]
    #[snafu(display(
        "not enough resources are free; it starts when enough adjacent work has completed"
    ))]
    NoCapacity,
    /// The free resources are set aside for guarantees, and the job can't be preempted once it
    /// runs.
    #[snafu(display(
        "the free resources are guaranteed to other customers, and the job can't be preempted \
         safely; it starts when resources within its customer's guarantee or outside all \
         guarantees are free"
    ))]
    GuaranteedToOthers,
    /// Other jobs are being preempted in its favour.
    #[serde(rename = "making_room")]
    #[snafu(display("other jobs are being preempted for it; it starts when they have stopped"))]
    AwaitingPreemption {
        /// The jobs that this pass preempts in its favour.
        stopping: Vec<JobId>,
    },
    /// It holds a reservation.
    #[serde(rename = "reserved")]
    #[snafu(display(
        "workers have been reserved for it since {}; they are expected to be free at {}",
        since.0,
        ready_at.0
    ))]
    HasReservation {
        /// The time at which the reservation was made.
        since: UnixMillis,
        /// The time at which the reserved resources are expected to be free.
        ready_at: UnixMillis,
        /// One worker for each member of the gang.
        workers: Vec<WorkerName>,
    },
    /// The free resources are reserved for another waiting job, which is large or overdue.
    #[serde(rename = "kept_for")]
    #[snafu(display("the free resources are reserved for job {job}; it starts after that job"))]
    ReservedForLarger {
        /// The job that holds the reservation.
        job: JobId,
    },
    /// It backs off after a failure or the loss of a worker.
    #[serde(rename = "paused")]
    #[snafu(display("it is in retry backoff after a failure until {}", until.0))]
    BackingOff {
        /// The earliest time at which it may start.
        until: UnixMillis,
    },
}

/// The explanation of a job's current scheduling state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobExplanation {
    /// The job.
    pub job: JobId,
    /// The customer that owns the job.
    pub customer: CustomerName,
    /// The reason why it waits, if it does.
    #[serde(rename = "waits")]
    pub wait_reason: Option<WaitReason>,
    /// The state as text, with the condition under which a waiting job starts.
    pub text: String,
    /// The job in whose favour it was last preempted.
    pub stopped_for: Option<JobId>,
    /// The number of times it was preempted.
    #[serde(rename = "yields")]
    pub preemptions: u32,
    /// The reasons of its most recent failures, each prefixed with the worker's name.
    pub failures: Vec<String>,
    /// The workers on which it failed, and which it avoids.
    pub avoids: Vec<WorkerName>,
}
