//! What runs on a worker that leaves: it ends there in time, or goes elsewhere before.

use roseridge_flow::{
    FlowChange,
    StopCause, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    StepSpec, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

/// Lets a worker say that it leaves after a time at the earliest.
fn drain(site: &mut SmallSite, number: usize, remaining_ms: u64) {
    site.apply(FlowChange::Drain {
        backend: BackendId::parse(&format!("worker-{number}")).expect("a name"),
        remaining: DurationMs(remaining_ms),
    });
}

/// A step that has run for a time on a worker that leaves.
struct LeavingCase {
    step: StepSpec,
    worked_ms: u64,
    remaining_ms: u64,
    moves: bool,
}

fn check(case: LeavingCase) {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![case.step]);
    site.decide();
    site.pass(case.worked_ms);
    drain(&mut site, 0, case.remaining_ms);
    let round = site.decide();
    assert_eq!(!round.stops.is_empty(), case.moves);
    assert!(round.stops.iter().all(|s| s.cause == StopCause::Moved));
    assert_eq!(!site.stopping().is_empty(), case.moves);
}

fn saving() -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(1, 8)
    }
}

cases! { check:
    run_that_ends_in_time_stays = LeavingCase {
        step: saving(),
        worked_ms: 7_000,
        remaining_ms: 2_500,
        moves: false,
    },
    run_that_cannot_end_in_time_moves_at_once = LeavingCase {
        step: saving(),
        worked_ms: 1_000,
        remaining_ms: 2_500,
        moves: true,
    },
    run_without_checkpoints_moves_too_since_it_would_be_lost = LeavingCase {
        step: step(1, 8),
        worked_ms: 1_000,
        remaining_ms: 2_500,
        moves: true,
    },
    run_with_little_time_left_moves_while_it_can = LeavingCase {
        step: saving(),
        worked_ms: 7_700,
        remaining_ms: 700,
        moves: true,
    },
    run_on_a_worker_that_may_be_gone_is_not_asked_to_stop = LeavingCase {
        step: saving(),
        worked_ms: 1_000,
        remaining_ms: 0,
        moves: false,
    },
}

#[test]
fn moved_run_begins_again_elsewhere_from_what_it_saved() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![saving()]);
    site.decide();
    let first = site.place_of(1, 0).expect("a place");
    site.pass(2_000);
    drain(&mut site, first, 2_500);
    site.decide();
    site.pass(300);
    site.end(1, 0, roseridge_flow::RunEnd::Stopped);
    site.decide();
    let next = site.place_of(1, 0).expect("another place");
    assert_ne!(next, first);
}

#[test]
fn whole_gang_moves_when_one_worker_leaves() {
    let mut site = SmallSite::new(&[3]);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.decide();
    let places = site.places(1);
    site.pass(1_000);
    drain(&mut site, places[0], 2_500);
    let round = site.decide();
    assert_eq!(round.stops.len(), 2);
    assert_eq!(site.stopping(), [1]);
}

#[test]
fn gang_that_ends_in_time_stays_whole() {
    let mut site = SmallSite::new(&[3]);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.decide();
    let places = site.places(1);
    site.pass(7_000);
    drain(&mut site, places[0], 2_500);
    assert!(site.decide().stops.is_empty());
}

#[test]
fn rack_that_leaves_is_emptied_in_one_round() {
    let mut site = SmallSite::new(&[3, 3]);
    for flow in 1..=6 {
        site.submit(flow, 1, 0, vec![saving()]);
    }
    site.decide();
    site.pass(1_000);
    for number in 0..3 {
        drain(&mut site, number, 2_500);
    }
    assert_eq!(site.decide().stops.len(), 3);
    assert!(site.decide().stops.is_empty(), "each is told once");
}
