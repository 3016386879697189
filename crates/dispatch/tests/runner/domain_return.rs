//! Return of a failure domain after its evacuation was withdrawn.

use roseridge_dispatch::AdmissionDecision;

use crate::{
    domain_evacuation::{
        evacuate,
        restore,
        site_in, //
    },
    small_site::{
        SmallSite,
        step, //
    },
};

/// A time after which everything that returned counts, in milliseconds.
const AFTER_RETURN_MS: u64 = 61_000;

/// Returns how many flows of one worker each would be accepted.
fn accepted_count(site: &SmallSite) -> usize {
    let mut trial = SmallSite::new(&[]);
    trial.copy_from(site);
    let mut count = 0;
    while count < 100 && trial.check_admission(1, vec![step(1, 8)]) == AdmissionDecision::Accept {
        count += 1;
        trial.submit(1_000 + count as u64, 1, 0, vec![step(1, 8)]);
    }
    count
}

/// Creates a site whose domain `a` was evacuated and has returned, with the workers 0 and 1.
fn returned_site() -> SmallSite {
    let mut site = site_in(&["a", "a", "b", "b"]);
    evacuate(&mut site, "a");
    site.advance_clock(10_000);
    restore(&mut site, "a");
    for number in 0..4 {
        site.set_since_contact(number, 100);
    }
    site
}

/// Guards against a burst that is accepted for cold workers which then complete nothing in time.
#[test]
fn capacity_counts_as_reports_confirm_it() {
    let whole = accepted_count(&site_in(&["a", "a", "b", "b"]));
    let mut site = returned_site();
    let unconfirmed = accepted_count(&site);
    site.advance_clock(500);
    site.report_cold(0, 3_000);
    site.report_cold(1, 3_000);
    assert_eq!(accepted_count(&site), unconfirmed);
    site.report_cold(0, 0);
    let half = accepted_count(&site);
    site.report_cold(1, 0);
    let confirmed = accepted_count(&site);
    assert!(
        unconfirmed < half && half < confirmed,
        "{unconfirmed} {half} {confirmed}"
    );
    assert_eq!(confirmed, whole);
}

/// Guards against a worker that keeps reporting itself as cold and is never counted again.
#[test]
fn capacity_counts_after_a_limit() {
    let mut site = returned_site();
    let unconfirmed = accepted_count(&site);
    site.advance_clock(AFTER_RETURN_MS);
    (0..2).for_each(|number| site.report_cold(number, 3_000));
    assert!(accepted_count(&site) > unconfirmed);
}

/// A domain that never was evacuated keeps its capacity whatever its workers report, and so does a site
/// of which nothing else is left.
#[test]
fn only_returning_workers_are_counted_gradually() {
    let whole = accepted_count(&site_in(&["a", "a", "b", "b"]));
    let mut site = site_in(&["a", "a", "b", "b"]);
    (0..4).for_each(|number| site.report_cold(number, 3_000));
    assert_eq!(accepted_count(&site), whole);
    evacuate(&mut site, "a");
    evacuate(&mut site, "b");
    restore(&mut site, "a");
    restore(&mut site, "b");
    assert_eq!(accepted_count(&site), whole);
}

/// Guards against work that goes to a cold worker while one in full use is free.
#[test]
fn returning_worker_is_used_after_the_others() {
    let mut site = site_in(&["a", "b"]);
    evacuate(&mut site, "a");
    site.advance_clock(10_000);
    restore(&mut site, "a");
    site.advance_clock(500);
    site.report_cold(0, 3_000);
    site.submit(1, 0, 0, vec![step(1, 8)]);
    site.submit(2, 0, 0, vec![step(1, 8)]);
    site.decide();
    assert_eq!(site.place_of(1, 0), Some(1));
    assert_eq!(site.place_of(2, 0), Some(0));
}
