//! Evacuation of leaving workers: a run ends there within the notice, or is moved before.

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

/// Gives notice that a worker leaves after a time at the earliest.
fn drain(site: &mut SmallSite, number: usize, notice_ms: u64) {
    site.apply(FlowChange::Drain {
        backend: BackendId::parse(&format!("worker-{number}")).expect("the name is valid"),
        remaining: DurationMs(notice_ms),
    });
}

/// A step on a leaving worker, and whether its run is moved.
struct LeavingCase {
    step: StepSpec,
    worked_ms: u64,
    notice_ms: u64,
    is_moved: bool,
}

fn check(case: LeavingCase) {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![case.step]);
    site.decide();
    site.advance_clock(case.worked_ms);
    drain(&mut site, 0, case.notice_ms);
    let decision = site.decide();
    assert_eq!(!decision.stops.is_empty(), case.is_moved);
    assert!(decision.stops.iter().all(|s| s.cause == StopCause::Moved));
    assert_eq!(!site.stopping_flows().is_empty(), case.is_moved);
}

/// Returns a step of a whole worker whose task saves checkpoints.
fn checkpointing() -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(1, 8)
    }
}

cases! { check:
    run_that_ends_within_the_notice_stays = LeavingCase {
        step: checkpointing(),
        worked_ms: 7_000,
        notice_ms: 2_500,
        is_moved: false,
    },
    run_that_cannot_end_within_the_notice_is_moved_at_once = LeavingCase {
        step: checkpointing(),
        worked_ms: 1_000,
        notice_ms: 2_500,
        is_moved: true,
    },
    run_without_checkpoints_is_moved_because_it_would_be_lost = LeavingCase {
        step: step(1, 8),
        worked_ms: 1_000,
        notice_ms: 2_500,
        is_moved: true,
    },
    run_is_moved_if_the_notice_is_about_to_end = LeavingCase {
        step: checkpointing(),
        worked_ms: 7_700,
        notice_ms: 700,
        is_moved: true,
    },
    run_is_not_stopped_after_the_notice_has_ended = LeavingCase {
        step: checkpointing(),
        worked_ms: 1_000,
        notice_ms: 0,
        is_moved: false,
    },
}

#[test]
fn moved_run_restarts_on_another_worker() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![checkpointing()]);
    site.decide();
    let first = site.place_of(1, 0).expect("the task is placed");
    site.advance_clock(2_000);
    drain(&mut site, first, 2_500);
    site.decide();
    site.advance_clock(300);
    site.end_run(1, 0, roseridge_flow::RunOutcome::Stopped);
    site.decide();
    let next = site.place_of(1, 0).expect("the task is placed again");
    assert_ne!(next, first);
}

#[test]
fn gang_is_moved_as_a_whole_when_one_worker_leaves() {
    let mut site = SmallSite::new(&[3]);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.decide();
    let places = site.places(1);
    site.advance_clock(1_000);
    drain(&mut site, places[0], 2_500);
    let decision = site.decide();
    assert_eq!(decision.stops.len(), 2);
    assert_eq!(site.stopping_flows(), [1]);
}

#[test]
fn gang_that_ends_within_the_notice_stays() {
    let mut site = SmallSite::new(&[3]);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.decide();
    let places = site.places(1);
    site.advance_clock(7_000);
    drain(&mut site, places[0], 2_500);
    assert!(site.decide().stops.is_empty());
}

#[test]
fn leaving_rack_is_evacuated_in_one_pass() {
    let mut site = SmallSite::new(&[3, 3]);
    for flow in 1..=6 {
        site.submit(flow, 1, 0, vec![checkpointing()]);
    }
    site.decide();
    site.advance_clock(1_000);
    for number in 0..3 {
        drain(&mut site, number, 2_500);
    }
    assert_eq!(site.decide().stops.len(), 3);
    assert!(site.decide().stops.is_empty(), "each run is stopped once");
}
