//! Evacuated failure domains: which orders apply, and which placements have no effect.

use roseridge_flow::{
    FlowChange,
    FlowOutcome,
    FlowRefusal,
    MAX_EVACUATIONS, //
};
use roseridge_model::DomainName;

use crate::small_site::{
    SmallSite,
    backend,
    gang,
    profile,
    run,
    step,
    task, //
};

fn domain(name: &str) -> DomainName {
    DomainName::parse(name).expect("a valid name")
}

fn evacuate(site: &mut SmallSite, name: &str, base: u64) -> FlowOutcome {
    let domain = domain(name);
    site.apply(FlowChange::Evacuate { domain, base })
}

fn restore(site: &mut SmallSite, name: &str, base: u64) -> FlowOutcome {
    let domain = domain(name);
    site.apply(FlowChange::Restore { domain, base })
}

fn revision(site: &SmallSite, name: &str) -> u64 {
    site.flows.evacuations.revision(&domain(name))
}

fn is_evacuated(site: &SmallSite, name: &str) -> bool {
    site.flows.evacuations.contains(&domain(name))
}

/// Moves a backend server to a domain.
fn announce_in(site: &mut SmallSite, number: usize, name: &str) {
    let mut profile = profile(number);
    profile.domain = domain(name);
    let backend = backend(number);
    site.apply(FlowChange::Announce { backend, profile });
}

/// Guards against a placement that was decided before the evacuation and is committed after it.
#[test]
fn placement_in_an_evacuated_domain_has_no_effect() {
    let mut site = SmallSite::new(2);
    announce_in(&mut site, 1, "other");
    site.submit(1, vec![step(2), gang(2)]);
    evacuate(&mut site, "domain", 0);
    site.place(&[(task(1, 0, 0), 0)]);
    site.place(&[(task(1, 0, 1), 1)]);
    site.place(&[(task(1, 1, 0), 0), (task(1, 1, 1), 1)]);
    assert!(site.is_waiting(task(1, 0, 0)));
    assert_eq!(site.placed(task(1, 0, 1)), Some((1, backend(1))));
    assert!(site.is_waiting(task(1, 1, 0)), "one member is there");
    assert!(site.is_waiting(task(1, 1, 1)), "one member is there");
    let base = revision(&site, "domain");
    restore(&mut site, "domain", base);
    site.place(&[(task(1, 0, 0), 0)]);
    assert_eq!(site.placed(task(1, 0, 0)), Some((1, backend(0))));
}

/// Guards against a delayed order that undoes a later one.
#[test]
fn old_order_after_its_withdrawal_is_overtaken() {
    let mut site = SmallSite::new(1);
    evacuate(&mut site, "domain", 0);
    let evacuated = revision(&site, "domain");
    restore(&mut site, "domain", evacuated);
    assert_eq!(evacuate(&mut site, "domain", 0), FlowOutcome::Overtaken);
    assert!(!is_evacuated(&site, "domain"));
    let base = revision(&site, "domain");
    evacuate(&mut site, "domain", base);
    let late = restore(&mut site, "domain", evacuated);
    assert_eq!(late, FlowOutcome::Overtaken);
    assert!(is_evacuated(&site, "domain"));
}

/// A withdrawal is committed before the evacuation that it follows. The evacuation must not be in
/// force after the withdrawal was acknowledged.
#[test]
fn withdrawal_before_its_evacuation_voids_the_evacuation() {
    let mut site = SmallSite::new(1);
    let withdrawn = restore(&mut site, "domain", 0);
    assert!(matches!(
        withdrawn,
        FlowOutcome::Evacuated { changed: false, .. }
    ));
    assert_eq!(evacuate(&mut site, "domain", 0), FlowOutcome::Overtaken);
    assert!(!is_evacuated(&site, "domain"));
}

