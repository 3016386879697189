//! A task book between a model of the leader and a backend server that answers late, doubled,
//! crossed or not at all.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_agent::{
    BackendLimits,
    LeaseState,
    TaskAction,
    TaskTable, //
};
use roseridge_model::{
    AnswerBody,
    AttemptNumber,
    DesiredState,
    IncarnationId,
    JobId,
    ResourceShape,
    TaskId,
    TaskOrder,
    TaskOutcome,
    TaskPhase, //
    backend_api::{
        BackendList,
        BackendPhase,
        BackendTask, //
    },
};

/// The slots of the backend server and the calls that it takes at once.
pub(crate) const LIMITS: BackendLimits = BackendLimits { slots: 3, calls: 4 };

/// What becomes of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallFate {
    /// It is done and answered.
    Answered,
    /// It is done and the answer is lost.
    AnswerLost,
    /// It has no answer in time and arrives later.
    Late,
    /// It is done, answered, and arrives a second time later.
    Doubled,
}

/// One step; numbers choose among what exists.
#[derive(Debug, Clone)]
pub(crate) enum BookStep {
    Place,
    Release { pick: usize },
    StopTask { pick: usize },
    SendOrders,
    Poll { lease: LeaseState },
    Call { pick: usize, fate: CallFate },
    LateCall { pick: usize },
    Finish { pick: usize, fails: bool },
    TakeSnapshot,
    DeliverList,
    Report { is_acknowledged: bool },
    RestartAgent,
    RestartBackend,
}

/// The backend server: it starts a task once, and refuses what it has no room for.
#[derive(Debug, Default)]
struct StrictBackend {
    tasks: BTreeMap<TaskId, (BackendPhase, u64)>,
    starts: BTreeMap<TaskId, u32>,
    sequence: u64,
}

impl StrictBackend {
    fn places(&self) -> usize {
        let open = |p: &BackendPhase| matches!(p, BackendPhase::Held | BackendPhase::Running);
        self.tasks.values().filter(|(p, _)| open(p)).count()
    }

    /// Acts on a call; returns whether it was refused.
    fn act(&mut self, action: &TaskAction, epoch: u64) -> bool {
        let id = action.task();
        let known = self.tasks.get(&id).copied();
        let next = match (action, known) {
            (_, Some((_, newest))) if epoch < newest => return true,
            (TaskAction::Prepare { .. }, None) if self.places() >= LIMITS.slots => return true,
            (TaskAction::Prepare { .. }, None) => BackendPhase::Held,
            (TaskAction::Start { .. }, None) => return true,
            (TaskAction::Start { .. }, Some((BackendPhase::Held, _))) => {
                *self.starts.entry(id).or_default() += 1;
                BackendPhase::Running
            }
            (TaskAction::Stop { .. }, Some((BackendPhase::Held, _))) => BackendPhase::NotStarted,
            (TaskAction::Stop { .. }, Some((BackendPhase::Running, _))) => BackendPhase::Stopped,
            (TaskAction::Forget { .. }, Some((BackendPhase::Held | BackendPhase::Running, _))) => {
                return true;
            }
            (TaskAction::Forget { .. }, Some(_)) => {
                self.tasks.remove(&id);
                return false;
            }
            (_, Some((phase, _))) => phase,
            (_, None) => return false,
        };
        self.tasks.insert(id, (next, epoch));
        self.sequence += 1;
        false
    }

    fn list(&self) -> BackendList {
        let tasks = self.tasks.iter().map(|(task, (phase, _))| BackendTask {
            task: *task,
            phase: *phase,
            reason: None,
        });
        BackendList {
            sequence: self.sequence,
            tasks: tasks.collect(),
            lease_left_ms: None,
        }
    }
}

/// Everything around the book.
pub(crate) struct BookWorld {
    pub(crate) book: TaskTable,
    backend: StrictBackend,
    /// What the leader wants: the state, and whether it heard that the task is held.
    desired: BTreeMap<TaskId, (DesiredState, bool)>,
    ended: BTreeMap<TaskId, TaskOutcome>,
    orders_index: u64,
    incarnation: u64,
    last_job: u64,
    sequence: u64,
    calls: Vec<(TaskAction, u64)>,
    late: Vec<(TaskAction, u64)>,
    snapshot: Option<BackendList>,
    crossed: BTreeSet<TaskId>,
}

