//! A simulation of a task table between a model of the leader and a model of the backend server.
//!
//! Calls may arrive late or twice, answers may be lost or be those of another task. No task may start
//! twice, survive the lease or remain after the cleanup.

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
    TaskId, //
    TaskOrder,
    TaskOutcome,
    TaskPhase, //
    backend_api::{
        BackendList,
        BackendPhase,
        BackendTask, //
    },
};

/// The limits of the simulated backend server.
pub(crate) const LIMITS: BackendLimits = BackendLimits { slots: 3, calls: 4 };

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallOutcome {
    /// The call is carried out and answered.
    Answered,
    /// The call is carried out and its answer is lost.
    AnswerLost,
    /// The call has no answer in time and is carried out later.
    Delayed,
    /// The call is carried out and answered, and is carried out a second time later.
    Duplicated,
}

/// One step of the simulation; a `pick` selects one of the existing items, modulo their number.
#[derive(Debug, Clone)]
pub(crate) enum SimulationStep {
    /// The leader places a task.
    Place,
    /// The leader releases a held task.
    Release { pick: usize },
    /// The leader stops a task.
    StopTask { pick: usize },
    /// The leader's orders reach the agent.
    SendOrders,
    /// The agent sends its due actions, given the state of its lease.
    Poll { lease: LeaseState },
    /// A call in flight ends.
    Call { pick: usize, outcome: CallOutcome },
    /// A delayed or duplicated call reaches the backend server.
    DelayedCall { pick: usize },
    /// A running task completes or fails.
    Finish { pick: usize, fails: bool },
    /// The backend server takes a list, unless one is still to be delivered.
    TakeSnapshot,
    /// The list that was taken reaches the agent.
    DeliverList,
    /// The agent's report reaches the leader, and the acknowledgement may be lost.
    Report { is_acknowledged: bool },
    /// The agent restarts as a new incarnation.
    RestartAgent,
    /// The backend server restarts and loses its tasks.
    RestartBackend,
}

/// A backend server that refuses calls with a stale epoch and prepares beyond its slots.
///
/// It counts the starts of each task.
#[derive(Debug, Default)]
struct SimulatedBackend {
    /// The phase of each task and the highest epoch that it has seen.
    tasks: BTreeMap<TaskId, (BackendPhase, u64)>,
    starts: BTreeMap<TaskId, u32>,
    sequence: u64,
}

impl SimulatedBackend {
    /// Returns the number of slots that held or running tasks occupy.
    fn used_slots(&self) -> usize {
        let is_open = |p: &BackendPhase| matches!(p, BackendPhase::Held | BackendPhase::Running);
        self.tasks.values().filter(|(p, _)| is_open(p)).count()
    }

