//! Hooks through which tests observe fake backend servers and inject faults from other threads.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use roseridge_model::TaskId;

/// The kind of a [`TaskEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    /// The task was allocated its resources and waits at the barrier.
    Held,
    /// The task was started.
    Started,
    /// The task ended, with any outcome.
    Ended,
}

/// A change in the life cycle of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    /// The label of the fake backend server.
    pub label: String,
    /// The task.
    pub task: TaskId,
    /// The answer in the payload of the task; empty before the start.
    pub answer: String,
    /// The kind of the change.
    pub kind: TaskEventKind,
}

/// The events of all fake backend servers that share this log, in the order of occurrence.
///
/// The log outlives the servers, so that a test can count starts across a restart.
#[derive(Debug, Clone, Default)]
pub struct TaskEventLog(Arc<Mutex<Vec<TaskEvent>>>);

impl TaskEventLog {
    /// Returns a copy of all events so far.
    pub fn events(&self) -> Vec<TaskEvent> {
        self.lock().clone()
    }

    /// Records the end of every open task of a backend server that was killed.
    pub fn end_open_tasks(&self, label: &str) {
        let mut events = self.lock();
        let ended: Vec<_> = open_tasks(&events, label).cloned().collect();
        events.extend(ended.into_iter().map(|event| TaskEvent {
            kind: TaskEventKind::Ended,
            ..event
        }));
    }

    pub(crate) fn push(&self, event: TaskEvent) {
        self.lock().push(event);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TaskEvent>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the last event of each open task of a backend server.
fn open_tasks<'a>(events: &'a [TaskEvent], label: &str) -> impl Iterator<Item = &'a TaskEvent> {
    let server_events = events
        .iter()
        .enumerate()
        .filter(move |(_, e)| e.label == label);
    server_events
        .filter(|(index, event)| {
            let later = &events[index + 1..];
            event.kind != TaskEventKind::Ended
                && !later
                    .iter()
                    .any(|e| e.task == event.task && e.label == event.label)
        })
        .map(|(_, event)| event)
}

/// A fault in the answers that a fake backend server returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// Every answer is delayed by this time.
    Delayed(Duration),
    /// The first fetches of each answer return the answer of another task.
    WrongTask,
    /// The first fetches of each answer return it without its last character.
    Truncated,
}

/// Injects faults into a fake backend server; clones share the same state across threads.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector {
    answer_fault: Arc<Mutex<AnswerFault>>,
    tasks_fail: Arc<AtomicBool>,
}

impl FaultInjector {
    /// Sets the fault in the answers.
    pub fn set_answer_fault(&self, fault: AnswerFault) {
        *self
            .answer_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the fault in the answers.
    pub fn answer_fault(&self) -> AnswerFault {
        *self
            .answer_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether every task that starts from now on fails at once.
    pub fn set_tasks_fail(&self, fails: bool) {
        self.tasks_fail.store(fails, Ordering::SeqCst);
    }

    pub(crate) fn tasks_fail(&self) -> bool {
        self.tasks_fail.load(Ordering::SeqCst)
    }
}

/// The hooks through which a test observes a fake backend server and injects faults into it.
#[derive(Debug, Clone, Default)]
pub struct TestHooks {
    /// The label of the server in the event log.
    pub label: String,
    /// The log to which the server appends its events.
    pub event_log: TaskEventLog,
    /// The faults to inject.
    pub faults: FaultInjector,
}
