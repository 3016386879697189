//! Identifiers of flows, of their tasks and of the runs of a task.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// The number of hexadecimal digits of a flow identifier.
const FLOW_ID_DIGITS: usize = 16;

/// The identifier of a flow, which its caller chooses; written as 16 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FlowId(pub u64);

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error for a text that is not a flow identifier.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a flow identifier consists of 16 lower-case hexadecimal digits"))]
pub struct FlowIdError;

impl FromStr for FlowId {
    type Err = FlowIdError;

    fn from_str(text: &str) -> Result<Self, FlowIdError> {
        let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
        match u64::from_str_radix(text, 16) {
            Ok(number) if text.len() == FLOW_ID_DIGITS && text.chars().all(is_digit) => {
                Ok(Self(number))
            }
            _ => Err(FlowIdError),
        }
    }
}

/// The identifier of a task of a flow.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TaskKey {
    /// The flow.
    pub flow: FlowId,
    /// The number of the repetition of a repeating flow, from zero.
    pub round: u32,
    /// The index of the step in its flow, from zero.
    pub step: u16,
    /// The index of the task in its step, from zero.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            flow,
            round,
            step,
            index,
        } = self;
        write!(f, "{flow}.{round}.{step}.{index}")
    }
}

/// The error for a text that is not an identifier of a flow's task.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a task of a flow is identified as FLOW.ROUND.STEP.INDEX"))]
pub struct TaskKeyError;

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, TaskKeyError> {
        let mut parts = text.split('.');
        let flow = parts.next().and_then(|p| p.parse().ok());
        let round = parts.next().and_then(|p| p.parse().ok());
        let step = parts.next().and_then(|p| p.parse().ok());
        let index = parts.next().and_then(|p| p.parse().ok());
        match (flow, round, step, index, parts.next()) {
            (Some(flow), Some(round), Some(step), Some(index), None) => Ok(Self {
                flow,
                round,
                step,
                index,
            }),
            _ => Err(TaskKeyError),
        }
    }
}

/// The identifier of a run of a task.
///
/// Later runs of a task have higher numbers; the members of a gang share the number of their run.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The number of the run, from one.
    pub run: u32,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}
