//! The records of flows, their rounds, steps and tasks.

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
use sha2::{
    Digest,
    Sha256, //
};

use crate::withdrawn_flows::is_same_owner;

/// The bytes that a record is assumed to take besides its texts, steps and tasks.
const RECORD_BYTES: usize = 256;
/// The bytes that one step is assumed to take besides its texts and tasks.
const STEP_BYTES: usize = 128;
/// The bytes that one task is assumed to take: a placed one with a checkpoint, encoded.
const TASK_BYTES: usize = 64;
/// What the digest of a text begins with in the record of an ended flow.
const DIGEST_PREFIX: &str = "sha256:";

/// The phase of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowPhase {
    /// Some of its tasks are waiting or running.
    Open,
    /// All its tasks are done.
    Done {
        /// The time at which the last task was done.
        at: UnixMillis,
    },
    /// A task or a gang reached the queue's limit of failed attempts, or the limit of crashes.
    Failed {
        /// The time at which this happened.
        at: UnixMillis,
    },
    /// The flow was cancelled.
    Cancelled {
        /// The time at which this happened.
        at: UnixMillis,
    },
}

/// The phase of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The task waits to be placed, or for the steps that it depends on.
    Waiting,
    /// The task is placed; it may be running there until the end of that run is known.
    Placed {
        /// The number of the run.
        run: u32,
        /// The backend server that it is placed on.
        backend: BackendId,
        /// The time of the placement.
        at: UnixMillis,
    },
    /// The task is done.
    Done,
}

impl TaskPhase {
    /// Returns whether the task is placed in a run with the number of `run`.
    pub fn is_placed_in(&self, run: RunKey) -> bool {
        matches!(self, Self::Placed { run: number, .. } if *number == run.run)
    }
}

/// The record of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The number of its last run, or zero before the first one.
    pub last_run: u32,
    /// The number of failed runs; those of a gang are counted in [`StepRecord::gang_failures`].
    pub failures: u32,
    /// The newest checkpoint that this task reported; empty if there is none. A gang resumes from
    /// [`StepRecord::newest_checkpoint`].
    pub saved: String,
    /// The approximate run time that the checkpoint covers, over all runs of the task.
    pub saved_work: DurationMs,
}

impl TaskRecord {
    const INITIAL: Self = Self {
        phase: TaskPhase::Waiting,
        last_run: 0,
        failures: 0,
        saved: String::new(),
        saved_work: DurationMs(0),
    };
}

/// The record of a step in one round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepRecord {
    /// The tasks.
    pub tasks: Vec<TaskRecord>,
    /// The number of failed runs of the gang; each run is counted once for all its members.
    pub gang_failures: u32,
    /// The number of the last run of the gang that was counted as failed.
    pub failed_run: u32,
}

impl StepRecord {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskRecord::INITIAL; usize::from(spec.count)],
            gang_failures: 0,
            failed_run: 0,
        }
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.phase == TaskPhase::Done)
    }

    /// Returns the checkpoint that covers the most work among the tasks, with that work.
    ///
    /// The checkpoint is empty if no task has one.
    pub fn newest_checkpoint(&self) -> (&str, DurationMs) {
        let saved = self.tasks.iter().filter(|t| !t.saved.is_empty());
        let newest = saved.max_by_key(|t| t.saved_work);
        newest.map_or(("", DurationMs(0)), |t| (&t.saved, t.saved_work))
    }
}

/// The record of one round, which is one repetition of a repeating flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoundRecord {
    /// The time at which it is due; `None` if it is due immediately.
    pub due: Option<UnixMillis>,
    /// The steps, in the order of the flow's description.
    pub steps: Vec<StepRecord>,
}

