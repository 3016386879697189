//! Why a job waits, and what would let it start.

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

/// Why a waiting job did not get places in a round of decisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Not enough room is free in any place that its adjacency rule allows.
    #[snafu(display("not enough room is free; it starts when enough work near together ends"))]
    NoRoom,
    /// The room that is free is kept for guarantees and the job could not be stopped once started.
    #[snafu(display(
        "what is free is guaranteed to others, and the job can't be stopped safely; it starts when \
         its customer's guarantee or unguaranteed room is free"
    ))]
    GuaranteedToOthers,
    /// Other work is being stopped to make room for it.
    #[snafu(display("room is being made; it starts when the stopped jobs have ended"))]
    MakingRoom {
        /// The jobs that are being stopped for it now.
        stopping: Vec<JobId>,
    },
    /// It holds a reservation.
    #[snafu(display("places are kept for it since {}; about ready at {}", since.0, ready_at.0))]
    Reserved {
        /// When the reservation was made.
        since: UnixMillis,
        /// When the places are expected to be free.
        ready_at: UnixMillis,
        /// The workers of the places.
        workers: Vec<WorkerName>,
    },
    /// Free room is kept for a larger job that waits.
    #[snafu(display("free room is kept for the larger job {job}; it starts after it"))]
    KeptFor {
        /// The larger job.
        job: JobId,
    },
    /// It pauses after a failure or loss.
    #[snafu(display("it pauses after a failure until {}", until.0))]
    Paused {
        /// The earliest start.
        until: UnixMillis,
    },
}

/// Everything that is known of why a job stands where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobExplanation {
    /// The job.
    pub job: JobId,
    /// Its customer.
    pub customer: CustomerName,
    /// Why it waits, if it does.
    #[serde(rename = "waits")]
    pub wait_reason: Option<WaitReason>,
    /// The same in words, with what would let it start.
    pub text: String,
    /// The job for which it was stopped last.
    pub stopped_for: Option<JobId>,
    /// How often it was stopped for other jobs.
    #[serde(rename = "yields")]
    pub preemptions: u32,
    /// The reasons of its last failures, each with its worker.
    pub failures: Vec<String>,
    /// The workers on which it failed and is not placed again.
    pub avoids: Vec<WorkerName>,
}
