//! The state machine of the fake backend server.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_model::{
    AnswerBody,
    ResourceShape,
    TaskId,
    WorkerShape, //
    backend_api::{
        BackendAction,
        BackendAnswer,
        BackendList,
        BackendPhase,
        BackendTask, //
    },
};

use crate::{
    AnswerFault,
    FakePayload,
    TaskEvent,
    TaskEventKind,
    TestHooks, //
};

/// The number of fetches of each answer that an [`AnswerFault`] corrupts; later ones succeed.
const CORRUPTED_FETCHES: u32 = 2;

/// A task of the fake backend server.
#[derive(Debug)]
struct FakeTask {
    phase: BackendPhase,
    epoch: u64,
    shape: ResourceShape,
    /// The payload; `None` before the start.
    payload: Option<FakePayload>,
    /// The number of times that the answer was fetched.
    fetches: u32,
}

/// The tasks and counters of a fake backend server.
#[derive(Debug)]
pub(crate) struct FakeState {
    pub(crate) shape: WorkerShape,
    /// The sequence number of the listing; it increases with every change to a task.
    sequence: u64,
    tasks: BTreeMap<TaskId, FakeTask>,
    /// The number of starts of each task.
    pub(crate) start_counts: BTreeMap<TaskId, u32>,
    /// The maximum number of slots that were in use at once.
    pub(crate) peak_slots: usize,
    hooks: TestHooks,
    /// The number of checkpoint requests for each task.
    pub(crate) checkpoint_counts: BTreeMap<TaskId, u32>,
    /// The end of the agent's lease, if one was granted and has not expired.
    lease_end: Option<Instant>,
}

/// The result of a call on a task.
pub(crate) enum ActionResult {
    /// The task after the call; if the call started it, also its run time in milliseconds.
    Accepted(BackendTask, Option<u64>),
    /// The call is not valid in the current state of the task; the text is the reason.
    Refused(&'static str),
}

impl FakeState {
    pub(crate) fn new(shape: WorkerShape, hooks: TestHooks) -> Self {
        Self {
            shape,
            sequence: 1,
            tasks: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            peak_slots: 0,
            hooks,
            checkpoint_counts: BTreeMap::new(),
            lease_end: None,
        }
    }

    /// Returns the sequence number of the current listing.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the listing of all tasks.
    pub(crate) fn list(&self) -> BackendList {
        let tasks = self
            .tasks
            .iter()
            .map(|(id, task)| to_backend_task(*id, task));
        BackendList {
            sequence: self.sequence,
            tasks: tasks.collect(),
            lease_left_ms: self.lease_left_ms(),
        }
    }

    fn lease_left_ms(&self) -> Option<u64> {
        let remaining = self.lease_end?.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).ok()
    }

    /// Renews the lease so that it expires after the given time.
    pub(crate) fn renew_lease(&mut self, lease: Duration) {
        self.lease_end = Some(Instant::now() + lease);
    }