/// A withdrawal is proposed before the evacuation is acknowledged, and committed after it. It did
/// not know of the evacuation, so its operator has to send it again.
#[test]
fn withdrawal_that_did_not_see_the_evacuation_is_sent_again() {
    let mut site = SmallSite::new(1);
    evacuate(&mut site, "domain", 0);
    assert_eq!(restore(&mut site, "domain", 0), FlowOutcome::Overtaken);
    let base = revision(&site, "domain");
    assert!(matches!(
        restore(&mut site, "domain", base),
        FlowOutcome::Evacuated { changed: true, .. }
    ));
}

/// The response of an order is lost, and the operator sends it again to another instance.
#[test]
fn repeated_order_is_acknowledged_and_keeps_its_time() {
    let mut site = SmallSite::new(1);
    evacuate(&mut site, "domain", 0);
    let since = site.flows.evacuations.since(&domain("domain"));
    let first = revision(&site, "domain");
    site.advance(1_000);
    for base in [0, first] {
        assert!(matches!(
            evacuate(&mut site, "domain", base),
            FlowOutcome::Evacuated { changed: false, .. }
        ));
    }
    assert_eq!(site.flows.evacuations.since(&domain("domain")), since);
    // A withdrawal from before the repeated order must not apply after it.
    let late = restore(&mut site, "domain", first);
    assert_eq!(late, FlowOutcome::Overtaken);
}

#[test]
fn two_evacuations_are_independent() {
    let mut site = SmallSite::new(1);
    evacuate(&mut site, "a", 0);
    assert!(matches!(
        evacuate(&mut site, "b", 0),
        FlowOutcome::Evacuated { changed: true, .. }
    ));
    let base = revision(&site, "a");
    restore(&mut site, "a", base);
    assert!(!is_evacuated(&site, "a"));
    assert!(is_evacuated(&site, "b"));
}

/// Guards against a state that grows without bound, and against an acknowledged order that is
/// refused when it is sent again.
#[test]
fn number_of_evacuations_is_limited() {
    let mut site = SmallSite::new(1);
    for number in 0..MAX_EVACUATIONS {
        let outcome = evacuate(&mut site, &format!("d{number}"), 0);
        assert!(matches!(outcome, FlowOutcome::Evacuated { .. }));
    }
    let refused = FlowOutcome::Refused(FlowRefusal::TooManyEvacuations);
    assert_eq!(evacuate(&mut site, "more", 0), refused);
    let again = evacuate(&mut site, "d0", 0);
    assert!(matches!(again, FlowOutcome::Evacuated { .. }));
    let base = revision(&site, "d1");
    restore(&mut site, "d1", base);
    let base = revision(&site, "more");
    let outcome = evacuate(&mut site, "more", base);
    assert!(matches!(outcome, FlowOutcome::Evacuated { .. }));
}

/// Guards against an old order that applies because the revision of its domain is forgotten.
#[test]
fn order_based_on_a_forgotten_revision_is_overtaken() {
    let mut site = SmallSite::new(1);
    evacuate(&mut site, "domain", 0);
    let base = revision(&site, "domain");
    restore(&mut site, "domain", base);
    for number in 0..100 {
        let name = format!("d{number}");
        let base = revision(&site, &name);
        restore(&mut site, &name, base);
    }
    assert!(site.flows.evacuations.records().count() <= MAX_EVACUATIONS);
    assert_eq!(evacuate(&mut site, "domain", 0), FlowOutcome::Overtaken);
    assert_eq!(evacuate(&mut site, "domain", base), FlowOutcome::Overtaken);
}

/// A domain is lost beside an evacuated one. Its tasks may be placed again, but not in the
/// evacuated domain.
#[test]
fn tasks_of_a_lost_domain_avoid_the_evacuated_one() {
    let mut site = SmallSite::new(3);
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        announce_in(&mut site, number, name);
    }
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 1)]);
    evacuate(&mut site, "a", 0);
    site.lose(1);
    site.place(&[(key, 0)]);
    assert!(site.is_waiting(key));
    site.place(&[(key, 2)]);
    assert_eq!(site.placed(key), Some((2, backend(2))));
    assert!(!site.is_stopping(2, run(key, 2)));
}
