//! The payload that determines what a task of the fake backend server does.

use serde::{
    Deserialize,
    Serialize, //
};

/// The run time of a task whose payload is not a [`FakePayload`], in milliseconds.
const DEFAULT_RUN_MS: u64 = 20;

/// The payload of a task.
///
/// Jobs carry it as JSON. A task with any other payload runs for a default time and returns the
/// payload as its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FakePayload {
    /// The run time of the task, in milliseconds.
    pub run_ms: u64,
    /// The answer of the task.
    #[serde(default)]
    pub answer: String,
    /// The reason for the failure, if the task fails.
    #[serde(default)]
    pub fail: Option<String>,
}

impl FakePayload {
    /// Parses the payload of a job; text that is not a [`FakePayload`] becomes the answer.
    pub(crate) fn parse(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_else(|_| Self {
            run_ms: DEFAULT_RUN_MS,
            answer: payload.to_owned(),
            fail: None,
        })
    }

    /// Returns the JSON text to submit as the payload of a job.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
