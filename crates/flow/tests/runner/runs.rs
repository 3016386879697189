//! Runs of single tasks: their numbers, their resources and the effects of their ends.

use roseridge_flow::{
    FlowChange,
    FlowPhase,
    RunOutcome,
    StopCause,
    UnstartedRun, //
};
use roseridge_model::{
    DurationMs,
    StepSpec, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    ATTEMPT_LIMIT,
    SmallSite,
    backend,
    queue_key,
    run,
    step,
    task, //
};

#[test]
fn run_numbers_increase_from_one() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    assert_eq!(site.placed(key), Some((1, backend(0))));
    site.end(0, 1, run(key, 1), RunOutcome::Stopped);
    site.place(&[(key, 1)]);
    assert_eq!(site.placed(key), Some((2, backend(1))));
}

#[test]
fn placed_task_is_not_placed_again() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.place(&[(key, 1)]);
    assert_eq!(site.placed(key), Some((1, backend(0))));
    assert!(site.flows.backends[&backend(1)].runs.is_empty());
}

/// Guards against an overcommitted backend server: a run that is ordered to stop may still run.
#[test]
fn stopped_run_uses_its_resources_until_its_end_is_known() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(4)]);
    site.submit(2, vec![step(1)]);
    let all: Vec<_> = (0..4).map(|index| (task(1, 0, index), 0)).collect();
    site.place(&all);
    site.stop(run(task(1, 0, 0), 1));
    site.place(&[(task(2, 0, 0), 0)]);
    assert!(
        site.is_waiting(task(2, 0, 0)),
        "the accelerators are not free yet"
    );
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Stopped);
    site.place(&[(task(2, 0, 0), 0)]);
    assert!(site.placed(task(2, 0, 0)).is_some());
}

#[test]
fn placement_beyond_the_free_resources_is_skipped() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(5)]);
    let all: Vec<_> = (0..5).map(|index| (task(1, 0, index), 0)).collect();
    site.place(&all);
    assert!(
        site.flows.backends[&backend(0)].runs.is_empty(),
        "ten of eight accelerators were requested"
    );
}

#[test]
fn step_starts_after_all_tasks_of_the_steps_that_it_depends_on() {
    let mut site = SmallSite::new(1);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    site.submit(1, vec![step(2), second]);
    site.place(&[(task(1, 0, 0), 0), (task(1, 0, 1), 0)]);
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Done);
    site.place(&[(task(1, 1, 0), 0)]);
    assert!(site.is_waiting(task(1, 1, 0)));
    site.end(0, 2, run(task(1, 0, 1), 1), RunOutcome::Done);
    site.place(&[(task(1, 1, 0), 0)]);
    assert!(site.placed(task(1, 1, 0)).is_some());
    site.end(0, 3, run(task(1, 1, 0), 1), RunOutcome::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

/// Guards against a flow that fails too early because an agent reports the same end again.
#[test]
fn resent_end_counts_once() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.end(0, 1, run(key, 1), RunOutcome::Failed);
    site.place(&[(key, 0)]);
    // The same end is reported again, first under its own number and then under a new one.
    site.end(0, 1, run(key, 1), RunOutcome::Failed);
    site.end(0, 2, run(key, 1), RunOutcome::Failed);
    assert_eq!(site.phase(1), FlowPhase::Open);
    assert_eq!(site.placed(key), Some((2, backend(0))));
}

#[test]
fn flow_fails_at_its_limit_of_attempts() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(2)]);
    for attempt in 1..=ATTEMPT_LIMIT {
        site.place(&[(key, 0)]);
        site.end(0, u64::from(attempt), run(key, attempt), RunOutcome::Failed);
    }
    assert!(matches!(site.phase(1), FlowPhase::Failed { .. }));
    site.place(&[(key, 0)]);
    assert!(site.is_waiting(key), "no further attempt starts");
}

