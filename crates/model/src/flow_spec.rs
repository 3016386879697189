//! A flow as its caller describes it: steps of tasks, and which step follows which.

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    DurationMs,
    RackName,
    UnixMillis, //
};

/// The most tasks that all rounds of a flow may have together, the two-year size of a cluster.
pub const MAX_FLOW_TASKS: usize = 8_500;

/// What one task takes, in thousandths of a core, mebibytes and whole accelerators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TaskShape {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl TaskShape {
    /// Returns whether `other` fits into this shape.
    pub fn can_hold(&self, other: &Self) -> bool {
        self.millicores >= other.millicores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum of both shapes.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the shape with the more of each of both.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the shape with the less of each of both.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns what is left of this shape without `other`, never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// One step of a flow: a number of like tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// What each task takes.
    pub shape: TaskShape,
    /// The caller's rough estimate of a task's run time.
    pub estimate: DurationMs,
    /// The earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks only run together and end together.
    pub gang: bool,
    /// Whether the tasks slow down when they lie in more than one rack.
    pub one_rack: bool,
    /// Whether the tasks save their progress as they go.
    pub checkpointing: bool,
    /// Whether the tasks run until the flow is cancelled, however often they end.
    pub lasting: bool,
    /// The label that a worker must have.
    pub label: Option<String>,
    /// The rack in which the data lies; elsewhere the tasks are slower.
    pub data_rack: Option<RackName>,
    /// The most tasks of the step in one round that may run on one worker.
    pub spread_limit: Option<u16>,
    /// Whether the processors are taken from what other tasks leave unused.
    pub fills: bool,
}

/// When a flow that is due at set times runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// When the first round is due.
    pub first: UnixMillis,
    /// The time between two rounds.
    pub interval: DurationMs,
    /// The number of rounds.
    pub rounds: u32,
}

/// A flow as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSpec {
    /// The text that every task receives.
    pub text: String,
    /// The steps, in an order in which each step follows those that it waits for.
    pub steps: Vec<StepSpec>,
    /// When the flow is due, if it is not due at once.
    pub repeat: Option<RepeatRule>,
}

/// Why a flow can't be taken as it is described.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpecError {
    /// The flow has no steps.
    #[snafu(display("a flow has at least one step"))]
    NoSteps,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    EmptyStep {
        /// The step.
        step: usize,
    },
    /// A step waits for itself, a later step or one that is not there.
    #[snafu(display("step {step} may only wait for steps before it"))]
    BadOrder {
        /// The step.
        step: usize,
    },
    /// All rounds together have too many tasks.
    #[snafu(display("a flow has at most {MAX_FLOW_TASKS} tasks in all rounds"))]
    TooManyTasks,
}

impl FlowSpec {
    /// Returns the number of rounds.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.rounds.max(1))
    }

    /// Checks that the steps can be run in their order.
    ///
    /// # Errors
    ///
    /// Returns a [`SpecError`] that names the first step which is wrong.
    pub fn check(&self) -> Result<(), SpecError> {
        let tasks: usize = self.steps.iter().map(|s| usize::from(s.count)).sum();
        let rounds = usize::try_from(self.rounds()).unwrap_or(usize::MAX);
        if self.steps.is_empty() {
            return NoStepsSnafu.fail();
        }
        if tasks.saturating_mul(rounds) > MAX_FLOW_TASKS {
            return TooManyTasksSnafu.fail();
        }
        for (step, spec) in self.steps.iter().enumerate() {
            match spec {
                spec if spec.count == 0 => return EmptyStepSnafu { step }.fail(),
                spec if spec
                    .after
                    .iter()
                    .any(|earlier| usize::from(*earlier) >= step) =>
                {
                    return BadOrderSnafu { step }.fail();
                }
                _ => {}
            }
        }
        Ok(())
    }
}
