//! Evacuated failure domains: nothing is placed there, and what runs there stays or is moved.

use roseridge_dispatch::AdmissionDecision;
use roseridge_flow::{
    FlowChange,
    RunOutcome,
    StopCause, //
};
use roseridge_model::{
    DomainName,
    DurationMs,
    StepSpec, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

/// Creates an installation whose workers are in the given failure domains, one rack for each domain.
pub(crate) fn site_in(domains: &[&str]) -> SmallSite {
    let racks: Vec<_> = domains.iter().map(|_| 1).collect();
    let mut site = SmallSite::new(&racks);
    for (number, domain) in domains.iter().enumerate() {
        site.set_domain(number, domain);
    }
    site
}

pub(crate) fn evacuate(site: &mut SmallSite, name: &str) {
    let domain = DomainName::parse(name).expect("the name is valid");
    let base = site.flows.evacuations.revision(&domain);
    site.apply(FlowChange::Evacuate { domain, base });
}

pub(crate) fn restore(site: &mut SmallSite, name: &str) {
    let domain = DomainName::parse(name).expect("the name is valid");
    let base = site.flows.evacuations.revision(&domain);
    site.apply(FlowChange::Restore { domain, base });
}

/// Returns a step of a whole worker with checkpoints and an estimate.
fn long_step(estimate_ms: u64) -> StepSpec {
    StepSpec {
        checkpointing: true,
        estimate: DurationMs(estimate_ms),
        ..step(1, 8)
    }
}

/// A run that a report lists in an evacuated domain while another domain has room, and whether it moves.
struct RunningCase {
    step: StepSpec,
    worked_ms: u64,
    is_moved: bool,
}

fn check(case: RunningCase) {
    let mut site = site_in(&["a"]);
    site.submit(1, 1, 0, vec![case.step]);
    site.decide();
    site.report_running(1);
    site.advance_clock(case.worked_ms);
    // A second domain joins, so that there is room elsewhere.
    let mut roomy = site_in(&["a", "b"]);
    std::mem::swap(&mut roomy.flows.backends, &mut site.flows.backends);
    for (id, record) in roomy.flows.backends {
        site.flows.backends.insert(id, record);
    }
    site.set_since_contact(1, 0);
    evacuate(&mut site, "a");
    let decision = site.decide();
    assert_eq!(!decision.stops.is_empty(), case.is_moved);
    assert!(decision.stops.iter().all(|s| s.cause == StopCause::Moved));
}

cases! { check:
    run_that_ends_soon_stays = RunningCase {
        step: long_step(40_000),
        worked_ms: 20_000,
        is_moved: false,
    },
    long_run_with_checkpoints_moves = RunningCase {
        step: long_step(600_000),
        worked_ms: 20_000,
        is_moved: true,
    },
    run_without_checkpoints_that_is_more_than_half_done_stays = RunningCase {
        step: StepSpec { checkpointing: false, ..long_step(100_000) },
        worked_ms: 60_000,
        is_moved: false,
    },
    run_that_never_ends_moves = RunningCase {
        step: StepSpec { lasting: true, ..long_step(1_000) },
        worked_ms: 20_000,
        is_moved: true,
    },
    // On two workers the flow is due 601 s after its acceptance, and its run is expected to take a quarter more than the
    // elapsed time. A restart takes about 2.4 s.
    run_whose_flow_would_become_late_stays = RunningCase {
        step: long_step(100_000),
        worked_ms: 480_000,
        is_moved: false,
    },
    run_whose_flow_stays_on_time_moves = RunningCase {
        step: long_step(100_000),
        worked_ms: 400_000,
        is_moved: true,
    },
}

/// Guards against a task that starts in the domain after the acknowledgement because its start was
/// already on its way, and against a gang of which one part starts without the other.
#[test]
fn runs_that_no_report_lists_are_stopped_and_placed_elsewhere() {
    let mut site = site_in(&["a", "b", "c"]);
    site.submit(
        1,
        1,
        0,
        vec![StepSpec {
            one_rack: false,
            ..gang(2, 8)
        }],
    );
    site.decide();
    let places = site.places(1);
    evacuate(&mut site, ["a", "b", "c"][places[0]]);
    assert_eq!(site.decide().stops.len(), 2, "both members are stopped");
    for index in 0..2 {
        site.end_run(1, index, RunOutcome::Stopped);
    }
    site.decide();
    let next = site.places(1);
    assert_eq!(next.len(), 2);
    assert!(!next.contains(&places[0]));
}

/// A new leader has no list yet. Guards against running work that it stops as not started.
#[test]
fn new_leader_stops_nothing_before_it_has_a_report() {
    let mut site = site_in(&["a", "b"]);
    site.submit(1, 1, 0, vec![long_step(20_000)]);
    site.decide();
    let place = site.place_of(1, 0).expect("the task is placed");
    site.report_running(1);
    evacuate(&mut site, ["a", "b"][place]);
    site.forget_reports();
    assert!(site.decide().stops.is_empty());
    site.set_since_contact(place, 0);
    site.report_running(1);
    assert!(site.decide().stops.is_empty(), "the run ends soon");
}

/// Guards against runs that are stopped although they then wait: nothing moves without room, and not
/// more moves than there is room for, also over several passes.
#[test]
fn runs_move_only_into_room() {
    let mut site = site_in(&["a", "a", "a", "b", "b"]);
    for flow in 1..=4 {
        site.submit(flow, 1, 0, vec![long_step(600_000)]);
    }
    site.decide();
    for flow in 1..=4 {
        site.report_running(flow);
    }
    site.advance_clock(2_000);
    evacuate(&mut site, "a");
    let moved = site.decide().stops.len();
    let in_b = (1..=4).filter(|flow| site.place_of(*flow, 0) >= Some(3));
    assert_eq!(moved, 2 - in_b.count(), "one for each free worker of b");
    for _ in 0..3 {
        site.advance_clock(250);
        assert!(site.decide().stops.is_empty(), "the room is claimed");
    }
}

/// A burst arrives during an evacuation. Guards against admission that counts the evacuated capacity, and
/// against placements there.
#[test]
fn burst_during_an_evacuation_counts_and_uses_only_the_other_domains() {
    let mut site = site_in(&["a", "a", "b"]);
    let accepted = |site: &mut SmallSite, first: u64| {
        let flows = first..first + 20;
        let is_accepted = |flow: &u64| {
            let accepts = site.check_admission(1, vec![step(1, 8)]) == AdmissionDecision::Accept;
            if accepts {
                site.submit(*flow, 1, 0, vec![step(1, 8)]);
            }
            accepts
        };
        flows.filter(is_accepted).count()
    };
    let mut without = site_in(&["a", "a", "b"]);
    let usual = accepted(&mut without, 1);
    evacuate(&mut site, "a");
    let limited = accepted(&mut site, 1);
    assert!(limited >= 1);
    assert!(limited * 2 <= usual, "{limited} of {usual} fit on a third");
    site.decide();
    let placed: Vec<_> = (1..=20)
        .filter(|flow| {
            site.flows
                .flows
                .contains_key(&roseridge_model::FlowId(*flow))
        })
        .filter_map(|flow| site.place_of(flow, 0))
        .collect();
    assert_eq!(placed, [2]);
}

/// Guards against callers that wait for domains that are all evacuated.
#[test]
fn flows_are_refused_while_every_domain_is_evacuated() {
    let mut site = site_in(&["a", "b"]);
    evacuate(&mut site, "a");
    evacuate(&mut site, "b");
    let decision = site.check_admission(1, vec![step(1, 8)]);
    let AdmissionDecision::NeverFits { retry_after } = decision else {
        panic!("{decision:?}");
    };
    assert!(retry_after.0 >= 1_000);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    assert!(site.decide().is_empty(), "nothing is placed");
    restore(&mut site, "b");
    site.decide();
    assert_eq!(site.place_of(1, 0), Some(1));
}

/// A domain is lost beside an evacuated one. Guards against tasks that return to the evacuated domain.
#[test]
fn work_of_a_lost_domain_goes_to_the_one_that_is_left() {
    let mut site = site_in(&["a", "b", "c"]);
    for flow in 1..=2 {
        site.submit(flow, 0, 0, vec![long_step(20_000)]);
    }
    site.decide();
    evacuate(&mut site, "a");
    site.lose(1);
    site.decide();
    for flow in 1..=2 {
        assert_ne!(site.place_of(flow, 0), Some(1), "its worker is lost");
    }
    let on_c = (1..=2).filter(|flow| site.place_of(*flow, 0) == Some(2));
    assert_eq!(on_c.count(), 1);
}
