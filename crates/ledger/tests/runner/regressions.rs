//! Regression tests for the faults that fuzzing and review found.

use roseridge_ledger::{
    CommandOutcome,
    HOLD_TIMEOUT,
    JobState,
    LedgerChange,
    MAX_KEPT_ANSWER_BYTES,
    RefusalReason, //
};
use roseridge_model::{
    AnswerBody,
    IncarnationId,
    JobId,
    JobOutcome,
    TaskOutcome,
    TaskPhase,
    TaskStatus, //
};
use roseridge_policy::INITIAL_RETRY_BACKOFF;
use roseridge_testutils::cases;

use crate::{
    ledger_simulation::{
        LedgerSimulation,
        WORKERS, //
    },
    samples,
    simulation_step::SimulationStep, //
};

const JOB: JobId = JobId(1);
const ONCE: usize = 0;
const AGAIN: usize = 1;
const RESUME: usize = 2;

fn submit(simulation: &mut LedgerSimulation, key: u8, class: usize, members: u16) {
    simulation.apply_step(&SimulationStep::Submit {
        key,
        class,
        members,
    });
}

/// Returns a simulation in which the first job is running.
fn simulation_with_running_job(class: usize, members: u16) -> LedgerSimulation {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, class, members);
    simulation.apply_step(&SimulationStep::Decide);
    simulation.synchronize_agents();
    assert_eq!(simulation.state_name(JOB), "running");
    simulation
}

/// Returns the first worker that holds a task.
fn first_busy_worker(simulation: &LedgerSimulation) -> usize {
    let holds = |n: &usize| {
        !simulation.ledger.workers[&samples::worker(*n)]
            .tasks
            .is_empty()
    };
    (0..WORKERS).find(holds).expect("a worker holds a task")
}

/// Guards against a second run of an at-most-once job: a later template that makes its class
/// idempotent doesn't apply to it.
#[test]
fn template_change_does_not_allow_second_run() {
    let mut simulation = simulation_with_running_job(ONCE, 1);
    simulation.apply_step(&SimulationStep::ChangeTemplate {
        once_is_idempotent: true,
    });
    let worker = first_busy_worker(&simulation);
    simulation.apply_step(&SimulationStep::LoseWorker { worker });
    assert_eq!(simulation.state_name(JOB), "unknown");
}

/// Guards against a preemption that would need a second run of an at-most-once job.
#[test]
fn at_most_once_job_is_not_preempted_while_running() {
    let mut simulation = simulation_with_running_job(ONCE, 1);
    simulation.apply_step(&SimulationStep::Preempt { job: 0 });
    assert_eq!(simulation.state_name(JOB), "running");
    simulation.run_to_completion();
    assert_eq!(simulation.state_name(JOB), "done");
}

/// Guards against a worker loss that replaces a pending cancellation and requeues the job.
#[test]
fn cancelled_job_does_not_restart_after_worker_loss() {
    let mut simulation = simulation_with_running_job(AGAIN, 2);
    simulation.apply_step(&SimulationStep::Cancel { job: 0 });
    for worker in 0..WORKERS {
        simulation.apply_step(&SimulationStep::LoseWorker { worker });
    }
    assert_eq!(simulation.state_name(JOB), "cancelled");
}

/// Guards against a delayed announcement that retires the current incarnation of an agent.
#[test]
fn late_announcement_of_retired_incarnation_is_refused() {
    let mut simulation = simulation_with_running_job(ONCE, 1);
    let worker = first_busy_worker(&simulation);
    let retired = simulation.ledger.workers[&samples::worker(worker)].incarnation;
    simulation.apply_step(&SimulationStep::RestartAgent {
        worker,
        loses_tasks: false,
    });
    simulation.synchronize_agents();
    let outcome = simulation.apply(LedgerChange::AnnounceWorker {
        worker: samples::worker(worker),
        incarnation: retired,
        shape: samples::shape(),
        found: Vec::new(),
        leaving: false,
    });
    let refused = CommandOutcome::Refused(RefusalReason::OldIncarnation);
    assert_eq!(outcome, refused);
    assert_eq!(simulation.state_name(JOB), "running");
}