/// The record of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowRecord {
    /// The customer that owns the flow, or `None` if it was submitted without a key.
    pub customer: Option<CustomerName>,
    /// The rules of its queue; the last known ones if the queue is no longer configured.
    pub queue: QueueRule,
    /// The description of the flow.
    pub spec: FlowSpec,
    /// The time at which it was accepted.
    pub accepted: UnixMillis,
    /// The phase of the flow.
    pub phase: FlowPhase,
    /// The rounds, in order.
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

    /// Returns whether a request to a queue, with the key of a customer or without one, may see the flow.
    pub fn is_visible_to(&self, queue: &QueueRule, customer: Option<&CustomerName>) -> bool {
        self.queue.key == queue.key && is_same_owner(self.customer.as_ref(), customer, queue)
    }

    /// Returns whether a submission describes this flow.
    pub(crate) fn is_described_by(&self, spec: &FlowSpec) -> bool {
        let is_same_text = self.spec.text == spec.text
            || (self.phase != FlowPhase::Open && self.spec.text == text_digest(&spec.text));
        is_same_text && self.spec.steps == spec.steps && self.spec.repeat == spec.repeat
    }

    /// Drops what only runs need, after the flow has ended: the text, of which a digest is kept for
    /// resent submissions, the checkpoints, and the tasks if none was ever placed.
    pub(crate) fn shrink(&mut self) {
        let digest = text_digest(&self.spec.text);
        if digest.len() < self.spec.text.len() {
            self.spec.text = digest;
        }
        let steps = self.rounds.iter_mut().flat_map(|round| &mut round.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.saved = String::new();
        }
        if !self.has_started() {
            self.rounds = Vec::new();
        }
    }

    /// Returns the approximate number of bytes that the record takes in a snapshot.
    pub fn approximate_bytes(&self) -> usize {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        let (count, saved_bytes) = tasks.fold((0, 0), |(count, bytes), task| {
            (count + 1, bytes + task.saved.len())
        });
        approximate_bytes(&self.spec, count) + saved_bytes
    }

    /// Returns the approximate number of bytes that the record of a new flow would take.
    pub fn approximate_bytes_of(spec: &FlowSpec) -> usize {
        let tasks: usize = spec.steps.iter().map(|s| usize::from(s.count)).sum();
        let rounds = usize::try_from(spec.rounds()).unwrap_or(usize::MAX);
        approximate_bytes(spec, tasks.saturating_mul(rounds))
    }

    /// Returns the record of a task.
    pub fn task(&self, key: TaskKey) -> Option<&TaskRecord> {
        let step = self.step(key)?;
        step.tasks.get(usize::from(key.index))
    }

    /// Returns the record of a task's step.
    pub fn step(&self, key: TaskKey) -> Option<&StepRecord> {
        let round = self.rounds.get(usize::try_from(key.round).ok()?)?;
        round.steps.get(usize::from(key.step))
    }

    /// Returns the work from which the next run of a task resumes, which a checkpoint preserves.
    ///
    /// The members of a gang share the newest checkpoint.
    pub fn resume_work(&self, key: TaskKey) -> DurationMs {
        let work = match self.is_gang(key) {
            true => self.step(key).map(|step| step.newest_checkpoint().1),
            false => self.task(key).map(|task| task.saved_work),
        };
        work.unwrap_or(DurationMs(0))
    }

    /// Returns whether a task's step is a gang.
    pub fn is_gang(&self, task: TaskKey) -> bool {
        self.step_spec(task).is_some_and(|spec| spec.gang)
    }

    /// Returns the key under which a task is counted as a unit: the members of a gang count as one.
    pub fn unit_key(&self, task: TaskKey) -> TaskKey {
        match self.is_gang(task) {
            true => TaskKey { index: 0, ..task },
            false => task,
        }
    }

    /// Returns the runs of all members of a task's step that are placed in the same run, `run`
    /// included.
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

    /// Returns whether every step that a task's step depends on is done.
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

    /// Returns whether every task of the steps without dependencies in the first round was placed.
    pub fn has_fully_started(&self) -> bool {
        let Some(round) = self.rounds.first() else {
            return false;
        };
        let first = self.spec.steps.iter().zip(&round.steps);
        let mut first = first.filter(|(spec, _)| spec.after.is_empty());
        first.all(|(_, step)| step.tasks.iter().all(|task| task.last_run > 0))
    }

    /// Returns whether any task was ever placed.
    pub fn has_started(&self) -> bool {
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| task.last_run > 0)
    }
}

/// Returns the digest that replaces the text of an ended flow.
fn text_digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    let digits = digest.iter().map(|byte| format!("{byte:02x}"));
    std::iter::once(DIGEST_PREFIX.to_owned())
        .chain(digits)
        .collect()
}

/// Returns the approximate number of bytes of a flow with a description and a number of tasks.
fn approximate_bytes(spec: &FlowSpec, tasks: usize) -> usize {
    let steps = spec.steps.iter().map(|step| {
        let label = step.label.as_ref().map_or(0, String::len);
        STEP_BYTES + label + size_of_val(step.after.as_slice())
    });
    let fixed = RECORD_BYTES + spec.text.len() + steps.sum::<usize>();
    fixed.saturating_add(tasks.saturating_mul(TASK_BYTES))
}
