//! A named case for each fault that fuzzing or review found.

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
    simulation.take(&SimulationStep::Submit {
        key,
        class,
        members,
    });
}

/// Makes a world in which the first job is running.
fn running(class: usize, members: u16) -> LedgerSimulation {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, class, members);
    simulation.take(&SimulationStep::Decide);
    simulation.synchronize_agents();
    assert_eq!(simulation.state(JOB), "running");
    simulation
}

fn first_busy_worker(simulation: &LedgerSimulation) -> usize {
    let holds = |n: &usize| {
        !simulation.ledger.workers[&samples::worker(*n)]
            .tasks
            .is_empty()
    };
    (0..WORKERS).find(holds).expect("a worker holds a task")
}

#[test]
fn a_new_template_allows_no_second_run() {
    let mut simulation = running(ONCE, 1);
    simulation.take(&SimulationStep::ChangeTemplate {
        once_is_idempotent: true,
    });
    let worker = first_busy_worker(&simulation);
    simulation.take(&SimulationStep::LoseWorker { worker });
    assert_eq!(simulation.state(JOB), "unknown");
}

#[test]
fn a_job_that_runs_once_does_not_yield() {
    let mut simulation = running(ONCE, 1);
    simulation.take(&SimulationStep::Preempt { job: 0 });
    assert_eq!(simulation.state(JOB), "running");
    simulation.drain();
    assert_eq!(simulation.state(JOB), "done");
}

#[test]
fn a_cancelled_job_does_not_run_again_when_a_worker_is_lost() {
    let mut simulation = running(AGAIN, 2);
    simulation.take(&SimulationStep::Cancel { job: 0 });
    for worker in 0..WORKERS {
        simulation.take(&SimulationStep::LoseWorker { worker });
    }
    assert_eq!(simulation.state(JOB), "cancelled");
}

#[test]
fn a_late_announcement_of_an_earlier_life_is_refused() {
    let mut simulation = running(ONCE, 1);
    let worker = first_busy_worker(&simulation);
    let earlier = simulation.ledger.workers[&samples::worker(worker)].incarnation;
    simulation.take(&SimulationStep::RestartAgent {
        worker,
        loses_tasks: false,
    });
    simulation.synchronize_agents();
    let outcome = simulation.apply(LedgerChange::AnnounceWorker {
        worker: samples::worker(worker),
        incarnation: earlier,
        shape: samples::shape(),
        found: Vec::new(),
        leaving: false,
    });
    let refused = CommandOutcome::Refused(RefusalReason::OldIncarnation);
    assert_eq!(outcome, refused);
    assert_eq!(simulation.state(JOB), "running");
}

#[test]
fn a_stale_report_does_not_bring_a_leaving_worker_back() {
    let mut simulation = LedgerSimulation::new();
    for leaving in [true, false] {
        let worker = 0;
        simulation.take(&SimulationStep::Report { worker, leaving });
        simulation.take(&SimulationStep::Deliver { pick: 0 });
    }
    assert!(simulation.ledger.workers[&samples::worker(0)].leaving);
}

/// Gives up a hold after its limit, and the job once it has failed as often as it may.
#[test]
fn a_hold_that_never_completes_is_given_up() {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, AGAIN, 2);
    for _ in 0..2 {
        let millis = INITIAL_RETRY_BACKOFF.0;
        simulation.take(&SimulationStep::PassTime { millis });
        simulation.take(&SimulationStep::Decide);
        assert_eq!(simulation.state(JOB), "preparing");
        let millis = HOLD_TIMEOUT.0;
        simulation.take(&SimulationStep::PassTime { millis });
        simulation.take(&SimulationStep::Expire);
        assert_eq!(simulation.state(JOB), "stopping");
        simulation.synchronize_agents();
    }
    assert_eq!(simulation.state(JOB), "not run");
}