impl BookWorld {
    pub(crate) fn new() -> Self {
        Self {
            book: TaskTable::new(IncarnationId(1)),
            backend: StrictBackend::default(),
            desired: BTreeMap::new(),
            ended: BTreeMap::new(),
            orders_index: 0,
            incarnation: 1,
            last_job: 0,
            sequence: 0,
            calls: Vec::new(),
            late: Vec::new(),
            snapshot: None,
            crossed: BTreeSet::new(),
        }
    }

    pub(crate) fn take(&mut self, step: &BookStep) {
        match *step {
            BookStep::Place => self.place(),
            BookStep::Release { pick } => self.want(pick, DesiredState::Running),
            BookStep::StopTask { pick } => self.want(pick, DesiredState::Stopped),
            BookStep::SendOrders => self.send_orders(),
            BookStep::Poll { lease } => self.poll(lease),
            BookStep::Call { pick, fate } => self.call(pick, fate),
            BookStep::LateCall { pick } => self.late_call(pick),
            BookStep::Finish { pick, fails } => self.finish(pick, fails),
            BookStep::TakeSnapshot => {
                self.snapshot.get_or_insert_with(|| self.backend.list());
            }
            BookStep::DeliverList => {
                if let Some(list) = self.snapshot.take() {
                    self.book.take_list(&list);
                }
            }
            BookStep::Report { is_acknowledged } => self.report(is_acknowledged),
            BookStep::RestartAgent => self.restart_agent(),
            BookStep::RestartBackend => self.backend.tasks.clear(),
        }
        let most = self.backend.starts.values().max().copied();
        assert!(most.unwrap_or_default() <= 1, "a task was started twice");
        assert!(self.backend.places() <= LIMITS.slots);
    }

    fn place(&mut self) {
        if self.desired.len() < LIMITS.slots {
            self.last_job += 1;
            let task = task(self.last_job);
            self.desired.insert(task, (DesiredState::Held, false));
            self.orders_index += 1;
        }
    }

    /// The leader releases only what it heard is held, and stops only what it has placed.
    fn want(&mut self, pick: usize, state: DesiredState) {
        let Some(at) = pick.checked_rem(self.desired.len()) else {
            return;
        };
        let (desired, held) = self.desired.values_mut().nth(at).expect("in range");
        if state > *desired && (*held || state == DesiredState::Stopped) {
            *desired = state;
            self.orders_index += 1;
        }
    }

    pub(crate) fn send_orders(&mut self) {
        let known = self.book.orders_index();
        let orders = self.desired.iter().map(|(task, (desired, _))| TaskOrder {
            task: *task,
            incarnation: IncarnationId(self.incarnation),
            desired: *desired,
            shape: ResourceShape::default(),
            checkpointable: task.job.0 % 2 == 0,
            payload: (known == 0 || *desired == DesiredState::Held).then(|| "work".to_owned()),
        });
        let orders = orders.collect();
        self.book.take_orders(self.orders_index, orders);
    }

    pub(crate) fn poll(&mut self, lease: LeaseState) {
        let epoch = self.book.orders_index();
        for action in self.book.next_actions(lease, LIMITS) {
            match &action {
                TaskAction::Prepare { .. } => {
                    assert_eq!(lease, LeaseState::Held, "prepared without a lease");
                }
                TaskAction::Start { task, .. } => {
                    assert_eq!(lease, LeaseState::Held, "started without a lease");
                    let is_released = self.desired.get(task).is_some_and(|(_, held)| *held);
                    let is_late = self.ended.contains_key(task);
                    assert!(is_released || is_late, "started without a release");
                }
                _ => {}
            }
            let is_open = self.calls.iter().any(|(a, _)| a.task() == action.task());
            assert!(!is_open, "two calls for one task");
            let epoch = action.epoch(epoch);
            self.calls.push((action, epoch));
        }
        assert!(self.calls.len() <= LIMITS.calls, "too many calls");
    }

    fn call(&mut self, pick: usize, fate: CallFate) {
        let Some(at) = pick.checked_rem(self.calls.len()) else {
            return;
        };
        let (action, epoch) = self.calls.remove(at);
        match fate {
            CallFate::Answered => self.answer(&action, epoch),
            CallFate::AnswerLost => {
                self.backend.act(&action, epoch);
                self.book.action_failed(&action);
            }
            CallFate::Late => {
                self.late.push((action.clone(), epoch));
                self.book.action_failed(&action);
            }
            CallFate::Doubled => {
                self.late.push((action.clone(), epoch));
                self.answer(&action, epoch);
            }
        }
    }

