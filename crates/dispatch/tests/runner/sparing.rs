//! Workers that fail are spared, and tried again.

use roseridge_flow::RunEnd;

use crate::small_site::{
    SmallSite,
    step, //
};

/// Lets two tasks of different flows fail on the first worker.
fn site_with_failing_worker() -> SmallSite {
    let mut site = SmallSite::new(&[2]);
    site.silence(1, 5_000);
    for flow in 1..=2 {
        site.submit(flow, 1, 0, vec![step(1, 1)]);
        site.decide();
        assert_eq!(site.place_of(flow, 0), Some(0));
        site.end(flow, 0, RunEnd::Failed);
        site.cancel(flow);
    }
    site.silence(1, 0);
    site
}

#[test]
fn failed_task_goes_elsewhere() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.decide();
    let first = site.place_of(1, 0).expect("a place");
    site.end(1, 0, RunEnd::Failed);
    site.decide();
    assert_eq!(site.place_of(1, 0), Some(1 - first));
}

#[test]
fn worker_that_failed_several_tasks_gets_none() {
    let mut site = site_with_failing_worker();
    site.submit(3, 0, 0, vec![step(2, 8)]);
    site.decide();
    assert_eq!(site.places(3), [1]);
}

#[test]
fn spared_worker_is_tried_with_one_small_task() {
    let mut site = site_with_failing_worker();
    site.silence(1, 5_000);
    site.pass(2_500);
    site.submit(3, 0, 0, vec![step(1, 1)]);
    site.submit(4, 2, 0, vec![step(2, 1)]);
    site.decide();
    assert!(site.places(3).is_empty(), "nothing urgent is risked");
    assert_eq!(site.places(4), [0]);
}

#[test]
fn worker_that_passed_its_trial_is_trusted_again() {
    let mut site = site_with_failing_worker();
    site.silence(1, 5_000);
    site.pass(2_500);
    site.submit(4, 2, 0, vec![step(1, 1)]);
    site.decide();
    site.end(4, 0, RunEnd::Done);
    site.submit(5, 0, 0, vec![step(1, 8)]);
    site.decide();
    assert_eq!(site.place_of(5, 0), Some(0));
}

#[test]
fn pause_grows_with_each_failed_trial() {
    let mut site = site_with_failing_worker();
    site.silence(1, 5_000);
    site.pass(2_500);
    site.submit(4, 2, 0, vec![step(1, 1)]);
    site.decide();
    site.end(4, 0, RunEnd::Failed);
    site.pass(2_500);
    site.decide();
    assert_eq!(
        site.place_of(4, 0),
        None,
        "two seconds are no longer enough"
    );
}

#[test]
fn task_that_fails_everywhere_does_not_make_workers_suspect() {
    let mut site = SmallSite::new(&[2]);
    for flow in 1..=2 {
        site.submit(flow, 1, 0, vec![step(1, 1)]);
        for _ in 0..2 {
            site.decide();
            if site.place_of(flow, 0).is_some() {
                site.end(flow, 0, RunEnd::Failed);
            }
        }
    }
    site.submit(3, 0, 0, vec![step(2, 8)]);
    site.decide();
    assert_eq!(site.places(3).len(), 2);
}
