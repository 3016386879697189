//! Avoidance of workers on which tasks fail, and their probation.
//!
//! A worker with a defect ends runs quickly and is then free again. Without avoidance it would attract and
//! fail one task after the other.

use roseridge_flow::RunOutcome;

use crate::small_site::{
    SmallSite,
    step, //
};

/// Returns a site in which tasks of two flows failed on the first worker.
fn site_with_failing_worker() -> SmallSite {
    let mut site = SmallSite::new(&[2]);
    site.set_since_contact(1, 5_000);
    for flow in 1..=2 {
        site.submit(flow, 1, 0, vec![step(1, 1)]);
        site.decide();
        assert_eq!(site.place_of(flow, 0), Some(0));
        site.end_run(flow, 0, RunOutcome::Failed);
        site.cancel(flow);
    }
    site.set_since_contact(1, 0);
    site
}

#[test]
fn failed_task_is_placed_elsewhere() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.decide();
    let first = site.place_of(1, 0).expect("the task is placed");
    site.end_run(1, 0, RunOutcome::Failed);
    site.decide();
    assert_eq!(site.place_of(1, 0), Some(1 - first));
}

#[test]
fn worker_that_failed_several_tasks_receives_no_work() {
    let mut site = site_with_failing_worker();
    site.submit(3, 0, 0, vec![step(2, 8)]);
    site.decide();
    assert_eq!(site.places(3), [1]);
}

#[test]
fn worker_on_probation_receives_one_small_task() {
    let mut site = site_with_failing_worker();
    site.set_since_contact(1, 5_000);
    site.advance_clock(2_500);
    site.submit(3, 0, 0, vec![step(1, 1)]);
    site.submit(4, 2, 0, vec![step(2, 1)]);
    site.decide();
    assert!(site.places(3).is_empty(), "no urgent task is put at risk");
    assert_eq!(site.places(4), [0]);
}

#[test]
fn worker_that_passes_probation_is_healthy_again() {
    let mut site = site_with_failing_worker();
    site.set_since_contact(1, 5_000);
    site.advance_clock(2_500);
    site.submit(4, 2, 0, vec![step(1, 1)]);
    site.decide();
    site.end_run(4, 0, RunOutcome::Done);
    site.submit(5, 0, 0, vec![step(1, 8)]);
    site.decide();
    assert_eq!(site.place_of(5, 0), Some(0));
}

/// Guards against urgent work that waits for good for a sound worker on probation, because no task comes that
/// it could be tried with (`review/3`).
#[test]
fn probation_ends_without_a_trial() {
    let mut site = site_with_failing_worker();
    site.set_since_contact(1, 5_000);
    site.submit(3, 0, 0, vec![step(1, 1)]);
    site.advance_clock(2_500);
    site.decide();
    assert!(site.places(3).is_empty(), "the worker is on probation");
    site.advance_clock(4_000);
    site.decide();
    assert_eq!(site.places(3), [0]);
}

#[test]
fn avoidance_time_grows_with_each_failed_trial() {
    let mut site = site_with_failing_worker();
    site.set_since_contact(1, 5_000);
    site.advance_clock(2_500);
    site.submit(4, 2, 0, vec![step(1, 1)]);
    site.decide();
    site.end_run(4, 0, RunOutcome::Failed);
    site.advance_clock(2_500);
    site.decide();
    assert_eq!(
        site.place_of(4, 0),
        None,
        "the avoidance lasts longer than two seconds"
    );
}

#[test]
fn task_that_fails_everywhere_does_not_cause_avoidance() {
    let mut site = SmallSite::new(&[2]);
    for flow in 1..=2 {
        site.submit(flow, 1, 0, vec![step(1, 1)]);
        for _ in 0..2 {
            site.decide();
            if site.place_of(flow, 0).is_some() {
                site.end_run(flow, 0, RunOutcome::Failed);
            }
        }
    }
    site.submit(3, 0, 0, vec![step(2, 8)]);
    site.decide();
    assert_eq!(site.places(3).len(), 2);
}