/// What a member may say after the release without an end of its own.
fn check_bad_end(end: TaskOutcome) {
    for (class, expected) in [(ONCE, "unknown"), (AGAIN, "waiting")] {
        let mut simulation = running(class, 2);
        let worker = first_busy_worker(&simulation);
        simulation.end_first_task(worker, end.clone());
        simulation.synchronize_agents();
        assert_eq!(simulation.state(JOB), expected);
    }
}

cases! {
    check_bad_end:
    a_member_that_did_not_start_after_the_release_stops_its_gang = TaskOutcome::NotStarted,
    a_member_that_was_lost_stops_its_gang = TaskOutcome::Lost,
    a_member_that_was_stopped_stops_its_gang = TaskOutcome::Stopped,
}

#[test]
fn a_job_is_forgotten_with_its_key_after_its_retention() {
    let mut simulation = running(ONCE, 1);
    simulation.drain();
    simulation.take(&SimulationStep::PassTime {
        millis: samples::RETENTION_MS - 1,
    });
    simulation.take(&SimulationStep::Expire);
    submit(&mut simulation, 0, ONCE, 1);
    assert_eq!(
        simulation.ledger.jobs.len(),
        1,
        "a resend gets the same job"
    );
    simulation.take(&SimulationStep::PassTime { millis: 1 });
    simulation.take(&SimulationStep::Expire);
    assert!(simulation.ledger.jobs.is_empty() && simulation.ledger.keys.is_empty());
    assert_eq!(simulation.ledger.next_expiry(), None);
}

#[test]
fn one_command_forgets_a_bounded_number_of_jobs() {
    let mut simulation = LedgerSimulation::new();
    for _ in 0..4 {
        for key in 0..100 {
            submit(&mut simulation, key, ONCE, 1);
        }
        for job in 0..simulation.ledger.jobs.len() as u64 {
            simulation.take(&SimulationStep::Cancel { job });
        }
        simulation.take(&SimulationStep::PassTime {
            millis: samples::RETENTION_MS,
        });
    }
    let before = simulation.ledger.jobs.len();
    simulation.take(&SimulationStep::Expire);
    assert!(simulation.ledger.jobs.len() + 256 >= before);
}

/// Keeps the answers of a customer within its bound; the oldest go first and their jobs stay done.
#[test]
fn the_oldest_answers_are_dropped_beyond_the_bound() {
    let mut simulation = LedgerSimulation::new();
    let rounds = 6;
    for round in 0..rounds {
        submit(&mut simulation, round, AGAIN, 1);
        simulation.take(&SimulationStep::Decide);
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
        .expect("a tally");
    assert_eq!(counters.answer_bytes, MAX_KEPT_ANSWER_BYTES);
}

#[test]
fn a_leaving_worker_keeps_only_what_must_end_there() {
    for (class, expected) in [(ONCE, "running"), (AGAIN, "running"), (RESUME, "stopping")] {
        let mut simulation = running(class, 1);
        let worker = first_busy_worker(&simulation);
        let leaving = true;
        simulation.take(&SimulationStep::Report { worker, leaving });
        simulation.take(&SimulationStep::Deliver { pick: 0 });
        assert_eq!(simulation.state(JOB), expected);
    }
}

#[test]
fn a_payload_is_sent_once() {
    let mut simulation = LedgerSimulation::new();
    submit(&mut simulation, 0, ONCE, 1);
    simulation.take(&SimulationStep::Decide);
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

/// A report for another attempt, member, worker or life changes nothing.
#[test]
fn a_crossed_report_changes_nothing() {
    let mut simulation = running(ONCE, 1);
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
    let other_life = simulation.ledger.workers[&other_name].incarnation;
    let crossed = [
        (name.clone(), incarnation, other_attempt),
        (name.clone(), incarnation, other_member),
        (name, IncarnationId(u64::MAX), task),
        (other_name, other_life, task),
    ];
    for (worker, incarnation, task) in crossed {
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
