//! Single cases of the task book, the lease and the breaker.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_agent::{
    BackendLimits,
    CallBreaker,
    LeaseState,
    TaskAction,
    TaskTable, //
};
use roseridge_model::{
    AnswerBody,
    DesiredState,
    IncarnationId,
    ResourceShape,
    TaskId,
    TaskOrder,
    TaskOutcome,
    TaskPhase, //
    answer::MAX_ANSWER_BYTES,
    backend_api::{
        BackendList,
        BackendPhase,
        BackendTask, //
    },
};

use crate::table_simulation::{
    LIMITS,
    answer,
    task, //
};

const LIFE: IncarnationId = IncarnationId(1);

fn order(id: TaskId, desired: DesiredState) -> TaskOrder {
    TaskOrder {
        task: id,
        incarnation: LIFE,
        desired,
        shape: ResourceShape::default(),
        checkpointable: true,
        payload: Some("work".to_owned()),
    }
}

fn list(id: TaskId, phase: BackendPhase) -> BackendList {
    BackendList {
        sequence: 1,
        tasks: vec![BackendTask {
            task: id,
            phase,
            reason: None,
        }],
        lease_left_ms: None,
    }
}

/// Makes a book with one task that runs by the backend server's word.
fn running() -> TaskTable {
    let mut book = TaskTable::new(LIFE);
    book.take_orders(1, vec![order(task(1), DesiredState::Running)]);
    book.take_list(&list(task(1), BackendPhase::Running));
    book
}

#[test]
fn a_checkpoint_is_asked_before_a_stop() {
    let mut book = running();
    book.take_orders(2, vec![order(task(1), DesiredState::Stopped)]);
    let checkpoint = TaskAction::Checkpoint { task: task(1) };
    assert_eq!(
        book.next_actions(LeaseState::Held, LIMITS),
        std::slice::from_ref(&checkpoint)
    );
    book.action_failed(&checkpoint);
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(book.next_actions(LeaseState::Held, LIMITS), [stop]);
}

#[test]
fn without_a_lease_a_task_is_stopped_at_once() {
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(running().next_actions(LeaseState::Gone, LIMITS), [stop]);
}

#[test]
fn a_new_life_keeps_what_runs_until_its_orders_come() {
    let mut book = TaskTable::new(LIFE);
    book.take_list(&list(task(1), BackendPhase::Running));
    assert_eq!(book.next_actions(LeaseState::Kept, LIMITS), []);
    assert_eq!(book.next_actions(LeaseState::Held, LIMITS), []);
    book.take_orders(1, Vec::new());
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(book.next_actions(LeaseState::Held, LIMITS), [stop]);
}

/// A new life tells of a task that is done before it has fetched the answer.
#[test]
fn a_new_life_finds_a_task_that_is_done() {
    let mut book = TaskTable::new(LIFE);
    book.take_list(&list(task(1), BackendPhase::Done));
    let statuses = book.report(1);
    assert_eq!(statuses[0].phase, TaskPhase::Running);
}

/// A list that was taken before a prepare may arrive after its answer.
#[test]
fn one_list_that_lacks_a_task_does_not_end_it() {
    let mut book = TaskTable::new(LIFE);
    book.take_orders(1, vec![order(task(1), DesiredState::Held)]);
    let prepare = book.next_actions(LeaseState::Held, LIMITS).remove(0);
    book.action_done(&prepare);
    book.take_list(&BackendList::default());
    assert_eq!(book.phase(task(1)), Some(&TaskPhase::Held));
    book.take_list(&BackendList::default());
    let gone = TaskPhase::Ended(TaskOutcome::NotStarted);
    assert_eq!(book.phase(task(1)), Some(&gone));
}

/// A prepare without an answer may hold a slot: it is stopped before it counts as not started.
#[test]
fn a_prepare_that_was_not_answered_is_given_up_at_the_backend() {
    let mut book = TaskTable::new(LIFE);
    book.take_orders(1, vec![order(task(1), DesiredState::Held)]);
    let prepare = book.next_actions(LeaseState::Held, LIMITS).remove(0);
    book.action_failed(&prepare);
    book.take_orders(2, vec![order(task(1), DesiredState::Stopped)]);
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(book.next_actions(LeaseState::Held, LIMITS), [stop]);
    assert_eq!(book.phase(task(1)), None);
}

#[test]
fn an_order_of_an_earlier_life_starts_nothing() {
    let mut book = TaskTable::new(IncarnationId(2));
    book.take_orders(1, vec![order(task(1), DesiredState::Running)]);
    book.take_list(&list(task(1), BackendPhase::Held));
    assert_eq!(book.next_actions(LeaseState::Held, LIMITS), []);
}

#[test]
fn an_answer_over_the_limit_fails_the_task() {
    let mut book = running();
    book.take_list(&list(task(1), BackendPhase::Done));
    let text = "x".repeat(MAX_ANSWER_BYTES + 1);
    book.take_answer(task(1), AnswerBody { text, crc32: 0 });
    let phase = book.phase(task(1));
    let failed = matches!(phase, Some(TaskPhase::Ended(TaskOutcome::Failed(_))));
    assert!(failed, "{phase:?}");
}

#[test]
fn a_damaged_answer_is_fetched_again_but_not_for_ever() {
    let mut book = running();
    book.take_list(&list(task(1), BackendPhase::Done));
    let mut fetches = 0;
    while let [TaskAction::FetchAnswer { task }] = book.next_actions(LeaseState::Held, LIMITS)[..] {
        fetches += 1;
        book.take_bad_answer(task);
    }
    assert_eq!(fetches, 20);
}

#[test]
fn the_first_end_stands() {
    let mut book = running();
    book.take_list(&list(task(1), BackendPhase::Done));
    book.take_answer(task(1), answer(task(1)));
    book.take_answer(task(1), answer(task(2)));
    book.take_list(&list(task(1), BackendPhase::Failed));
    let done = TaskPhase::Ended(TaskOutcome::Done(answer(task(1))));
    assert_eq!(book.phase(task(1)), Some(&done));
}

#[test]
fn an_open_breaker_lets_one_call_pass_at_a_time() {
    let mut breaker = CallBreaker::default();
    let now = Instant::now();
    for _ in 0..3 {
        assert_eq!(breaker.allowance(now, 16), 16);
        breaker.unanswered(now);
    }
    assert_eq!(breaker.allowance(now, 16), 0);
    let later = now + Duration::from_secs(5);
    assert_eq!(breaker.allowance(later, 16), 1);
    breaker.answered();
    assert_eq!(breaker.allowance(later, 16), 16);
}

#[test]
fn no_call_is_made_without_allowance() {
    let none = BackendLimits { calls: 0, ..LIMITS };
    assert_eq!(running().next_actions(LeaseState::Gone, none), []);
}
