//! The tasks of the fake backend server.

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
    TaskEventKind, //
    TestHooks,
};

/// How many fetches of an answer a fault spoils.
const SPOILT_FETCHES: u32 = 2;

#[derive(Debug)]
struct FakeTask {
    phase: BackendPhase,
    epoch: u64,
    shape: ResourceShape,
    payload: Option<FakePayload>,
    fetches: u32,
}

/// The tasks, and how often each was started.
#[derive(Debug)]
pub(crate) struct FakeState {
    pub(crate) shape: WorkerShape,
    sequence: u64,
    tasks: BTreeMap<TaskId, FakeTask>,
    pub(crate) start_counts: BTreeMap<TaskId, u32>,
    pub(crate) peak_slots: usize,
    probe: TestHooks,
    pub(crate) checkpoint_counts: BTreeMap<TaskId, u32>,
    lease_end: Option<Instant>,
}

/// What a call comes to.
pub(crate) enum ActionResult {
    /// The task as it now is; a started one ends after the given time in milliseconds.
    Took(BackendTask, Option<u64>),
    /// The call makes no sense for the task.
    Refused(&'static str),
}

impl FakeState {
    pub(crate) fn new(shape: WorkerShape, probe: TestHooks) -> Self {
        Self {
            shape,
            sequence: 1,
            tasks: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            peak_slots: 0,
            probe,
            checkpoint_counts: BTreeMap::new(),
            lease_end: None,
        }
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn list(&self) -> BackendList {
        let tasks = self.tasks.iter().map(|(id, task)| listed(*id, task));
        BackendList {
            sequence: self.sequence,
            tasks: tasks.collect(),
            lease_left_ms: self.lease_left_ms(),
        }
    }

    fn lease_left_ms(&self) -> Option<u64> {
        let left = self.lease_end?.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).ok()
    }

    /// Lets tasks go on for a time from now.
    pub(crate) fn renew(&mut self, lease: Duration) {
        self.lease_end = Some(Instant::now() + lease);
    }

    /// Stops every task when the lease has run out; the next one begins with a later listing.
    pub(crate) fn expire(&mut self) {
        if self.lease_end.is_none_or(|end| Instant::now() < end) {
            return;
        }
        let open = self.tasks.iter().filter(|(_, t)| holds_place(t.phase));
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.stop(id);
        }
        self.lease_end = None;
    }

    pub(crate) fn used(&self) -> ResourceShape {
        let busy = self.tasks.values().filter(|t| holds_place(t.phase));
        busy.fold(ResourceShape::default(), |sum, t| sum.plus(&t.shape))
    }

    /// Returns how many tasks run.
    pub(crate) fn running_count(&self) -> usize {
        let runs = |t: &&FakeTask| t.phase == BackendPhase::Running;
        self.tasks.values().filter(runs).count()
    }

