//! Placement of tasks on workers and racks, and reservations for large tasks.

use roseridge_flow::{
    FlowChange,
    RunOutcome, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    RackName,
    StepSpec, //
};

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

#[test]
fn small_tasks_fill_the_worker_with_least_free_capacity() {
    let mut site = SmallSite::new(&[3]);
    site.submit(1, 1, 0, vec![step(1, 4)]);
    site.decide();
    let first = site.place_of(1, 0).expect("the task is placed");
    site.submit(2, 1, 0, vec![step(4, 1)]);
    site.decide();
    assert_eq!(
        site.places(2),
        [first; 4],
        "whole workers stay free for large tasks"
    );
}

#[test]
fn rack_bound_gang_is_placed_in_one_rack() {
    let mut site = SmallSite::new(&[2, 2]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 1, 0, vec![gang(2, 8)]);
    site.decide();
    let racks: Vec<_> = site.places(2).iter().map(|worker| worker / 2).collect();
    assert_eq!(racks.len(), 2);
    assert_eq!(racks[0], racks[1]);
}

#[test]
fn rack_bound_gang_waits_rather_than_cross_racks() {
    let mut site = SmallSite::new(&[2, 2]);
    site.submit(1, 1, 0, vec![step(2, 5)]);
    site.decide();
    // Both workers of one rack are in use, or one in each. This flow takes one more worker.
    site.submit(2, 1, 0, vec![step(1, 5)]);
    site.decide();
    site.submit(3, 1, 0, vec![gang(2, 8)]);
    site.decide();
    assert!(site.places(3).is_empty());
}

#[test]
fn gang_larger_than_every_rack_spans_several() {
    let mut site = SmallSite::new(&[2, 2]);
    site.submit(1, 1, 0, vec![gang(3, 8)]);
    site.decide();
    assert_eq!(site.places(1).len(), 3);
}

#[test]
fn gang_is_placed_whole_or_not_at_all() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 2, 0, vec![gang(2, 8)]);
    site.decide();
    assert!(site.places(2).is_empty());
}

#[test]
fn rack_of_the_data_is_preferred_while_it_has_capacity() {
    let mut site = SmallSite::new(&[1, 1]);
    let near_data = StepSpec {
        data_rack: Some(RackName::parse("rack-1").expect("the name is valid")),
        ..step(1, 8)
    };
    site.submit(1, 1, 0, vec![near_data.clone()]);
    site.decide();
    assert_eq!(site.place_of(1, 0), Some(1));
    site.submit(2, 1, 0, vec![near_data]);
    site.decide();
    assert_eq!(
        site.place_of(2, 0),
        Some(0),
        "the task runs in another rack if that of its data is full"
    );
}

#[test]
fn task_waits_for_a_worker_with_its_label() {
    let mut site = SmallSite::new(&[2]);
    let labelled = |label: &str| StepSpec {
        label: Some(label.to_owned()),
        ..step(1, 1)
    };
    site.submit(1, 1, 0, vec![labelled("b")]);
    site.submit(2, 1, 0, vec![labelled("a")]);
    site.decide();
    assert_eq!(site.place_of(1, 0), None);
    assert!(site.place_of(2, 0).is_some());
}

#[test]
fn spread_limit_bounds_the_tasks_on_one_worker() {
    let mut site = SmallSite::new(&[2]);
    let spread = StepSpec {
        spread_limit: Some(1),
        ..step(3, 1)
    };
    site.submit(1, 1, 0, vec![spread]);
    site.decide();
    let mut places = site.places(1);
    places.sort_unstable();
    assert_eq!(places, [0, 1]);
}

#[test]
fn unreachable_and_draining_workers_receive_no_work() {
    let mut site = SmallSite::new(&[3]);
    site.set_since_contact(0, 5_000);
    site.apply(FlowChange::Drain {
        backend: BackendId::parse("worker-1").expect("the name is valid"),
        remaining: DurationMs(2_000),
    });
    site.submit(1, 0, 0, vec![step(3, 8)]);
    site.decide();
    assert_eq!(site.places(1), [2]);
}

/// Guards against starvation: small tasks keep taking whatever capacity is released, so that no worker
/// ever has enough of it for a large task.
#[test]
fn large_task_is_not_starved_by_small_ones() {
    let mut site = SmallSite::new(&[4]);
    // No worker has eight accelerators free, and all are expected to release them at the same time.
    site.submit(1, 1, 0, vec![step(4, 5)]);
    site.decide();
    site.submit(2, 1, 0, vec![step(1, 8)]);
    for repetition in 0..7 {
        // Small tasks keep arriving and would run longer than the first tasks.
        site.submit(100 + repetition, 2, 0, vec![step(2, 1)]);
        site.advance_clock(1_000);
        site.decide();
    }
    (0..4).for_each(|index| site.end_run(1, index, RunOutcome::Done));
    site.decide();
    assert!(site.place_of(2, 0).is_some());
}

#[test]
fn second_step_waits_for_the_first() {
    let mut site = SmallSite::new(&[1]);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    site.submit(1, 1, 0, vec![step(1, 1), second]);
    site.decide();
    assert_eq!(site.place_of_step(1, 1, 0), None);
    site.end_run(1, 0, RunOutcome::Done);
    site.decide();
    assert!(site.place_of_step(1, 1, 0).is_some());
}
