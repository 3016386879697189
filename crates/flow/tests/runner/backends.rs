//! Incarnations of backend servers: announcement, loss, drain and departure.

use roseridge_flow::{
    BackendStatus,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRefusal,
    RunOutcome, //
};
use roseridge_model::DurationMs;

use crate::small_site::{
    SmallSite,
    backend,
    run,
    step,
    task, //
};

fn status(site: &SmallSite, incarnation: usize) -> BackendStatus {
    site.flows.backends[&backend(incarnation)].status
}

/// Guards against a task that stays assigned to a backend server that was replaced on its instance.
#[test]
fn new_incarnation_on_an_instance_ends_the_old_one() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.announce(7, 0);
    assert!(matches!(status(&site, 0), BackendStatus::Ended { .. }));
    assert!(
        site.is_waiting(key),
        "the run on the old incarnation has ended"
    );
    site.place(&[(key, 7)]);
    assert_eq!(site.placed(key), Some((2, backend(7))));
}

/// Guards against a delayed announcement that puts an ended incarnation in force again.
#[test]
fn ended_incarnation_is_refused() {
    let mut site = SmallSite::new(1);
    site.announce(7, 0);
    let outcome = site.announce(0, 0);
    assert_eq!(outcome, FlowOutcome::Refused(FlowRefusal::EndedBackend));
    assert_eq!(status(&site, 7), BackendStatus::Ready);
}

#[test]
fn lost_incarnation_returns_without_its_runs() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.lose(0);
    assert!(matches!(status(&site, 0), BackendStatus::Lost { .. }));
    site.announce(0, 0);
    assert_eq!(status(&site, 0), BackendStatus::Ready);
    assert!(site.flows.backends[&backend(0)].runs.is_empty());
}

/// Guards against two completions of a task: it was placed again after a loss, and then the end of
/// its lost run is reported.
#[test]
fn late_end_of_a_lost_run_has_no_effect() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.lose(0);
    site.place(&[(key, 1)]);
    site.announce(0, 0);
    // The run ended before its lease expired, but its end is reported only now.
    site.end(0, 1, run(key, 1), RunOutcome::Done);
    assert_eq!(site.phase(1), FlowPhase::Open);
    assert_eq!(site.placed(key), Some((2, backend(1))));
}

#[test]
fn draining_backend_keeps_its_runs_and_receives_no_new_ones() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(2)]);
    site.place(&[(task(1, 0, 0), 0)]);
    site.apply(FlowChange::Drain {
        backend: backend(0),
        remaining: DurationMs(2_000),
    });
    site.place(&[(task(1, 0, 1), 0)]);
    assert!(site.is_waiting(task(1, 0, 1)));
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Done);
    assert_eq!(
        site.task_phase(task(1, 0, 0)),
        roseridge_flow::TaskPhase::Done
    );
}

#[test]
fn tasks_of_a_departed_backend_are_requeued() {
    let mut site = SmallSite::new(2);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.apply(FlowChange::Leave {
        backend: backend(0),
    });
    assert!(site.is_waiting(key));
    site.place(&[(key, 0)]);
    assert!(
        site.is_waiting(key),
        "no task is placed on an ended incarnation"
    );
}

#[test]
fn lost_backend_is_removed_after_its_retention() {
    let mut site = SmallSite::new(1);
    site.lose(0);
    site.advance(400_000);
    site.apply(FlowChange::Expire);
    assert!(site.flows.backends.is_empty());
}

/// Guards against agents that miss a change: an agent receives new orders only if their index has
/// increased.
#[test]
fn orders_index_increases_with_each_change_of_the_orders() {
    let mut site = SmallSite::new(2);
    site.submit(1, vec![step(1)]);
    let before = site.flows.backends[&backend(0)].orders_index;
    let other = site.flows.backends[&backend(1)].orders_index;
    site.place(&[(task(1, 0, 0), 0)]);
    let placed = site.flows.backends[&backend(0)].orders_index;
    assert!(placed > before);
    site.stop(run(task(1, 0, 0), 1));
    assert!(site.flows.backends[&backend(0)].orders_index > placed);
    assert_eq!(site.flows.backends[&backend(1)].orders_index, other);
}
