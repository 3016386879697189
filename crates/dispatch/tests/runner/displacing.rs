//! Whom an urgent flow displaces, and when it waits instead.

use roseridge_flow::RunEnd;
use roseridge_model::StepSpec;

use crate::small_site::{
    RECLAIM_WAIT_MS,
    SmallSite,
    gang,
    step, //
};

fn saving(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(count, accelerators)
    }
}

/// Returns an urgent step of two seconds.
fn urgent(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        estimate: roseridge_model::DurationMs(2_000),
        ..step(count, accelerators)
    }
}

#[test]
fn free_room_is_taken_before_anybody_is_stopped() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert!(site.place_of(2, 0).is_some());
    assert!(site.stopping().is_empty());
}

#[test]
fn run_that_saves_its_progress_is_stopped_first() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.submit(2, 1, 0, vec![saving(1, 8)]);
    site.decide();
    site.pass(4_000);
    site.submit(3, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert_eq!(site.stopping(), [2]);
}

#[test]
fn least_work_is_thrown_away() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.pass(3_000);
    site.submit(2, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.pass(300);
    site.submit(3, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert_eq!(site.stopping(), [2]);
}

#[test]
fn whole_gang_stops_with_its_member() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![gang(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    let stops = site.flows.backends.values().flat_map(|b| b.runs.values());
    assert_eq!(stops.filter(|run| run.stop.is_some()).count(), 2);
}

#[test]
fn room_that_is_being_given_back_is_waited_for() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    let first = site.stopping().len();
    site.pass(100);
    let round = site.decide();
    assert_eq!(first, 1);
    assert!(
        round.stops.is_empty(),
        "the stop that was asked for is enough"
    );
}

#[test]
fn nearly_finished_work_of_more_worth_is_not_stopped() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.decide();
    // All but a moment of eight seconds is done; the urgent flow borrows beyond its guarantee.
    site.pass(7_900);
    site.submit(2, 0, 1, vec![urgent(3, 8)]);
    site.decide();
    assert!(site.stopping().is_empty());
}

#[test]
fn unit_within_its_guarantee_is_owed_room_whatever_it_costs() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.decide();
    site.pass(7_000);
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.pass(RECLAIM_WAIT_MS);
    site.decide();
    assert_eq!(site.stopping(), [1]);
}

#[test]
fn borrowed_places_of_urgent_flows_are_reclaimed() {
    let mut site = SmallSite::new(&[2]);
    // The first customer's urgent flows take both workers, twice its guarantee.
    site.submit(1, 0, 0, vec![urgent(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.pass(RECLAIM_WAIT_MS);
    site.decide();
    assert_eq!(site.stopping(), [1]);
}

#[test]
fn urgent_flows_do_not_displace_each_other_in_turn() {
    let mut site = SmallSite::new(&[1]);
    for (flow, who) in [(1, 0), (2, 1), (3, 2)] {
        site.submit(flow, 0, who, vec![urgent(1, 8)]);
    }
    let mut stops = 0;
    for _ in 0..40 {
        site.pass(200);
        stops += site.decide().stops.len();
        for flow in site.stopping() {
            site.end(flow, 0, RunEnd::Stopped);
        }
    }
    // Each of the three may be owed its first places once.
    assert!(stops <= 3, "{stops} stops");
}

#[test]
fn lower_ranks_displace_nobody() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 1, 1, vec![step(1, 8)]);
    site.pass(5_000);
    assert!(site.decide().stops.is_empty());
}
