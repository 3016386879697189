//! Preemption: which runs an urgent flow stops, and when it waits instead.

use roseridge_flow::RunOutcome;
use roseridge_model::StepSpec;

use crate::small_site::{
    RECLAIM_WAIT_MS,
    SmallSite,
    gang,
    step, //
};

/// Returns a step whose tasks save checkpoints.
fn checkpointing(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(count, accelerators)
    }
}

/// Returns a step of two seconds, for an urgent flow.
fn urgent(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        estimate: roseridge_model::DurationMs(2_000),
        ..step(count, accelerators)
    }
}

#[test]
fn free_capacity_is_used_before_preemption() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert!(site.place_of(2, 0).is_some());
    assert!(site.stopping_flows().is_empty());
}

#[test]
fn run_with_checkpoints_is_preempted_first() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.submit(2, 1, 0, vec![checkpointing(1, 8)]);
    site.decide();
    site.advance_clock(4_000);
    site.submit(3, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert_eq!(site.stopping_flows(), [2]);
}

#[test]
fn run_with_least_work_to_lose_is_preempted() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.advance_clock(3_000);
    site.submit(2, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.advance_clock(300);
    site.submit(3, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    assert_eq!(site.stopping_flows(), [2]);
}

#[test]
fn gang_is_preempted_as_a_whole() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![gang(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    let stops = site.flows.backends.values().flat_map(|b| b.runs.values());
    assert_eq!(stops.filter(|run| run.stop.is_some()).count(), 2);
}

#[test]
fn capacity_of_stopping_runs_is_not_requested_again() {
    let mut site = SmallSite::new(&[2]);
    site.submit(1, 2, 0, vec![step(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.decide();
    let stopping = site.stopping_flows().len();
    site.advance_clock(100);
    let decision = site.decide();
    assert_eq!(stopping, 1);
    assert!(
        decision.stops.is_empty(),
        "the first stop releases enough capacity"
    );
}

#[test]
fn nearly_finished_run_of_higher_value_is_not_preempted() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.decide();
    // The run has 100 ms of its eight seconds left, and the urgent flow exceeds its customer's guarantee.
    site.advance_clock(7_900);
    site.submit(2, 0, 1, vec![urgent(3, 8)]);
    site.decide();
    assert!(site.stopping_flows().is_empty());
}

#[test]
fn flow_within_its_guarantee_preempts_at_any_cost() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 1, 0, vec![step(1, 8)]);
    site.decide();
    site.advance_clock(7_000);
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.advance_clock(RECLAIM_WAIT_MS);
    site.decide();
    assert_eq!(site.stopping_flows(), [1]);
}

#[test]
fn capacity_that_urgent_flows_borrow_is_reclaimed() {
    let mut site = SmallSite::new(&[2]);
    // The first customer's urgent flow uses both workers, which is twice the guarantee.
    site.submit(1, 0, 0, vec![urgent(2, 8)]);
    site.decide();
    site.submit(2, 0, 1, vec![urgent(1, 8)]);
    site.advance_clock(RECLAIM_WAIT_MS);
    site.decide();
    assert_eq!(site.stopping_flows(), [1]);
}

/// Guards against a cycle of preemptions: three customers compete for one worker that none of them can
/// share, and each flow that was stopped would stop the next one.
#[test]
fn urgent_flows_do_not_preempt_each_other_in_turn() {
    let mut site = SmallSite::new(&[1]);
    for (flow, owner) in [(1, 0), (2, 1), (3, 2)] {
        site.submit(flow, 0, owner, vec![urgent(1, 8)]);
    }
    let mut stops = 0;
    for _ in 0..40 {
        site.advance_clock(200);
        stops += site.decide().stops.len();
        for flow in site.stopping_flows() {
            site.end_run(flow, 0, RunOutcome::Stopped);
        }
    }
    // Each of the three flows may reclaim capacity for its first start once.
    assert!(stops <= 3, "{stops} stops");
}

#[test]
fn lower_ranks_do_not_preempt() {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.submit(2, 1, 1, vec![step(1, 8)]);
    site.advance_clock(5_000);
    assert!(site.decide().stops.is_empty());
}
