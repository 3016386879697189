//! Trials of tasks that may have crashed a backend server.
//!
//! The load: a poisonous task is lost together with sound ones, and all of them wait to be placed again.

use roseridge_model::StepSpec;

use crate::small_site::{
    SmallSite,
    step, //
};

/// Returns a site whose last worker has crashed under a task of each flow, numbered from one.
fn site_after_a_crash(racks: &[usize], steps: &[StepSpec]) -> SmallSite {
    let mut site = SmallSite::new(racks);
    let last = racks.iter().sum::<usize>() - 1;
    (0..last).for_each(|number| site.set_since_contact(number, 5_000));
    for (flow, step) in (1..).zip(steps) {
        site.submit(flow, 1, 0, vec![step.clone()]);
        site.decide();
        assert_eq!(site.places(flow), [last]);
    }
    site.crash(last);
    (0..last).for_each(|number| site.set_since_contact(number, 0));
    site
}

/// Guards against suspects that are placed together again, so that the next crash tells no more than the
/// first one.
#[test]
fn suspects_start_on_different_workers() {
    let mut site = site_after_a_crash(&[3], &[step(1, 1), step(1, 1)]);
    site.decide();
    let places = [site.places(1), site.places(2)].concat();
    assert_eq!(places.len(), 2);
    assert_ne!(places[0], places[1]);
}

/// Guards against sound tasks that are lost, and suspected, because they start beside a suspect.
#[test]
fn nothing_starts_beside_a_suspect_until_it_has_survived_its_start() {
    let mut site = site_after_a_crash(&[2], &[step(1, 1)]);
    site.decide();
    assert_eq!(site.places(1), [0]);
    site.submit(2, 0, 0, vec![step(1, 4)]);
    site.decide();
    assert!(site.places(2).is_empty(), "the suspect has not survived");
    site.advance_clock(1_000);
    site.report_running(1);
    site.decide();
    assert_eq!(site.places(2), [0]);
}

/// Guards against a suspect that starts beside a task that starts at the same time.
#[test]
fn suspect_waits_for_a_worker_on_which_nothing_else_starts() {
    let mut site = site_after_a_crash(&[2], &[step(1, 1)]);
    site.submit(2, 0, 0, vec![step(1, 4)]);
    site.decide();
    assert_eq!(site.places(2), [0]);
    assert!(site.places(1).is_empty());
    site.advance_clock(1_000);
    site.report_running(2);
    site.decide();
    assert_eq!(site.places(1), [0]);
}

/// Guards against a step of poisonous tasks that crashes many workers at the same time.
#[test]
fn tasks_of_a_suspected_step_start_one_at_a_time() {
    let mut site = site_after_a_crash(&[4], &[step(3, 8)]);
    for placed in 1..=3 {
        site.decide();
        assert_eq!(site.places(1).len(), placed);
        site.advance_clock(1_000);
        site.report_running(1);
    }
}

/// Guards against a suspect that takes more runs along than it has to.
#[test]
fn suspect_starts_on_the_worker_with_the_fewest_runs() {
    let mut site = site_after_a_crash(&[3], &[step(1, 1)]);
    site.set_since_contact(1, 5_000);
    site.submit(2, 0, 0, vec![step(2, 1)]);
    site.decide();
    site.advance_clock(1_000);
    site.report_running(2);
    site.set_since_contact(1, 0);
    assert_eq!(site.places(2), [0, 0]);
    site.decide();
    assert_eq!(site.places(1), [1]);
}
