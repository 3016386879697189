//! Outcomes of tasks and jobs, and the answers of tasks.

use serde::{
    Deserialize,
    Serialize, //
};

/// The maximum size of a task's answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 65_536;

/// The complete answer of one task, with its checksum.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBody {
    /// The text of the answer, as returned by the backend server.
    pub text: String,
    /// The CRC-32 (IEEE) of the text's bytes, as returned by the backend server.
    pub crc32: u32,
}

/// The outcome of a task on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task completed with an answer.
    Done(AnswerBody),
    /// The task failed for the stated reason.
    Failed(String),
    /// The task was stopped on request after it had started.
    Stopped,
    /// The task was abandoned before it started.
    NotStarted,
    /// The agent or the worker was lost, and it is unknown whether the task completed.
    Lost,
}

/// The outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// Every member completed; the answers are in the order of the members.
    Done(Vec<AnswerBody>),
    /// Every member completed, and the answers are no longer kept.
    AnswersDropped,
    /// The job failed for the stated reason.
    Failed(String),
    /// The job ended before any start for the stated reason: it was cancelled, or it could not be
    /// started within its attempts.
    NotRun(String),
    /// The job was cancelled after it had started.
    Cancelled,
    /// The job was started, and its outcome can't be determined for the stated reason.
    Unknown(String),
}
