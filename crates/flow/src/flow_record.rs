//! What is kept of a flow, its rounds, steps and tasks.

use roseridge_model::{
    BackendId,
    CustomerName,
    DurationMs,
    FlowSpec,
    QueueRule,
    RunKey,
    StepSpec,
    TaskKey,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Where a flow stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowPhase {
    /// Some of its tasks wait or run.
    Open,
    /// All its tasks are done.
    Done {
        /// When the last one was.
        at: UnixMillis,
    },
    /// A task, or a gang, failed as often as it may.
    Failed {
        /// When.
        at: UnixMillis,
    },
    /// It was cancelled.
    Cancelled {
        /// When.
        at: UnixMillis,
    },
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// It waits for a place, or for steps before it.
    Waiting,
    /// It has a place; it may run there until the end of that run is known.
    Placed {
        /// The number of the run.
        run: u32,
        /// The backend server.
        backend: BackendId,
        /// When it was placed.
        at: UnixMillis,
    },
    /// It is done.
    Done,
}

impl TaskPhase {
    /// Returns whether the task stands in a run of this number.
    pub fn is_placed_in(&self, run: RunKey) -> bool {
        matches!(self, Self::Placed { run: number, .. } if *number == run.run)
    }
}

/// What is kept of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    /// Where it stands.
    pub phase: TaskPhase,
    /// The number of its last run; zero before the first.
    pub last_run: u32,
    /// The runs that failed; a gang counts them in its step.
    pub failures: u32,
    /// The newest checkpoint, or nothing; a gang keeps it in its step.
    pub saved: String,
    /// About how much work the checkpoint stands for.
    pub saved_work: DurationMs,
}

impl TaskRecord {
    const FRESH: Self = Self {
        phase: TaskPhase::Waiting,
        last_run: 0,
        failures: 0,
        saved: String::new(),
        saved_work: DurationMs(0),
    };
}

/// What is kept of a step in one round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepRecord {
    /// The tasks.
    pub tasks: Vec<TaskRecord>,
    /// The runs of the gang that failed.
    pub gang_failures: u32,
    /// The last run of the gang that was counted as failed.
    pub failed_run: u32,
}

impl StepRecord {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskRecord::FRESH; usize::from(spec.count)],
            gang_failures: 0,
            failed_run: 0,
        }
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.phase == TaskPhase::Done)
    }

    /// Returns the checkpoint that stands for the most work among the tasks, with that work.
    pub fn newest_checkpoint(&self) -> (&str, DurationMs) {
        let saved = self.tasks.iter().filter(|t| !t.saved.is_empty());
        let newest = saved.max_by_key(|t| t.saved_work);
        newest.map_or(("", DurationMs(0)), |t| (&t.saved, t.saved_work))
    }
}

/// One round of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoundRecord {
    /// When it is due, if not at once.
    pub due: Option<UnixMillis>,
    /// The steps.
    pub steps: Vec<StepRecord>,
}

/// What is kept of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowRecord {
    /// Whose flow it is.
    pub customer: Option<CustomerName>,
    /// The rules of its queue, as they were known last.
    pub queue: QueueRule,
    /// The flow.
    pub spec: FlowSpec,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// Where it stands.
    pub phase: FlowPhase,
    /// The rounds.
    pub rounds: Vec<RoundRecord>,
}

impl FlowRecord {
    pub(crate) fn new(
        customer: Option<CustomerName>,
        queue: QueueRule,
        spec: FlowSpec,
        accepted: UnixMillis,
    ) -> Self {
        let rounds = (0..spec.rounds()).map(|round| RoundRecord {
            due: spec.repeat.map(|repeat| {
                let offset = repeat.interval.0.saturating_mul(u64::from(round));
                repeat.first.plus(DurationMs(offset))
            }),
            steps: spec.steps.iter().map(StepRecord::new).collect(),
        });
        Self {
            rounds: rounds.collect(),
            customer,
            queue,
            spec,
            accepted,
            phase: FlowPhase::Open,
        }
    }

    /// Returns what is kept of a task.
    pub fn task(&self, key: TaskKey) -> Option<&TaskRecord> {
        let step = self.step(key)?;
        step.tasks.get(usize::from(key.index))
    }

    /// Returns what is kept of a task's step.
    pub fn step(&self, key: TaskKey) -> Option<&StepRecord> {
        let round = self.rounds.get(usize::try_from(key.round).ok()?)?;
        round.steps.get(usize::from(key.step))
    }

    /// Returns whether a task's step is a gang.
    pub fn is_gang(&self, task: TaskKey) -> bool {
        self.step_spec(task).is_some_and(|spec| spec.gang)
    }

    /// Returns the runs of a task's step that stand in the same run as this one.
    pub fn gang_runs(&self, run: RunKey) -> Vec<RunKey> {
        let tasks = self.step(run.task).map_or(&[][..], |step| &step.tasks);
        let members = (0..).zip(tasks).filter(|(_, t)| t.phase.is_placed_in(run));
        let keys = members.map(|(index, _)| RunKey {
            task: TaskKey { index, ..run.task },
            ..run
        });
        keys.collect()
    }

    /// Returns the description of a task's step.
    pub fn step_spec(&self, key: TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(key.step))
    }

    pub(crate) fn step_mut(&mut self, key: TaskKey) -> Option<&mut StepRecord> {
        let round = self.rounds.get_mut(usize::try_from(key.round).ok()?)?;
        round.steps.get_mut(usize::from(key.step))
    }

    /// Returns whether every step that a step waits for is done.
    pub fn can_start(&self, key: TaskKey) -> bool {
        let round = usize::try_from(key.round)
            .ok()
            .and_then(|r| self.rounds.get(r));
        let (Some(round), Some(spec)) = (round, self.step_spec(key)) else {
            return false;
        };
        let earlier = spec.after.iter().map(|step| usize::from(*step));
        earlier
            .map(|step| round.steps.get(step))
            .all(|step| step.is_some_and(StepRecord::is_done))
    }

    /// Returns whether every task of every round is done.
    pub fn is_done(&self) -> bool {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        steps.into_iter().all(StepRecord::is_done)
    }

    /// Returns whether every task of the steps that wait for no others was given a place.
    pub fn has_fully_started(&self) -> bool {
        let Some(round) = self.rounds.first() else {
            return false;
        };
        let first = self.spec.steps.iter().zip(&round.steps);
        let mut first = first.filter(|(spec, _)| spec.after.is_empty());
        first.all(|(_, step)| step.tasks.iter().all(|task| task.last_run > 0))
    }

    /// Returns whether any task was ever given a place.
    pub fn has_started(&self) -> bool {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| task.last_run > 0)
    }
}