    /// Carries out a call; returns whether it was refused.
    fn act(&mut self, action: &TaskAction, epoch: u64) -> bool {
        let id = action.task();
        let known = self.tasks.get(&id).copied();
        let next = match (action, known) {
            (_, Some((_, newest))) if epoch < newest => return true,
            (TaskAction::Prepare { .. }, None) if self.used_slots() >= LIMITS.slots => return true,
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

/// A task table with the simulated leader, backend server and calls in flight.
pub(crate) struct TableSimulation {
    pub(crate) table: TaskTable,
    backend: SimulatedBackend,
    /// The desired state of each task, and whether the task was reported as held.
    desired: BTreeMap<TaskId, (DesiredState, bool)>,
    ended: BTreeMap<TaskId, TaskOutcome>,
    orders_index: u64,
    incarnation: u64,
    last_job: u64,
    sequence: u64,
    /// The calls in flight with their epochs.
    calls: Vec<(TaskAction, u64)>,
    /// Delayed and duplicated calls, which are carried out later.
    delayed: Vec<(TaskAction, u64)>,
    /// A list that was taken and is delivered later.
    snapshot: Option<BackendList>,
    /// The tasks whose answer was once delivered as that of another task.
    mismatched: BTreeSet<TaskId>,
}

impl TableSimulation {
    pub(crate) fn new() -> Self {
        Self {
            table: TaskTable::new(IncarnationId(1)),
            backend: SimulatedBackend::default(),
            desired: BTreeMap::new(),
            ended: BTreeMap::new(),
            orders_index: 0,
            incarnation: 1,
            last_job: 0,
            sequence: 0,
            calls: Vec::new(),
            delayed: Vec::new(),
            snapshot: None,
            mismatched: BTreeSet::new(),
        }
    }

    /// Applies one step and checks the invariants.
    pub(crate) fn apply(&mut self, step: &SimulationStep) {
        match *step {
            SimulationStep::Place => self.place(),
            SimulationStep::Release { pick } => self.set_desired(pick, DesiredState::Running),
            SimulationStep::StopTask { pick } => self.set_desired(pick, DesiredState::Stopped),
            SimulationStep::SendOrders => self.send_orders(),
            SimulationStep::Poll { lease } => self.poll(lease),
            SimulationStep::Call { pick, outcome } => self.call(pick, outcome),
            SimulationStep::DelayedCall { pick } => self.delayed_call(pick),
            SimulationStep::Finish { pick, fails } => self.finish(pick, fails),
            SimulationStep::TakeSnapshot => {
                self.snapshot.get_or_insert_with(|| self.backend.list());
            }
            SimulationStep::DeliverList => {
                if let Some(list) = self.snapshot.take() {
                    self.table.apply_list(&list);
                }
            }
            SimulationStep::Report { is_acknowledged } => self.report(is_acknowledged),
            SimulationStep::RestartAgent => self.restart_agent(),
            SimulationStep::RestartBackend => self.backend.tasks.clear(),
        }
        let max_starts = self.backend.starts.values().max().copied();
        assert!(
            max_starts.unwrap_or_default() <= 1,
            "a task was started twice"
        );
        assert!(self.backend.used_slots() <= LIMITS.slots);
    }

    /// Places a new task, if a slot is free.
    fn place(&mut self) {
        if self.desired.len() < LIMITS.slots {
            self.last_job += 1;
            let task = task(self.last_job);
            self.desired.insert(task, (DesiredState::Held, false));
            self.orders_index += 1;
        }
    }

    /// Moves a task to a later desired state.
    ///
    /// The leader releases only tasks that were reported as held; it may stop any placed task.
    fn set_desired(&mut self, pick: usize, state: DesiredState) {
        let Some(index) = pick.checked_rem(self.desired.len()) else {
            return;
        };
        let (desired, held) = self.desired.values_mut().nth(index).expect("in range");
        if state > *desired && (*held || state == DesiredState::Stopped) {
            *desired = state;
            self.orders_index += 1;
        }
    }

    /// Delivers the leader's current orders.
    pub(crate) fn send_orders(&mut self) {
        let known = self.table.orders_index();
        let orders = self.desired.iter().map(|(task, (desired, _))| TaskOrder {
            task: *task,
            incarnation: IncarnationId(self.incarnation),
            desired: *desired,
            shape: ResourceShape::default(),
            checkpointable: task.job.0 % 2 == 0,
            payload: (known == 0 || *desired == DesiredState::Held).then(|| "work".to_owned()),
        });
        let orders = orders.collect();
        self.table.apply_orders(self.orders_index, orders);
    }

    /// Sends the due actions, and checks that each is allowed.
    pub(crate) fn poll(&mut self, lease: LeaseState) {
        let epoch = self.table.orders_index();
        for action in self.table.next_actions(lease, LIMITS) {
            match &action {
                TaskAction::Prepare { .. } => {
                    assert_eq!(lease, LeaseState::Valid, "prepared without a lease");
                }
                TaskAction::Start { task, .. } => {
                    assert_eq!(lease, LeaseState::Valid, "started without a lease");
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

    /// Decides what happens to one call in flight.
    fn call(&mut self, pick: usize, outcome: CallOutcome) {
        let Some(index) = pick.checked_rem(self.calls.len()) else {
            return;
        };
        let (action, epoch) = self.calls.remove(index);
        match outcome {
            CallOutcome::Answered => self.answer(&action, epoch),
            CallOutcome::AnswerLost => {
                self.backend.act(&action, epoch);
                self.table.action_failed(&action);
            }
            CallOutcome::Delayed => {
                self.delayed.push((action.clone(), epoch));
                self.table.action_failed(&action);
            }
            CallOutcome::Duplicated => {
                self.delayed.push((action.clone(), epoch));
                self.answer(&action, epoch);
            }
        }
    }

    /// Carries out a call and delivers its answer.
    fn answer(&mut self, action: &TaskAction, epoch: u64) {
        let task = action.task();
        match action {
            // The first answer of every second task is delivered as that of another task.
            TaskAction::FetchAnswer { .. }
                if task.job.0.is_multiple_of(2) && self.mismatched.insert(task) =>
            {
                self.table.record_invalid_answer(task);
            }
            TaskAction::FetchAnswer { .. } => match self.backend.tasks.get(&task) {
                Some((BackendPhase::Done, _)) => self.table.apply_answer(task, answer(task)),
                _ => self.table.record_invalid_answer(task),
            },
            action if self.backend.act(action, epoch) => self.table.action_refused(action),
            action => self.table.action_done(action),
        }
    }

    /// Carries out one delayed or duplicated call.
    fn delayed_call(&mut self, pick: usize) {
        if let Some(index) = pick.checked_rem(self.delayed.len()) {
            let (action, epoch) = self.delayed.remove(index);
            self.backend.act(&action, epoch);
        }
    }

    /// Lets one running task complete or fail.
    fn finish(&mut self, pick: usize, fails: bool) {
        let running = self.backend.tasks.values_mut();
        let mut running: Vec<_> = running
            .filter(|(p, _)| *p == BackendPhase::Running)
            .collect();
        if let Some(index) = pick.checked_rem(running.len()) {
            running[index].0 = match fails {
                true => BackendPhase::Failed,
                false => BackendPhase::Done,
            };
            self.backend.sequence += 1;
        }
    }

    /// Delivers a report to the leader, which acknowledges it or not.
    pub(crate) fn report(&mut self, is_acknowledged: bool) {
        self.sequence += 1;
        for status in self.table.report(self.sequence) {
            match (status.phase, self.desired.get_mut(&status.task)) {
                (_, None) => {}
                (TaskPhase::Held | TaskPhase::Running, Some((_, held))) => *held = true,
                (TaskPhase::Ended(outcome), Some(_)) => {
                    if let TaskOutcome::Done(body) = &outcome {
                        assert_eq!(*body, answer(status.task), "the answer of another task");
                    }
                    self.desired.remove(&status.task);
                    self.ended.insert(status.task, outcome);
                    self.orders_index += 1;
                }
            }
        }
        if is_acknowledged {
            self.table.acknowledge(self.sequence);
        }
    }

    /// Restarts the agent, which first requests a list; the leader then drops the tasks that it lacks.
    fn restart_agent(&mut self) {
        self.incarnation += 1;
        self.table = TaskTable::new(IncarnationId(self.incarnation));
        self.delayed.append(&mut self.calls);
        self.snapshot = None;
        let list = self.backend.list();
        self.table.apply_list(&list);
        let listed: BTreeSet<_> = list.tasks.iter().map(|t| t.task).collect();
        self.desired.retain(|task, _| listed.contains(task));
        self.orders_index += 1;
        self.poll(LeaseState::Inherited);
        let open_tasks = self
            .backend
            .tasks
            .iter()
            .filter(|(_, (p, _))| matches!(p, BackendPhase::Held | BackendPhase::Running));
        for (task, _) in open_tasks {
            let stops = self.calls.iter().any(|(a, _)| a.task() == *task);
            assert!(!stops, "a running task was stopped at a restart");
        }
    }

    /// Runs the simulation without faults for 30 passes, with or without a lease.
    pub(crate) fn run_without_faults(&mut self, lease: LeaseState) {
        while !self.delayed.is_empty() {
            self.delayed_call(0);
        }
        for _ in 0..30 {
            self.poll(lease);
            while !self.calls.is_empty() {
                self.call(0, CallOutcome::Answered);
            }
            let list = self.backend.list();
            self.snapshot = None;
            self.table.apply_list(&list);
            self.report(true);
            if lease == LeaseState::Valid {
                self.send_orders();
            }
        }
    }

    /// Checks that no task survives the lease, and that with a lease every task can be cleaned up.
    pub(crate) fn finish_all(&mut self) {
        self.run_without_faults(LeaseState::Expired);
        assert_eq!(self.backend.used_slots(), 0, "a task survived the lease");
        for (desired, _) in self.desired.values_mut() {
            *desired = DesiredState::Stopped;
        }
        self.orders_index += 1;
        self.run_without_faults(LeaseState::Valid);
        assert!(
            self.desired.is_empty(),
            "tasks without an outcome: {:?}",
            self.desired
        );
        assert!(self.backend.tasks.is_empty(), "{:?}", self.backend.tasks);
        assert!(self.table.is_empty(), "{:?}", self.table);
    }
}

pub(crate) fn task(job: u64) -> TaskId {
    TaskId {
        job: JobId(job),
        attempt: AttemptNumber(1),
        member: 0,
    }
}

/// Returns the answer of a task, which no other task gives.
pub(crate) fn answer(task: TaskId) -> AnswerBody {
    AnswerBody {
        text: format!("answer of {task}"),
        crc32: 0,
    }
}