/// Guards against a delayed report that makes a leaving worker receive new work.
#[test]
fn stale_report_does_not_reopen_leaving_worker() {
    let mut simulation = LedgerSimulation::new();
    for leaving in [true, false] {
        let worker = 0;
        simulation.apply_step(&SimulationStep::Report { worker, leaving });
        simulation.apply_step(&SimulationStep::Deliver { pick: 0 });
    }
    assert!(simulation.ledger.workers[&samples::worker(0)].leaving);
}

/// Guards against gangs that wait forever for a member that is never held: each hold times out, and
/// the job ends at its attempt limit.
#[test]
fn incomplete_hold_times_out() {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, AGAIN, 2);
    for _ in 0..2 {
        let millis = INITIAL_RETRY_BACKOFF.0;
        simulation.apply_step(&SimulationStep::PassTime { millis });
        simulation.apply_step(&SimulationStep::Decide);
        assert_eq!(simulation.state_name(JOB), "preparing");
        let millis = HOLD_TIMEOUT.0;
        simulation.apply_step(&SimulationStep::PassTime { millis });
        simulation.apply_step(&SimulationStep::Expire);
        assert_eq!(simulation.state_name(JOB), "stopping");
        simulation.synchronize_agents();
    }
    assert_eq!(simulation.state_name(JOB), "not run");
}

/// Checks the state of a job when one of its members ends without an answer after the release.
fn check_unanswered(end: TaskOutcome) {
    for (class, expected) in [(ONCE, "unknown"), (AGAIN, "waiting")] {
        let mut simulation = simulation_with_running_job(class, 2);
        let worker = first_busy_worker(&simulation);
        simulation.end_first_task(worker, end.clone());
        simulation.synchronize_agents();
        assert_eq!(simulation.state_name(JOB), expected);
    }
}

cases! {
    check_unanswered:
    member_not_started_after_release_stops_gang = TaskOutcome::NotStarted,
    lost_member_stops_gang = TaskOutcome::Lost,
    stopped_member_stops_gang = TaskOutcome::Stopped,
}

/// Guards against jobs or idempotency keys that are removed before their retention is over, or
/// never.
#[test]
fn ended_job_and_key_are_removed_after_retention() {
    let mut simulation = simulation_with_running_job(ONCE, 1);
    simulation.run_to_completion();
    simulation.apply_step(&SimulationStep::PassTime {
        millis: samples::RETENTION_MS - 1,
    });
    simulation.apply_step(&SimulationStep::Expire);
    submit(&mut simulation, 0, ONCE, 1);
    assert_eq!(
        simulation.ledger.jobs.len(),
        1,
        "a resend returns the same job"
    );
    simulation.apply_step(&SimulationStep::PassTime { millis: 1 });
    simulation.apply_step(&SimulationStep::Expire);
    assert!(simulation.ledger.jobs.is_empty() && simulation.ledger.keys.is_empty());
    assert_eq!(simulation.ledger.next_expiry(), None);
}

/// Guards against a command whose work grows with the number of expired jobs.
#[test]
fn expiry_removes_bounded_number_of_jobs() {
    let mut simulation = LedgerSimulation::new();
    for _ in 0..4 {
        for key in 0..100 {
            submit(&mut simulation, key, ONCE, 1);
        }
        for job in 0..simulation.ledger.jobs.len() as u64 {
            simulation.apply_step(&SimulationStep::Cancel { job });
        }
        simulation.apply_step(&SimulationStep::PassTime {
            millis: samples::RETENTION_MS,
        });
    }
    let before = simulation.ledger.jobs.len();
    simulation.apply_step(&SimulationStep::Expire);
    assert!(simulation.ledger.jobs.len() + 256 >= before);
}