/// Checks that an end that is not an error of the task counts as no failed attempt.
fn check_no_failure_counted(end: RunOutcome) {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    for attempt in 1..=ATTEMPT_LIMIT + 2 {
        site.place(&[(key, 0)]);
        site.end(0, u64::from(attempt), run(key, attempt), end);
        assert_eq!(site.phase(1), FlowPhase::Open);
        assert!(site.is_waiting(key));
    }
}

cases! {
    check_no_failure_counted:
    stopped_run_counts_as_no_failure = RunOutcome::Stopped,
    run_with_expired_lease_counts_as_no_failure = RunOutcome::Lapsed,
    run_of_a_broken_gang_counts_as_no_failure = RunOutcome::Broken,
    run_without_its_gang_counts_as_no_failure = RunOutcome::Alone,
}

#[test]
fn run_on_a_lost_backend_counts_as_no_failure() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    for _ in 0..ATTEMPT_LIMIT + 2 {
        site.place(&[(key, 0)]);
        site.lose(0);
        assert!(site.is_waiting(key));
        site.announce(0, 0);
    }
    assert_eq!(site.phase(1), FlowPhase::Open);
}

#[test]
fn unstarted_run_frees_its_resources() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.apply(FlowChange::Report {
        backend: backend(0),
        ends: Vec::new(),
        unstarted: vec![UnstartedRun {
            run: run(key, 1),
            reason: "the backend server leaves".to_owned(),
        }],
    });
    assert!(site.is_waiting(key));
    assert!(site.flows.backends[&backend(0)].runs.is_empty());
}

#[test]
fn empty_checkpoint_does_not_replace_an_earlier_one() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    let saving = StepSpec {
        checkpointing: true,
        ..step(1)
    };
    site.submit(1, vec![saving]);
    site.place(&[(key, 0)]);
    site.advance(2_000);
    site.end_with_checkpoint(0, 1, run(key, 1), RunOutcome::Stopped, "first");
    site.place(&[(key, 0)]);
    site.end_with_checkpoint(0, 2, run(key, 2), RunOutcome::Lapsed, "");
    let flow = &site.flows.flows[&key.flow];
    let record = flow.task(key).expect("the task");
    assert_eq!(record.saved, "first");
    assert_eq!(record.saved_work, DurationMs(2_000));
}

/// Guards against run times that are too short, because a resumed run does only a part of the work.
#[test]
fn run_times_are_recorded_for_complete_runs_only() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.submit(2, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.advance(3_000);
    site.end_with_checkpoint(0, 1, run(key, 1), RunOutcome::Stopped, "half");
    site.place(&[(key, 0), (task(2, 0, 0), 0)]);
    site.advance(1_000);
    site.end(0, 2, run(key, 2), RunOutcome::Done);
    assert!(
        site.flows.run_times.samples(&queue_key()).is_empty(),
        "a resumed run is not a sample"
    );
    site.end(0, 3, run(task(2, 0, 0), 1), RunOutcome::Done);
    let samples = site.flows.run_times.samples(&queue_key());
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].took, DurationMs(1_000));
}

#[test]
fn lasting_task_restarts_after_any_end() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    let lasting = StepSpec {
        lasting: true,
        ..step(1)
    };
    site.submit(1, vec![lasting]);
    let ends = [
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Failed,
    ];
    for (attempt, end) in (1..).zip(ends) {
        site.place(&[(key, 0)]);
        site.end(0, u64::from(attempt), run(key, attempt), end);
        assert!(site.is_waiting(key), "after run {attempt}");
    }
    assert_eq!(site.phase(1), FlowPhase::Open);
}

#[test]
fn first_stop_cause_is_kept() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.stop(run(key, 1));
    site.apply(FlowChange::Cancel { flow: key.flow });
    let record = &site.flows.backends[&backend(0)].runs[&run(key, 1)];
    assert_eq!(record.stop, Some(StopCause::Displaced));
}
