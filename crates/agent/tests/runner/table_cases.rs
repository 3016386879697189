//! Single cases of the task table and the circuit breaker.

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
    TaskOutcome, //
    TaskPhase,
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

const INCARNATION: IncarnationId = IncarnationId(1);

fn order(id: TaskId, desired: DesiredState) -> TaskOrder {
    TaskOrder {
        task: id,
        incarnation: INCARNATION,
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

/// Returns a table with one task that the backend server lists as running.
fn running_table() -> TaskTable {
    let mut table = TaskTable::new(INCARNATION);
    table.apply_orders(1, vec![order(task(1), DesiredState::Running)]);
    table.apply_list(&list(task(1), BackendPhase::Running));
    table
}

#[test]
fn checkpoint_is_requested_before_a_stop() {
    let mut table = running_table();
    table.apply_orders(2, vec![order(task(1), DesiredState::Stopped)]);
    let checkpoint = TaskAction::Checkpoint { task: task(1) };
    assert_eq!(
        table.next_actions(LeaseState::Valid, LIMITS),
        std::slice::from_ref(&checkpoint)
    );
    table.action_failed(&checkpoint);
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(table.next_actions(LeaseState::Valid, LIMITS), [stop]);
}

#[test]
fn task_is_stopped_at_once_without_a_lease() {
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(
        running_table().next_actions(LeaseState::Expired, LIMITS),
        [stop]
    );
}

#[test]
fn new_incarnation_keeps_running_tasks_until_orders_arrive() {
    let mut table = TaskTable::new(INCARNATION);
    table.apply_list(&list(task(1), BackendPhase::Running));
    assert_eq!(table.next_actions(LeaseState::Inherited, LIMITS), []);
    assert_eq!(table.next_actions(LeaseState::Valid, LIMITS), []);
    table.apply_orders(1, Vec::new());
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(table.next_actions(LeaseState::Valid, LIMITS), [stop]);
}

/// A restarted agent reports a done task as running until it has fetched the answer.
#[test]
fn new_incarnation_reports_a_done_task_as_running() {
    let mut table = TaskTable::new(INCARNATION);
    table.apply_list(&list(task(1), BackendPhase::Done));
    let statuses = table.report(1);
    assert_eq!(statuses[0].phase, TaskPhase::Running);
}

/// A list that was taken before a prepare may arrive after the answer to the prepare.
#[test]
fn single_list_without_a_task_does_not_end_it() {
    let mut table = TaskTable::new(INCARNATION);
    table.apply_orders(1, vec![order(task(1), DesiredState::Held)]);
    let prepare = table.next_actions(LeaseState::Valid, LIMITS).remove(0);
    table.action_done(&prepare);
    table.apply_list(&BackendList::default());
    assert_eq!(table.phase(task(1)), Some(&TaskPhase::Held));
    table.apply_list(&BackendList::default());
    let not_started = TaskPhase::Ended(TaskOutcome::NotStarted);
    assert_eq!(table.phase(task(1)), Some(&not_started));
}

/// A prepare without an answer may hold a slot, so that the task is stopped before it counts as not
/// started.
#[test]
fn unanswered_prepare_is_stopped_at_the_backend_server() {
    let mut table = TaskTable::new(INCARNATION);
    table.apply_orders(1, vec![order(task(1), DesiredState::Held)]);
    let prepare = table.next_actions(LeaseState::Valid, LIMITS).remove(0);
    table.action_failed(&prepare);
    table.apply_orders(2, vec![order(task(1), DesiredState::Stopped)]);
    let stop = TaskAction::Stop { task: task(1) };
    assert_eq!(table.next_actions(LeaseState::Valid, LIMITS), [stop]);
    assert_eq!(table.phase(task(1)), None);
}

#[test]
fn order_for_another_incarnation_starts_nothing() {
    let mut table = TaskTable::new(IncarnationId(2));
    table.apply_orders(1, vec![order(task(1), DesiredState::Running)]);
    table.apply_list(&list(task(1), BackendPhase::Held));
    assert_eq!(table.next_actions(LeaseState::Valid, LIMITS), []);
}

#[test]
fn oversized_answer_fails_the_task() {
    let mut table = running_table();
    table.apply_list(&list(task(1), BackendPhase::Done));
    let text = "x".repeat(MAX_ANSWER_BYTES + 1);
    table.apply_answer(task(1), AnswerBody { text, crc32: 0 });
    let phase = table.phase(task(1));
    let failed = matches!(phase, Some(TaskPhase::Ended(TaskOutcome::Failed(_))));
    assert!(failed, "{phase:?}");
}

#[test]
fn invalid_answer_is_fetched_a_limited_number_of_times() {
    let mut table = running_table();
    table.apply_list(&list(task(1), BackendPhase::Done));
    let mut fetches = 0;
    while let [TaskAction::FetchAnswer { task }] = table.next_actions(LeaseState::Valid, LIMITS)[..]
    {
        fetches += 1;
        table.record_invalid_answer(task);
    }
    assert_eq!(fetches, 20);
}

#[test]
fn first_outcome_is_final() {
    let mut table = running_table();
    table.apply_list(&list(task(1), BackendPhase::Done));
    table.apply_answer(task(1), answer(task(1)));
    table.apply_answer(task(1), answer(task(2)));
    table.apply_list(&list(task(1), BackendPhase::Failed));
    let done = TaskPhase::Ended(TaskOutcome::Done(answer(task(1))));
    assert_eq!(table.phase(task(1)), Some(&done));
}

#[test]
fn open_breaker_passes_one_call_at_a_time() {
    let mut breaker = CallBreaker::default();
    let now = Instant::now();
    for _ in 0..3 {
        assert_eq!(breaker.allowed_calls(now, 16), 16);
        breaker.record_unanswered(now);
    }
    assert_eq!(breaker.allowed_calls(now, 16), 0);
    let later = now + Duration::from_secs(5);
    assert_eq!(breaker.allowed_calls(later, 16), 1);
    breaker.record_answered();
    assert_eq!(breaker.allowed_calls(later, 16), 16);
}

#[test]
fn no_call_is_made_without_allowance() {
    let no_calls = BackendLimits { calls: 0, ..LIMITS };
    assert_eq!(
        running_table().next_actions(LeaseState::Expired, no_calls),
        []
    );
}