/// Guards against unbounded memory for answers: beyond a customer's share the oldest answers are
/// dropped, and their jobs stay done.
#[test]
fn oldest_answers_are_dropped_above_limit() {
    let mut simulation = LedgerSimulation::new();
    let job_count = 6;
    for key in 0..job_count {
        submit(&mut simulation, key, AGAIN, 1);
        simulation.apply_step(&SimulationStep::Decide);
        simulation.synchronize_agents();
        let worker = first_busy_worker(&simulation);
        let text = "x".repeat(MAX_KEPT_ANSWER_BYTES / 4);
        let end = TaskOutcome::Done(AnswerBody { text, crc32: 0 });
        simulation.end_without_oracle(worker, end);
    }
    let dropped = simulation.ledger.jobs.values().filter(|record| {
        let JobState::Ended { outcome, .. } = &record.state else {
            panic!("the job has not ended");
        };
        *outcome == JobOutcome::AnswersDropped
    });
    assert_eq!(dropped.count(), 2);
    let counters = simulation
        .ledger
        .counters(&samples::customer())
        .expect("the customer has counters");
    assert_eq!(counters.answer_bytes, MAX_KEPT_ANSWER_BYTES);
}

/// Guards against a leaving worker that stops a running job which can't continue elsewhere.
#[test]
fn leaving_worker_keeps_only_jobs_that_cannot_move() {
    for (class, expected) in [(ONCE, "running"), (AGAIN, "running"), (RESUME, "stopping")] {
        let mut simulation = simulation_with_running_job(class, 1);
        let worker = first_busy_worker(&simulation);
        let leaving = true;
        simulation.apply_step(&SimulationStep::Report { worker, leaving });
        simulation.apply_step(&SimulationStep::Deliver { pick: 0 });
        assert_eq!(simulation.state_name(JOB), expected);
    }
}

/// Guards against a payload that is sent again with every change of the orders.
#[test]
fn payload_is_sent_once() {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, ONCE, 1);
    simulation.apply_step(&SimulationStep::Decide);
    let name = samples::worker(first_busy_worker(&simulation));
    let placed = simulation.ledger.applied;
    let payload = |known| {
        simulation.ledger.orders_for(&name, known)[0]
            .payload
            .clone()
    };
    assert_eq!(payload(placed - 1).as_deref(), Some("work"));
    assert_eq!(payload(placed), None);
}

/// Guards against a late or misdirected report that ends a task of another attempt, member, worker
/// or incarnation.
#[test]
fn mismatched_report_changes_nothing() {
    let mut simulation = simulation_with_running_job(ONCE, 1);
    let worker = first_busy_worker(&simulation);
    let name = samples::worker(worker);
    let incarnation = simulation.ledger.workers[&name].incarnation;
    let task = *simulation.ledger.workers[&name]
        .tasks
        .first()
        .expect("a task");
    let mut other_attempt = task;
    other_attempt.attempt.0 += 1;
    let mut other_member = task;
    other_member.member += 1;
    let other_name = samples::worker((worker + 1) % WORKERS);
    let other_incarnation = simulation.ledger.workers[&other_name].incarnation;
    let mismatched = [
        (name.clone(), incarnation, other_attempt),
        (name.clone(), incarnation, other_member),
        (name, IncarnationId(u64::MAX), task),
        (other_name, other_incarnation, task),
    ];
    for (worker, incarnation, task) in mismatched {
        let phase = TaskPhase::Ended(TaskOutcome::Done(samples::answer(task)));
        let jobs = simulation.ledger.jobs.clone();
        simulation.apply(LedgerChange::Report {
            worker,
            incarnation,
            statuses: vec![TaskStatus { task, phase }],
            leaving: false,
        });
        assert_eq!(simulation.ledger.jobs, jobs);
    }
}
