//! Submission, cancellation and retention of flows.

use roseridge_flow::{
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRefusal,
    RunOutcome, //
};
use roseridge_model::FlowId;

use crate::small_site::{
    SmallSite,
    queue_key,
    run,
    step,
    submission,
    task, //
};

const ACCEPTED: FlowOutcome = FlowOutcome::Accepted { again: false };
const ALREADY_ACCEPTED: FlowOutcome = FlowOutcome::Accepted { again: true };

#[test]
fn resent_submission_creates_no_second_flow() {
    let mut site = SmallSite::new(1);
    assert_eq!(site.submit(1, vec![step(2)]), ACCEPTED);
    site.place(&[(task(1, 0, 0), 0)]);
    assert_eq!(site.submit(1, vec![step(2)]), ALREADY_ACCEPTED);
    assert_eq!(site.flows.flows.len(), 1);
    assert!(
        site.placed(task(1, 0, 0)).is_some(),
        "the resent submission must not change the flow"
    );
}

/// Guards against a second execution of a flow whose submission is resent.
#[test]
fn submission_resent_after_completion_does_not_run_again() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(1)]);
    site.place(&[(task(1, 0, 0), 0)]);
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Done);
    assert_eq!(site.submit(1, vec![step(1)]), ALREADY_ACCEPTED);
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

#[test]
fn identifier_of_another_flow_is_refused() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(2)]);
    let outcome = site.submit(1, vec![step(3)]);
    assert_eq!(outcome, FlowOutcome::Refused(FlowRefusal::NameReused));
}

#[test]
fn unknown_queue_is_refused() {
    let mut site = SmallSite::new(1);
    let FlowChange::Submit {
        flow,
        customer,
        mut queue,
        spec,
    } = submission(1, vec![step(1)])
    else {
        unreachable!("`submission` returns a submission");
    };
    queue.prefix = "/other/".to_owned();
    let outcome = site.apply(FlowChange::Submit {
        flow,
        customer,
        queue,
        spec,
    });
    assert_eq!(outcome, FlowOutcome::Refused(FlowRefusal::UnknownQueue));
    assert!(site.flows.flows.is_empty());
}

#[test]
fn cancelled_flow_stops_its_runs_and_starts_no_more() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(2)]);
    site.place(&[(task(1, 0, 0), 0)]);
    let flow = FlowId(1);
    assert_eq!(
        site.apply(FlowChange::Cancel { flow }),
        FlowOutcome::Applied
    );
    assert!(site.is_stopping(0, run(task(1, 0, 0), 1)));
    site.place(&[(task(1, 0, 1), 0)]);
    assert!(
        site.is_waiting(task(1, 0, 1)),
        "no task of a cancelled flow is placed"
    );
    assert_eq!(site.submit(1, vec![step(2)]), ALREADY_ACCEPTED);
    assert!(matches!(site.phase(1), FlowPhase::Cancelled { .. }));
}

#[test]
fn cancelling_a_completed_flow_has_no_effect() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(1)]);
    site.place(&[(task(1, 0, 0), 0)]);
    site.end(0, 1, run(task(1, 0, 0), 1), RunOutcome::Done);
    site.apply(FlowChange::Cancel { flow: FlowId(1) });
    assert!(matches!(site.phase(1), FlowPhase::Done { .. }));
}

#[test]
fn cancelling_an_unknown_flow_is_refused() {
    let mut site = SmallSite::new(1);
    let outcome = site.apply(FlowChange::Cancel { flow: FlowId(9) });
    assert_eq!(outcome, FlowOutcome::Refused(FlowRefusal::UnknownFlow));
}

#[test]
fn pending_count_excludes_flows_with_placed_tasks() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(1)]);
    site.submit(2, vec![step(1)]);
    assert_eq!(site.flows.pending_count(&queue_key()), 2);
    site.place(&[(task(1, 0, 0), 0)]);
    assert_eq!(site.flows.pending_count(&queue_key()), 1);
}

#[test]
fn ended_flow_is_removed_after_its_retention() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(1)]);
    site.apply(FlowChange::Cancel { flow: FlowId(1) });
    // The platform requires that ended flows are kept for 120 s.
    site.advance(120_000);
    site.apply(FlowChange::Expire);
    assert!(site.flows.flows.contains_key(&FlowId(1)));
    site.advance(200_000);
    site.apply(FlowChange::Expire);
    assert!(site.flows.flows.is_empty());
}