    fn answer(&mut self, action: &TaskAction, epoch: u64) {
        let task = action.task();
        match action {
            // Every second answer is crossed with another task's the first time.
            TaskAction::FetchAnswer { .. }
                if task.job.0.is_multiple_of(2) && self.crossed.insert(task) =>
            {
                self.book.take_bad_answer(task);
            }
            TaskAction::FetchAnswer { .. } => match self.backend.tasks.get(&task) {
                Some((BackendPhase::Done, _)) => self.book.take_answer(task, answer(task)),
                _ => self.book.take_bad_answer(task),
            },
            action if self.backend.act(action, epoch) => self.book.action_refused(action),
            action => self.book.action_done(action),
        }
    }

    fn late_call(&mut self, pick: usize) {
        if let Some(at) = pick.checked_rem(self.late.len()) {
            let (action, epoch) = self.late.remove(at);
            self.backend.act(&action, epoch);
        }
    }

    fn finish(&mut self, pick: usize, fails: bool) {
        let running = self.backend.tasks.values_mut();
        let mut running: Vec<_> = running
            .filter(|(p, _)| *p == BackendPhase::Running)
            .collect();
        if let Some(at) = pick.checked_rem(running.len()) {
            running[at].0 = match fails {
                true => BackendPhase::Failed,
                false => BackendPhase::Done,
            };
            self.backend.sequence += 1;
        }
    }

    pub(crate) fn report(&mut self, is_acknowledged: bool) {
        self.sequence += 1;
        for status in self.book.report(self.sequence) {
            match (status.phase, self.desired.get_mut(&status.task)) {
                (_, None) => {}
                (TaskPhase::Held | TaskPhase::Running, Some((_, held))) => *held = true,
                (TaskPhase::Ended(end), Some(_)) => {
                    if let TaskOutcome::Done(body) = &end {
                        assert_eq!(*body, answer(status.task), "a crossed answer");
                    }
                    self.desired.remove(&status.task);
                    self.ended.insert(status.task, end);
                    self.orders_index += 1;
                }
            }
        }
        if is_acknowledged {
            self.book.acknowledge(self.sequence);
        }
    }

    /// A new life of the agent lists first; the leader then gives up what the list lacks.
    fn restart_agent(&mut self) {
        self.incarnation += 1;
        self.book = TaskTable::new(IncarnationId(self.incarnation));
        self.late.append(&mut self.calls);
        self.snapshot = None;
        let list = self.backend.list();
        self.book.take_list(&list);
        let listed: BTreeSet<_> = list.tasks.iter().map(|t| t.task).collect();
        self.desired.retain(|task, _| listed.contains(task));
        self.orders_index += 1;
        self.poll(LeaseState::Kept);
        let open = self
            .backend
            .tasks
            .iter()
            .filter(|(_, (p, _))| matches!(p, BackendPhase::Held | BackendPhase::Running));
        for (task, _) in open {
            let stops = self.calls.iter().any(|(a, _)| a.task() == *task);
            assert!(!stops, "a running task was not kept over a restart");
        }
    }

    /// Lets everything work without faults for a while, with or without a lease.
    pub(crate) fn settle(&mut self, lease: LeaseState) {
        while !self.late.is_empty() {
            self.late_call(0);
        }
        for _ in 0..30 {
            self.poll(lease);
            while !self.calls.is_empty() {
                self.call(0, CallFate::Answered);
            }
            let list = self.backend.list();
            self.snapshot = None;
            self.book.take_list(&list);
            self.report(true);
            if lease == LeaseState::Held {
                self.send_orders();
            }
        }
    }

    /// Checks that without a lease nothing goes on, and that with one every task can be cleared away.
    pub(crate) fn finish_all(&mut self) {
        self.settle(LeaseState::Gone);
        assert_eq!(self.backend.places(), 0, "a task outlived the lease");
        for (desired, _) in self.desired.values_mut() {
            *desired = DesiredState::Stopped;
        }
        self.orders_index += 1;
        self.settle(LeaseState::Held);
        assert!(self.desired.is_empty(), "never ended: {:?}", self.desired);
        assert!(self.backend.tasks.is_empty(), "{:?}", self.backend.tasks);
        assert!(self.book.is_empty(), "{:?}", self.book);
    }
}

pub(crate) fn task(job: u64) -> TaskId {
    TaskId {
        job: JobId(job),
        attempt: AttemptNumber(1),
        member: 0,
    }
}

/// Returns the answer that only this task gives.
pub(crate) fn answer(task: TaskId) -> AnswerBody {
    AnswerBody {
        text: format!("answer of {task}"),
        crc32: 0,
    }
}