    /// Stops every open task if the lease has expired; a later listing starts a new lease.
    pub(crate) fn expire_lease(&mut self) {
        if self.lease_end.is_none_or(|end| Instant::now() < end) {
            return;
        }
        let open = self.tasks.iter().filter(|(_, t)| is_open(t.phase));
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.stop(id);
        }
        self.lease_end = None;
    }

    /// Returns the resources that open tasks occupy.
    pub(crate) fn used(&self) -> ResourceShape {
        let open = self.tasks.values().filter(|t| is_open(t.phase));
        open.fold(ResourceShape::default(), |sum, t| sum.plus(&t.shape))
    }

    /// Returns the number of running tasks.
    pub(crate) fn running_count(&self) -> usize {
        let is_running = |t: &&FakeTask| t.phase == BackendPhase::Running;
        self.tasks.values().filter(is_running).count()
    }

    /// Applies an action to a task; repeating an action has no further effect on the task.
    pub(crate) fn act(&mut self, id: TaskId, epoch: u64, action: BackendAction) -> ActionResult {
        match self.tasks.get_mut(&id) {
            Some(task) if epoch < task.epoch => {
                return ActionResult::Refused("the epoch is older than that of the task");
            }
            Some(task) => task.epoch = epoch,
            None => {}
        }
        match action {
            BackendAction::Prepare { shape } => self.prepare(id, epoch, shape),
            BackendAction::Start { payload } => self.start(id, &payload),
            BackendAction::Stop => self.stop(id),
            BackendAction::Forget => self.forget(id),
            BackendAction::Checkpoint => {
                *self.checkpoint_counts.entry(id).or_default() += 1;
                self.describe(id)
            }
            BackendAction::Throttle { .. } => self.describe(id),
        }
    }

    /// Ends a task whose run time has passed, unless it was stopped before.
    pub(crate) fn finish(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        if task.phase == BackendPhase::Running {
            let failed = task.payload.as_ref().is_some_and(|p| p.fail.is_some());
            task.phase = match failed {
                true => BackendPhase::Failed,
                false => BackendPhase::Done,
            };
            self.sequence += 1;
            self.log_event(id, TaskEventKind::Ended);
        }
    }

    /// Returns the injected fault in the answers.
    pub(crate) fn answer_fault(&self) -> AnswerFault {
        self.hooks.faults.answer_fault()
    }

    /// Returns the answer of a task that is done, with the injected fault applied.
    pub(crate) fn answer(&mut self, id: TaskId, fault: AnswerFault) -> Option<BackendAnswer> {
        let task = self.tasks.get_mut(&id)?;
        task.fetches += 1;
        let corrupted = task.fetches <= CORRUPTED_FETCHES;
        let mut answer = self.correct_answer(id)?;
        match fault {
            AnswerFault::WrongTask if corrupted => Some(self.wrong_answer(id).unwrap_or(answer)),
            AnswerFault::Truncated if corrupted => {
                answer.body.text.pop();
                Some(answer)
            }
            _ => Some(answer),
        }
    }

    /// Returns the answer of another task or, if there is none, the task's own answer with the id
    /// of another member.
    fn wrong_answer(&self, id: TaskId) -> Option<BackendAnswer> {
        let others = self.tasks.keys().filter(|other| **other != id);
        let other = others.copied().find_map(|other| self.correct_answer(other));
        other.or_else(|| {
            let mut answer = self.correct_answer(id)?;
            answer.task.member += 1;
            Some(answer)
        })
    }

    /// Returns the answer of a task that is done, without any fault.
    fn correct_answer(&self, id: TaskId) -> Option<BackendAnswer> {
        let task = self.tasks.get(&id)?;
        let payload = task.payload.as_ref()?;
        let done = task.phase == BackendPhase::Done;
        done.then(|| BackendAnswer {
            task: id,
            length: payload.answer.len(),
            body: AnswerBody {
                text: payload.answer.clone(),
                crc32: crc32fast::hash(payload.answer.as_bytes()),
            },
        })
    }

    /// Appends an event of a task to the event log.
    fn log_event(&self, id: TaskId, kind: TaskEventKind) {
        let payload = self.tasks.get(&id).and_then(|t| t.payload.as_ref());
        self.hooks.event_log.push(TaskEvent {
            label: self.hooks.label.clone(),
            task: id,
            answer: payload.map(|p| p.answer.clone()).unwrap_or_default(),
            kind,
        });
    }

    fn prepare(&mut self, id: TaskId, epoch: u64, shape: ResourceShape) -> ActionResult {
        let slots = self.tasks.values().filter(|t| is_open(t.phase)).count();
        let free = self.shape.total.minus(&self.used());
        match self.tasks.contains_key(&id) {
            true => self.describe(id),
            false if slots >= usize::from(self.shape.slots) => {
                ActionResult::Refused("no free slot")
            }
            false if !free.can_hold(&shape) => ActionResult::Refused("not enough free resources"),
            false => {
                let task = FakeTask {
                    phase: BackendPhase::Held,
                    epoch,
                    shape,
                    payload: None,
                    fetches: 0,
                };
                self.tasks.insert(id, task);
                self.sequence += 1;
                self.log_event(id, TaskEventKind::Held);
                self.peak_slots = self.peak_slots.max(slots + 1);
                self.describe(id)
            }
        }
    }

    fn start(&mut self, id: TaskId, payload: &str) -> ActionResult {
        let Some(task) = self.tasks.get_mut(&id) else {
            return ActionResult::Refused("the task is not prepared");
        };
        if task.phase != BackendPhase::Held {
            return self.describe(id);
        }
        let mut payload = FakePayload::parse(payload);
        if self.hooks.faults.tasks_fail() {
            payload.run_ms = 0;
            payload.fail = Some("every task fails because of an injected fault".to_owned());
        }
        let run_ms = payload.run_ms;
        task.phase = BackendPhase::Running;
        task.payload = Some(payload);
        self.sequence += 1;
        *self.start_counts.entry(id).or_default() += 1;
        self.log_event(id, TaskEventKind::Started);
        match self.describe(id) {
            ActionResult::Accepted(task, _) => ActionResult::Accepted(task, Some(run_ms)),
            refused => refused,
        }
    }

    fn stop(&mut self, id: TaskId) -> ActionResult {
        if let Some(task) = self.tasks.get_mut(&id) {
            let phase = match task.phase {
                BackendPhase::Held => BackendPhase::NotStarted,
                BackendPhase::Running => BackendPhase::Stopped,
                ended => ended,
            };
            let changed = phase != task.phase;
            self.sequence += u64::from(changed);
            task.phase = phase;
            if changed {
                self.log_event(id, TaskEventKind::Ended);
            }
        }
        self.describe(id)
    }

    fn forget(&mut self, id: TaskId) -> ActionResult {
        match self.tasks.get(&id) {
            Some(task) if is_open(task.phase) => ActionResult::Refused("the task has not ended"),
            _ => {
                self.sequence += u64::from(self.tasks.remove(&id).is_some());
                self.describe(id)
            }
        }
    }

    /// Returns the current state of a task as an accepted call; an unknown task is not started.
    fn describe(&self, id: TaskId) -> ActionResult {
        let known = self.tasks.get(&id).map(|task| to_backend_task(id, task));
        let absent = BackendTask {
            task: id,
            phase: BackendPhase::NotStarted,
            reason: None,
        };
        ActionResult::Accepted(known.unwrap_or(absent), None)
    }
}

/// Returns whether a task in this phase occupies a slot and resources.
fn is_open(phase: BackendPhase) -> bool {
    matches!(phase, BackendPhase::Held | BackendPhase::Running)
}

/// Returns a task as listings and replies show it.
fn to_backend_task(id: TaskId, task: &FakeTask) -> BackendTask {
    let payload = task.payload.as_ref();
    BackendTask {
        task: id,
        phase: task.phase,
        reason: payload
            .filter(|_| task.phase == BackendPhase::Failed)
            .and_then(|p| p.fail.clone()),
    }
}
