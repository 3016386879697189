//! Trials of tasks that may have crashed a backend server.
//!
//! The load: a poisonous task is lost together with sound ones, and all of them wait to be placed again.

use roseridge_model::StepSpec;

use crate::small_site::{
    SmallSite,
    step, //
};

/// Returns a site whose last worker has crashed as a task of each flow started; flows are numbered from one.
fn site_after_a_crash(racks: &[usize], steps: &[StepSpec]) -> SmallSite {
    site_after_a_crash_of(racks, steps, true)
}

/// Returns a site whose last worker has crashed under a task of each flow, as they started or later.
fn site_after_a_crash_of(racks: &[usize], steps: &[StepSpec], at_start: bool) -> SmallSite {
    let mut site = SmallSite::new(racks);
    let last = racks.iter().sum::<usize>() - 1;
    (0..last).for_each(|number| site.set_since_contact(number, 5_000));
    for (flow, step) in (1..).zip(steps) {
        site.submit(flow, 1, 0, vec![step.clone()]);
        site.decide();
        assert_eq!(site.places(flow), [last]);
    }
    site.crash(last, at_start);
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
fn step_waits_until_its_suspects_have_survived() {
    let mut site = site_after_a_crash(&[4], &[step(3, 8)]);
    site.decide();
    assert_eq!(site.places(1).len(), 1, "the suspect");
    site.advance_clock(1_000);
    site.decide();
    assert_eq!(site.places(1).len(), 1, "it has not survived");
    site.report_running(1);
    site.decide();
    assert_eq!(site.places(1).len(), 3);
}

/// Guards against sound work that is started slowly after each crash, although its tasks ran long before it.
#[test]
fn tasks_that_had_survived_their_start_are_not_on_trial() {
    let mut site = site_after_a_crash_of(&[4], &[step(3, 8)], false);
    site.decide();
    assert_eq!(site.places(1).len(), 3);
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
