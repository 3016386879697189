//! What happened at fake backend servers, kept where other threads can read it.

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

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    /// It took its place and waits at the barrier.
    Held,
    /// It was started.
    Started,
    /// It is over, however it ended.
    Ended,
}

/// Something that happened to a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    /// The label of the fake backend server.
    pub label: String,
    /// The task.
    pub task: TaskId,
    /// The answer that the task's payload asks for; empty before the start.
    pub answer: String,
    /// What happened.
    pub kind: TaskEventKind,
}

/// The events of every fake backend server that shares it, in the order in which they happened.
///
/// It outlives the servers, so that starts before and after a restart are counted together.
#[derive(Debug, Clone, Default)]
pub struct TaskEventLog(Arc<Mutex<Vec<TaskEvent>>>);

impl TaskEventLog {
    /// Returns every event so far.
    pub fn events(&self) -> Vec<TaskEvent> {
        self.lock().clone()
    }

    /// Notes that a backend server died, and every open task of it with it.
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

/// Returns the last event of each task of a backend server that is not over.
fn open_tasks<'a>(events: &'a [TaskEvent], label: &str) -> impl Iterator<Item = &'a TaskEvent> {
    let own = events
        .iter()
        .enumerate()
        .filter(move |(_, e)| e.label == label);
    own.filter(|(index, event)| {
        let later = &events[index + 1..];
        event.kind != TaskEventKind::Ended
            && !later
                .iter()
                .any(|e| e.task == event.task && e.label == event.label)
    })
    .map(|(_, event)| event)
}

/// What is wrong with the answers that a fake backend server gives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// Every answer comes late.
    Delayed(Duration),
    /// The first answers to a fetch are those of another task.
    WrongTask,
    /// The first answers to a fetch lack their end.
    Truncated,
}

/// Switches for the faults of a fake backend server that other threads can turn.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector {
    answer_fault: Arc<Mutex<AnswerFault>>,
    tasks_fail: Arc<AtomicBool>,
}

impl FaultInjector {
    /// Sets what is wrong with the answers.
    pub fn set_answer_fault(&self, fault: AnswerFault) {
        *self
            .answer_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns what is wrong with the answers.
    pub fn answer_fault(&self) -> AnswerFault {
        *self
            .answer_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether every task fails as soon as it is started.
    pub fn set_tasks_fail(&self, fails: bool) {
        self.tasks_fail.store(fails, Ordering::SeqCst);
    }

    pub(crate) fn tasks_fail(&self) -> bool {
        self.tasks_fail.load(Ordering::SeqCst)
    }
}

/// How a fake backend server is watched and disturbed.
#[derive(Debug, Clone, Default)]
pub struct TestHooks {
    /// The label in the record.
    pub label: String,
    /// Where events are noted.
    pub event_log: TaskEventLog,
    /// What is wrong with the answers.
    pub faults: FaultInjector,
}
