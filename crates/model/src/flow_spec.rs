//! The description of a flow: its steps, their tasks and the dependencies between steps.

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

/// The maximum number of tasks in all rounds of a flow: the expected size of a cluster in two
/// years.
pub const MAX_FLOW_TASKS: usize = 8_500;

/// An amount of resources, such as the needs of one task of a flow.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TaskShape {
    /// Processor time, in thousandths of a core.
    pub millicores: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// The number of whole accelerators.
    pub accelerators: u32,
}

impl TaskShape {
    /// Returns whether `other` fits into this shape in every resource.
    pub fn can_hold(&self, other: &Self) -> bool {
        self.millicores >= other.millicores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum of both shapes, saturating at the maximum value of each resource.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns this shape minus `other`, saturating at zero in each resource.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// One step of a flow, which consists of a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// The resources that each task needs.
    pub shape: TaskShape,
    /// The caller's rough estimate of a task's run time.
    pub estimate: DurationMs,
    /// The indices of the earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks form a gang, which runs and ends together.
    pub gang: bool,
    /// Whether the tasks run slower if they are placed in more than one rack.
    pub one_rack: bool,
    /// Whether the tasks write checkpoints while they run.
    pub checkpointing: bool,
    /// Whether the tasks are restarted whenever they end, until the flow is cancelled.
    pub lasting: bool,
    /// The label that a worker must have, if any.
    pub label: Option<String>,
    /// The rack that stores the tasks' data; tasks in other racks run slower.
    pub data_rack: Option<RackName>,
    /// The maximum number of tasks of the step in one round that may run on the same worker.
    pub spread_limit: Option<u16>,
    /// Whether the tasks use only processor capacity that other tasks leave unused.
    pub fills: bool,
}

/// The schedule of a flow that is due at given times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// The time at which the first round is due.
    pub first: UnixMillis,
    /// The time between the due times of two consecutive rounds.
    pub interval: DurationMs,
    /// The number of rounds.
    pub rounds: u32,
}

/// The description of a flow by its caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSpec {
    /// The text that every task receives.
    pub text: String,
    /// The steps, each after the steps that it depends on.
    pub steps: Vec<StepSpec>,
    /// The schedule of the flow; `None` if it is due once and immediately.
    pub repeat: Option<RepeatRule>,
}

/// The reason for which a flow's description is invalid.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpecError {
    /// The flow has no steps.
    #[snafu(display("a flow must have at least one step"))]
    NoSteps,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    EmptyStep {
        /// The index of the step.
        step: usize,
    },
    /// A step depends on itself, on a later step or on a step that does not exist.
    #[snafu(display("step {step} may only depend on earlier steps"))]
    BadOrder {
        /// The index of the step.
        step: usize,
    },
    /// All rounds together have more than [`MAX_FLOW_TASKS`] tasks.
    #[snafu(display("a flow has at most {MAX_FLOW_TASKS} tasks in all rounds"))]
    TooManyTasks,
}

impl FlowSpec {
    /// Returns the number of rounds, which is at least one.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.rounds.max(1))
    }

    /// Checks the number of tasks and the dependencies of the steps.
    ///
    /// # Errors
    ///
    /// Returns a [`SpecError`] for the first error found.
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