    /// Acts on one task; a repeated call changes nothing.
    pub(crate) fn act(&mut self, id: TaskId, epoch: u64, action: BackendAction) -> ActionResult {
        match self.tasks.get_mut(&id) {
            Some(task) if epoch < task.epoch => return ActionResult::Refused("an older epoch"),
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
                self.show(id)
            }
            BackendAction::Throttle { .. } => self.show(id),
        }
    }

    /// Ends a task whose time is up, unless it was stopped before.
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
            self.note(id, TaskEventKind::Ended);
        }
    }

    /// Returns what is wrong with the answers.
    pub(crate) fn fault(&self) -> AnswerFault {
        self.probe.faults.answer_fault()
    }

    /// Returns the answer of a task that is done, spoilt as the fault says.
    pub(crate) fn answer(&mut self, id: TaskId, fault: AnswerFault) -> Option<BackendAnswer> {
        let task = self.tasks.get_mut(&id)?;
        task.fetches += 1;
        let spoilt = task.fetches <= SPOILT_FETCHES;
        let mut answer = self.whole_answer(id)?;
        match fault {
            AnswerFault::WrongTask if spoilt => Some(self.answer_beside(id).unwrap_or(answer)),
            AnswerFault::Truncated if spoilt => {
                answer.body.text.pop();
                Some(answer)
            }
            _ => Some(answer),
        }
    }

    /// Returns the answer of some other task, or one of the same task that names another.
    fn answer_beside(&self, id: TaskId) -> Option<BackendAnswer> {
        let others = self.tasks.keys().filter(|other| **other != id);
        let other = others.copied().find_map(|other| self.whole_answer(other));
        other.or_else(|| {
            let mut answer = self.whole_answer(id)?;
            answer.task.member += 1;
            Some(answer)
        })
    }

    fn whole_answer(&self, id: TaskId) -> Option<BackendAnswer> {
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

    fn note(&self, id: TaskId, kind: TaskEventKind) {
        let payload = self.tasks.get(&id).and_then(|t| t.payload.as_ref());
        self.probe.event_log.push(TaskEvent {
            label: self.probe.label.clone(),
            task: id,
            answer: payload.map(|p| p.answer.clone()).unwrap_or_default(),
            kind,
        });
    }

    fn prepare(&mut self, id: TaskId, epoch: u64, shape: ResourceShape) -> ActionResult {
        let slots = self.tasks.values().filter(|t| holds_place(t.phase)).count();
        let free = self.shape.total.minus(&self.used());
        match self.tasks.contains_key(&id) {
            true => self.show(id),
            false if slots >= usize::from(self.shape.slots) => {
                ActionResult::Refused("no free slot")
            }
            false if !free.can_hold(&shape) => ActionResult::Refused("no room"),
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
                self.note(id, TaskEventKind::Held);
                self.peak_slots = self.peak_slots.max(slots + 1);
                self.show(id)
            }
        }
    }

    fn start(&mut self, id: TaskId, payload: &str) -> ActionResult {
        let Some(task) = self.tasks.get_mut(&id) else {
            return ActionResult::Refused("the task is not prepared");
        };
        if task.phase != BackendPhase::Held {
            return self.show(id);
        }
        let mut payload = FakePayload::parse(payload);
        if self.probe.faults.tasks_fail() {
            payload.run_ms = 0;
            payload.fail = Some("this worker fails everything".to_owned());
        }
        let run_ms = payload.run_ms;
        task.phase = BackendPhase::Running;
        task.payload = Some(payload);
        self.sequence += 1;
        *self.start_counts.entry(id).or_default() += 1;
        self.note(id, TaskEventKind::Started);
        match self.show(id) {
            ActionResult::Took(task, _) => ActionResult::Took(task, Some(run_ms)),
            refused => refused,
        }
    }

    fn stop(&mut self, id: TaskId) -> ActionResult {
        if let Some(task) = self.tasks.get_mut(&id) {
            let phase = match task.phase {
                BackendPhase::Held => BackendPhase::NotStarted,
                BackendPhase::Running => BackendPhase::Stopped,
                over => over,
            };
            let moves = phase != task.phase;
            self.sequence += u64::from(moves);
            task.phase = phase;
            if moves {
                self.note(id, TaskEventKind::Ended);
            }
        }
        self.show(id)
    }

    fn forget(&mut self, id: TaskId) -> ActionResult {
        match self.tasks.get(&id) {
            Some(task) if holds_place(task.phase) => ActionResult::Refused("the task is not over"),
            _ => {
                self.sequence += u64::from(self.tasks.remove(&id).is_some());
                self.show(id)
            }
        }
    }

    fn show(&self, id: TaskId) -> ActionResult {
        let listed = self.tasks.get(&id).map(|task| listed(id, task));
        let absent = BackendTask {
            task: id,
            phase: BackendPhase::NotStarted,
            reason: None,
        };
        ActionResult::Took(listed.unwrap_or(absent), None)
    }
}

fn holds_place(phase: BackendPhase) -> bool {
    matches!(phase, BackendPhase::Held | BackendPhase::Running)
}

fn listed(id: TaskId, task: &FakeTask) -> BackendTask {
    let payload = task.payload.as_ref();
    BackendTask {
        task: id,
        phase: task.phase,
        reason: payload
            .filter(|_| task.phase == BackendPhase::Failed)
            .and_then(|p| p.fail.clone()),
    }
}
