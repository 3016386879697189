//! Names of flows, their tasks and the runs of a task.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// The digits of a flow's name.
const FLOW_ID_DIGITS: usize = 16;

/// The number by which a caller names a flow, written as 16 hexadecimal digits.
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

/// A text that names no flow.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a flow is named by 16 lower-case hexadecimal digits"))]
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

/// One task of a flow.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TaskKey {
    /// The flow.
    pub flow: FlowId,
    /// The round of a repeated flow, from zero.
    pub round: u32,
    /// The step, from zero.
    pub step: u16,
    /// The place of the task in its step, from zero.
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

/// A text that names no task of a flow.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a task of a flow is named as FLOW.ROUND.STEP.INDEX"))]
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

/// One run of a task; later runs have higher numbers, and the members of a gang share the number.
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
