//! How tasks and jobs end.

use serde::{
    Deserialize,
    Serialize, //
};

/// The largest answer of one task, in bytes.
pub const MAX_ANSWER_BYTES: usize = 65_536;

/// The whole answer of one task, with its checksum.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBody {
    /// The answer as the backend server gave it.
    pub text: String,
    /// The CRC-32 (IEEE) of the text's bytes, as the backend server gave it.
    pub crc32: u32,
}

/// How a task ended on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task ran to its end and answered.
    Done(AnswerBody),
    /// The task failed.
    Failed(String),
    /// The task was stopped on request, after it had started.
    Stopped,
    /// The task was given up before it started.
    NotStarted,
    /// The agent or the worker was lost and whether the task ran to its end is not known.
    Lost,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// Every member answered; the answers are in the order of the members.
    Done(Vec<AnswerBody>),
    /// Every member answered, and the answers are no longer kept.
    AnswersDropped,
    /// The job failed for the stated reason.
    Failed(String),
    /// The job was cancelled before any start: it did not run.
    NotRun(String),
    /// The job was cancelled after it had started.
    Cancelled,
    /// The job was started and its end can't be known.
    Unknown(String),
}
