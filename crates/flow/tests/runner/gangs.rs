//! Gangs: their members are placed, run, fail and complete together.

use roseridge_flow::{
    FlowPhase,
    RunOutcome, //
};

use crate::small_site::{
    ATTEMPT_LIMIT,
    SmallSite,
    backend,
    gang,
    run,
    step,
    task, //
};

fn placed_gang() -> SmallSite {
    let mut site = SmallSite::new(3);
    site.submit(1, vec![gang(3)]);
    site.place(&members());
    site
}

fn members() -> Vec<(roseridge_model::TaskKey, usize)> {
    (0..3)
        .map(|index| (task(1, 0, index), usize::from(index)))
        .collect()
}

#[test]
fn partial_gang_is_not_placed() {
    let mut site = SmallSite::new(3);
    site.submit(1, vec![gang(3)]);
    site.place(&members()[..2]);
    assert!((0..3).all(|index| site.is_waiting(task(1, 0, index))));
}

#[test]
fn members_share_a_run_number() {
    let mut site = placed_gang();
    // One member fails; the others end because of that failure.
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Failed);
    site.end(1, 1, run(task(1, 0, 1), 1), RunOutcome::Broken);
    site.end(2, 1, run(task(1, 0, 2), 1), RunOutcome::Broken);
    site.place(&members());
    let runs = (0..3).map(|index| site.placed(task(1, 0, index)).map(|(run, _)| run));
    assert_eq!(runs.collect::<Vec<_>>(), [Some(2); 3]);
}

#[test]
fn failure_of_one_member_stops_the_others() {
    let mut site = placed_gang();
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Failed);
    assert!(site.is_stopping(1, run(task(1, 0, 1), 1)));
    assert!(site.is_stopping(2, run(task(1, 0, 2), 1)));
}

/// Guards against two runs of a member at the same time, one of each attempt of its gang.
#[test]
fn gang_restarts_only_after_every_member_has_ended() {
    let mut site = placed_gang();
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Failed);
    site.end(1, 1, run(task(1, 0, 1), 1), RunOutcome::Broken);
    site.place(&members());
    assert!(
        site.is_waiting(task(1, 0, 0)),
        "the third member may still run"
    );
    site.end(2, 1, run(task(1, 0, 2), 1), RunOutcome::Stopped);
    site.place(&members());
    assert_eq!(site.placed(task(1, 0, 0)), Some((2, backend(0))));
}

/// Guards against a flow that fails too early because every member of a gang reports the same
/// failure.
#[test]
fn failed_gang_run_counts_once_for_all_members() {
    let mut site = placed_gang();
    for index in 0..3 {
        let incarnation = usize::from(index);
        site.end(
            incarnation,
            1,
            run(task(1, 0, index), 1),
            RunOutcome::Failed,
        );
    }
    assert_eq!(
        site.phase(1),
        FlowPhase::Open,
        "one of {ATTEMPT_LIMIT} attempts"
    );
    site.place(&members());
    site.end(0, 2, run(task(1, 0, 0), 2), RunOutcome::Failed);
    assert!(matches!(site.phase(1), FlowPhase::Failed { .. }));
}

#[test]
fn completion_of_one_member_completes_the_gang() {
    let mut site = placed_gang();
    site.end(1, 1, run(task(1, 0, 1), 1), RunOutcome::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
    // The other members use their resources until their own completions are listed.
    assert_eq!(site.flows.backends[&backend(0)].runs.len(), 1);
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Done);
    assert!(site.flows.backends[&backend(0)].runs.is_empty());
}

/// Guards against a second run of a gang that was done when one of its workers was lost.
#[test]
fn completion_of_one_member_also_completes_a_member_on_a_lost_worker() {
    let mut site = placed_gang();
    site.lose(0);
    site.end(1, 1, run(task(1, 0, 1), 1), RunOutcome::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

/// Guards against flows that fail because of lost workers instead of errors of their tasks.
#[test]
fn loss_of_a_worker_stops_the_gang_without_counting_a_failure() {
    let mut site = placed_gang();
    for _ in 0..=ATTEMPT_LIMIT {
        site.lose(0);
        let stopping = (1..3).filter(|incarnation| {
            let record = &site.flows.backends[&backend(*incarnation)];
            record.runs.values().all(|run| run.stop.is_some())
        });
        assert_eq!(stopping.count(), 2);
        site.lose(1);
        site.lose(2);
        (0..3).for_each(|incarnation| {
            site.announce(incarnation, incarnation);
        });
        site.place(&members());
    }
    assert_eq!(site.phase(1), FlowPhase::Open);
}

#[test]
fn newest_checkpoint_of_all_members_is_selected() {
    let mut site = placed_gang();
    site.advance(1_000);
    site.end_with_checkpoint(0, 1, run(task(1, 0, 0), 1), RunOutcome::Stopped, "one");
    site.advance(1_000);
    site.end_with_checkpoint(1, 1, run(task(1, 0, 1), 1), RunOutcome::Stopped, "two");
    site.end_with_checkpoint(2, 1, run(task(1, 0, 2), 1), RunOutcome::Stopped, "");
    let flow = &site.flows.flows[&task(1, 0, 0).flow];
    let step = flow.step(task(1, 0, 0)).expect("the step");
    assert_eq!(
        step.newest_checkpoint().0,
        "two",
        "the checkpoint that covers the most work"
    );
}

#[test]
fn single_tasks_are_placed_independently() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(3)]);
    site.place(&[(task(1, 0, 1), 0)]);
    assert!(site.placed(task(1, 0, 1)).is_some());
    assert!(site.is_waiting(task(1, 0, 0)));
}
