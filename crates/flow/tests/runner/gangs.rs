//! Gangs: all members or none, one attempt for all of them.

use roseridge_flow::{
    FlowPhase,
    RunEnd, //
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
fn part_of_a_gang_is_not_placed() {
    let mut site = SmallSite::new(3);
    site.submit(1, vec![gang(3)]);
    site.place(&members()[..2]);
    assert!((0..3).all(|index| site.is_waiting(task(1, 0, index))));
}

#[test]
fn members_share_the_number_of_their_run() {
    let mut site = placed_gang();
    // The first run ends for one member by a failure, for the others by being broken.
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Failed);
    site.end(1, 1, run(task(1, 0, 1), 1), RunEnd::Broken);
    site.end(2, 1, run(task(1, 0, 2), 1), RunEnd::Broken);
    site.place(&members());
    let runs = (0..3).map(|index| site.placed(task(1, 0, index)).map(|(run, _)| run));
    assert_eq!(runs.collect::<Vec<_>>(), [Some(2); 3]);
}

#[test]
fn end_of_one_member_stops_the_others() {
    let mut site = placed_gang();
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Failed);
    assert!(site.is_stopping(1, run(task(1, 0, 1), 1)));
    assert!(site.is_stopping(2, run(task(1, 0, 2), 1)));
}

#[test]
fn gang_begins_again_only_when_every_member_has_ended() {
    let mut site = placed_gang();
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Failed);
    site.end(1, 1, run(task(1, 0, 1), 1), RunEnd::Broken);
    site.place(&members());
    assert!(
        site.is_waiting(task(1, 0, 0)),
        "the third member may still run"
    );
    site.end(2, 1, run(task(1, 0, 2), 1), RunEnd::Stopped);
    site.place(&members());
    assert_eq!(site.placed(task(1, 0, 0)), Some((2, backend(0))));
}

#[test]
fn failed_run_of_a_gang_counts_once() {
    let mut site = placed_gang();
    for index in 0..3 {
        let life = usize::from(index);
        site.end(life, 1, run(task(1, 0, index), 1), RunEnd::Failed);
    }
    assert_eq!(
        site.phase(1),
        FlowPhase::Open,
        "one of {ATTEMPT_LIMIT} attempts"
    );
    site.place(&members());
    site.end(0, 2, run(task(1, 0, 0), 2), RunEnd::Failed);
    assert!(matches!(site.phase(1), FlowPhase::Failed { .. }));
}

#[test]
fn done_end_of_one_member_stands_for_all() {
    let mut site = placed_gang();
    site.end(1, 1, run(task(1, 0, 1), 1), RunEnd::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
    // The other members take their room until their own ends are listed.
    assert_eq!(site.flows.backends[&backend(0)].runs.len(), 1);
    site.end(0, 1, run(task(1, 0, 0), 1), RunEnd::Done);
    assert!(site.flows.backends[&backend(0)].runs.is_empty());
}

#[test]
fn done_end_stands_also_for_a_member_whose_worker_was_lost() {
    let mut site = placed_gang();
    site.lose(0);
    site.end(1, 1, run(task(1, 0, 1), 1), RunEnd::Done);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

#[test]
fn loss_of_a_worker_stops_the_gang_and_counts_as_no_failure() {
    let mut site = placed_gang();
    for _ in 0..=ATTEMPT_LIMIT {
        site.lose(0);
        let stopping = (1..3).filter(|life| {
            let record = &site.flows.backends[&backend(*life)];
            record.runs.values().all(|run| run.stop.is_some())
        });
        assert_eq!(stopping.count(), 2);
        site.lose(1);
        site.lose(2);
        (0..3).for_each(|life| {
            site.announce(life, life);
        });
        site.place(&members());
    }
    assert_eq!(site.phase(1), FlowPhase::Open);
}

#[test]
fn members_resume_from_one_checkpoint() {
    let mut site = placed_gang();
    site.pass(1_000);
    site.end_saved(0, 1, run(task(1, 0, 0), 1), RunEnd::Stopped, "one");
    site.pass(1_000);
    site.end_saved(1, 1, run(task(1, 0, 1), 1), RunEnd::Stopped, "two");
    site.end_saved(2, 1, run(task(1, 0, 2), 1), RunEnd::Stopped, "");
    let flow = &site.flows.flows[&task(1, 0, 0).flow];
    let step = flow.step(task(1, 0, 0)).expect("the step");
    assert_eq!(
        step.newest_checkpoint().0,
        "two",
        "the one that stands for the most work"
    );
}

#[test]
fn single_tasks_are_placed_one_by_one() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(3)]);
    site.place(&[(task(1, 0, 1), 0)]);
    assert!(site.placed(task(1, 0, 1)).is_some());
    assert!(site.is_waiting(task(1, 0, 0)));
}
