//! Suspects of crashes, and the limits at which they are given up.
//!
//! The load: one task crashes each backend server that starts it, and takes the runs beside it along.

use roseridge_model::StepSpec;

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

/// The number of crashes at which the only suspect is given up, one of several, and one that is suspected
/// without proof.
const SOLE_LIMIT: u32 = 2;
const LIMIT: u32 = 3;
const UNPROVEN_LIMIT: u32 = 5;

/// Guards against a sound task that is given up because a task beside it crashed the backend server.
#[test]
fn run_that_survived_its_start_is_no_suspect_beside_one_that_starts() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.decide();
    site.advance_clock(1_000);
    site.report_running(1);
    site.submit(2, 1, 0, vec![step(1, 1)]);
    site.decide();
    assert_eq!(site.crash_suspects(0, &[1, 2]), (vec![2], SOLE_LIMIT));
}

/// Guards against a task that is given up too early because it was placed next to the cause.
#[test]
fn several_suspects_have_the_higher_limit() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.submit(2, 1, 0, vec![step(1, 1)]);
    site.decide();
    assert_eq!(site.crash_suspects(0, &[1, 2]), (vec![1, 2], LIMIT));
}

/// Guards against a gang whose members count as several suspects.
#[test]
fn members_of_a_gang_are_one_suspect() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![gang(3, 1)]);
    site.decide();
    assert_eq!(site.crash_suspects(0, &[1]), (vec![1, 1, 1], SOLE_LIMIT));
}

/// Guards against a task that crashes backend servers later than at its start and is never suspected.
#[test]
fn runs_that_survived_their_start_are_suspects_if_no_other_run_is() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 1)
    };
    site.submit(2, 1, 0, vec![lasting]);
    site.decide();
    site.advance_clock(5_000);
    site.report_running(1);
    site.report_running(2);
    assert_eq!(site.crash_suspects(0, &[1, 2]), (vec![1], UNPROVEN_LIMIT));
}

/// Guards against a task that is suspected although its start never reached the backend server, for instance
/// because that was already down.
#[test]
fn run_that_had_not_begun_is_no_suspect_beside_one_that_had() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.submit(2, 1, 0, vec![step(1, 1)]);
    site.decide();
    assert_eq!(site.crash_suspects(0, &[1]), (vec![1], SOLE_LIMIT));
}

/// Guards against a task that crashes backend servers before its start is answered and is never suspected.
#[test]
fn every_run_is_a_suspect_if_none_is_known_to_have_begun() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 1)]);
    site.submit(2, 1, 0, vec![step(1, 1)]);
    site.decide();
    assert_eq!(site.crash_suspects(0, &[]), (vec![1, 2], UNPROVEN_LIMIT));
}
