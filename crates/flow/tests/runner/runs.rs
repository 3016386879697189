//! Runs of single tasks: their numbers, their room and their ends.

use roseridge_flow::{
    FlowChange,
    FlowPhase,
    RunEnd,
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
fn run_numbers_rise_and_begin_at_one() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    assert_eq!(site.placed(key), Some((1, backend(0))));
    site.end(0, 1, run(key, 1), RunEnd::Stopped);
    site.place(&[(key, 1)]);
    assert_eq!(site.placed(key), Some((2, backend(1))));
}

#[test]
fn placed_task_gets_no_second_place() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.place(&[(key, 1)]);
    assert_eq!(site.placed(key), Some((1, backend(0))));
    assert!(site.flows.backends[&backend(1)].runs.is_empty());
}

#[test]
fn stopped_run_takes_its_room_until_its_end_is_known() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(4)]);
    site.submit(2, vec![step(1)]);
    let all: Vec<_> = (0..4).map(|index| (task(1, 0, index), 0)).collect();
    site.place(&all);
    site.stop(run(task(1, 0, 0), 1));
    site.place(&[(task(2, 0, 0), 0)]);
    assert!(site.is_waiting(task(2, 0, 0)), "the room is not free yet");
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Stopped);
    site.place(&[(task(2, 0, 0), 0)]);
    assert!(site.placed(task(2, 0, 0)).is_some());
}

#[test]
fn no_more_is_placed_than_fits() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(5)]);
    let all: Vec<_> = (0..5).map(|index| (task(1, 0, index), 0)).collect();
    site.place(&all);
    assert!(
        site.flows.backends[&backend(0)].runs.is_empty(),
        "ten accelerators of eight"
    );
}

#[test]
fn step_begins_after_all_tasks_of_the_steps_before() {
    let mut site = SmallSite::new(1);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    site.submit(1, vec![step(2), second]);
    site.place(&[(task(1, 0, 0), 0), (task(1, 0, 1), 0)]);
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Done);
    site.place(&[(task(1, 1, 0), 0)]);
    assert!(site.is_waiting(task(1, 1, 0)));
    site.end(0, 2, run(task(1, 0, 1), 1), RunEnd::Done);
    site.place(&[(task(1, 1, 0), 0)]);
    assert!(site.placed(task(1, 1, 0)).is_some());
    site.end(0, 3, run(task(1, 1, 0), 1), RunEnd::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

#[test]
fn end_counts_once_by_its_number() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.end(0, 1, run(key, 1), RunEnd::Failed);
    site.place(&[(key, 0)]);
    // The same end is reported again, and under the number of another run.
    site.end(0, 1, run(key, 1), RunEnd::Failed);
    site.end(0, 2, run(key, 1), RunEnd::Failed);
    assert_eq!(site.phase(1), FlowPhase::Open);
    assert_eq!(site.placed(key), Some((2, backend(0))));
}

#[test]
fn flow_fails_after_its_last_attempt() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(2)]);
    for attempt in 1..=ATTEMPT_LIMIT {
        site.place(&[(key, 0)]);
        site.end(0, u64::from(attempt), run(key, attempt), RunEnd::Failed);
    }
    assert!(matches!(site.phase(1), FlowPhase::Failed { .. }));
    site.place(&[(key, 0)]);
    assert!(site.is_waiting(key), "it gets no further attempt");
}

/// An end that is nobody's fault.
fn check_not_counted(end: RunEnd) {
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
    check_not_counted:
    stopped_run_is_no_failed_attempt = RunEnd::Stopped,
    lapsed_run_is_no_failed_attempt = RunEnd::Lapsed,
    broken_run_is_no_failed_attempt = RunEnd::Broken,
    lone_run_is_no_failed_attempt = RunEnd::Alone,
}

#[test]
fn lost_run_is_no_failed_attempt() {
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
fn run_that_never_started_gives_its_room_back() {
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
fn checkpoint_is_kept_and_an_empty_one_does_not_replace_it() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    let saving = StepSpec {
        checkpointing: true,
        ..step(1)
    };
    site.submit(1, vec![saving]);
    site.place(&[(key, 0)]);
    site.pass(2_000);
    site.end_saved(0, 1, run(key, 1), RunEnd::Stopped, "first");
    site.place(&[(key, 0)]);
    site.end_saved(0, 2, run(key, 2), RunEnd::Lapsed, "");
    let flow = &site.flows.flows[&key.flow];
    let record = flow.task(key).expect("the task");
    assert_eq!(record.saved, "first");
    assert_eq!(record.saved_work, DurationMs(2_000));
}

#[test]
fn run_times_are_learnt_from_whole_runs_only() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.submit(2, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.pass(3_000);
    site.end_saved(0, 1, run(key, 1), RunEnd::Stopped, "half");
    site.place(&[(key, 0), (task(2, 0, 0), 0)]);
    site.pass(1_000);
    site.end(0, 2, run(key, 2), RunEnd::Done);
    assert!(
        site.flows.run_times.samples(&queue_key()).is_empty(),
        "it was resumed"
    );
    site.end(0, 3, run(task(2, 0, 0), 1), RunEnd::Done);
    let samples = site.flows.run_times.samples(&queue_key());
    assert_eq!(samples.len(), 1);
    assert_eq!(samples[0].took, DurationMs(1_000));
}

#[test]
fn lasting_task_runs_again_however_it_ends() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    let lasting = StepSpec {
        lasting: true,
        ..step(1)
    };
    site.submit(1, vec![lasting]);
    let ends = [RunEnd::Done, RunEnd::Failed, RunEnd::Failed, RunEnd::Failed];
    for (attempt, end) in (1..).zip(ends) {
        site.place(&[(key, 0)]);
        site.end(0, u64::from(attempt), run(key, attempt), end);
        assert!(site.is_waiting(key), "after run {attempt}");
    }
    assert_eq!(site.phase(1), FlowPhase::Open);
}

#[test]
fn stop_names_its_first_cause() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.stop(run(key, 1));
    site.apply(FlowChange::Cancel { flow: key.flow });
    let record = &site.flows.backends[&backend(0)].runs[&run(key, 1)];
    assert_eq!(record.stop, Some(StopCause::Displaced));
}
