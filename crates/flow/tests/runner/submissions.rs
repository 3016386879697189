//! Submission, cancellation and retention of flows.

use roseridge_flow::{
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    FlowRefusal,
    RunOutcome, //
};
use roseridge_model::{
    CustomerName,
    FlowId,
    StepSpec, //
};

use crate::small_site::{
    SmallSite,
    queue_key,
    run,
    step,
    submission,
    task, //
};

/// The largest text that a body of 256 KiB can carry, roughly.
const LARGE_TEXT_BYTES: usize = 262_000;
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

fn withdraw(site: &mut SmallSite, customer: &str) -> FlowOutcome {
    site.apply(FlowChange::Withdraw {
        flow: FlowId(1),
        queue: queue_key(),
        customer: CustomerName::parse(customer).ok(),
    })
}

/// Guards against a flow that runs although its caller was told that it doesn't exist, because a copy of its submission
/// arrived after the cancellation (`review/13`).
#[test]
fn submission_that_arrives_after_its_cancellation_is_cancelled() {
    let mut site = SmallSite::new(1);
    assert_eq!(withdraw(&mut site, "customer"), FlowOutcome::Withdrawn);
    assert_eq!(site.submit(1, vec![step(1)]), ACCEPTED);
    assert!(matches!(site.phase(1), FlowPhase::Cancelled { .. }));
    site.place(&[(task(1, 0, 0), 0)]);
    assert_eq!(site.flows.open_flows().count(), 0);
    assert_eq!(site.submit(1, vec![step(1)]), ALREADY_ACCEPTED);
    assert_eq!(withdraw(&mut site, "customer"), FlowOutcome::Applied);
}

/// Guards against a flow that stays open because its submission was committed between the cancellation's proposal and
/// its commit.
#[test]
fn withdrawal_cancels_a_flow_that_has_arrived_meanwhile() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(1)]);
    assert_eq!(withdraw(&mut site, "customer"), FlowOutcome::Applied);
    assert!(matches!(site.phase(1), FlowPhase::Cancelled { .. }));
}

/// Guards against a customer that cancels the flows of another one, known or not.
#[test]
fn withdrawal_concerns_only_flows_of_its_customer() {
    let mut site = SmallSite::new(1);
    withdraw(&mut site, "other");
    assert_eq!(site.submit(1, vec![step(1)]), ACCEPTED);
    let refused = FlowOutcome::Refused(FlowRefusal::UnknownFlow);
    assert_eq!(withdraw(&mut site, "other"), refused);
    assert_eq!(site.phase(1), FlowPhase::Open);
}

/// Guards against cancellations of unknown flows that fill the state.
#[test]
fn withdrawals_are_removed_after_their_retention() {
    let mut site = SmallSite::new(0);
    withdraw(&mut site, "customer");
    site.advance(60_000);
    assert!(site.flows.next_expiry() > Some(site.flows.now));
    site.advance(5_000);
    site.apply(FlowChange::Expire);
    assert!(site.flows.withdrawn.is_empty());
    assert_eq!(site.flows.next_expiry(), None);
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

/// Returns the submission of a flow with a text.
fn submission_with_text(flow: u64, text: &str, steps: Vec<StepSpec>) -> FlowChange {
    match submission(flow, steps) {
        FlowChange::Submit {
            flow,
            customer,
            queue,
            mut spec,
        } => {
            spec.text = text.to_owned();
            FlowChange::Submit {
                flow,
                customer,
                queue,
                spec,
            }
        }
        other => panic!("{other:?}"),
    }
}

fn encoded_bytes(site: &SmallSite) -> usize {
    let state = postcard::to_stdvec(&site.flows).expect("an encoding");
    state.len()
}

/// Guards against ended flows that fill snapshots and memory with their texts: 200 of them had 50 MB
/// for five minutes.
#[test]
fn ended_flows_do_not_keep_their_texts() {
    let mut site = SmallSite::new(1);
    let text = "t".repeat(LARGE_TEXT_BYTES);
    let empty_bytes = encoded_bytes(&site);
    for flow in 0..200 {
        site.apply(submission_with_text(flow, &text, vec![step(1)]));
        site.place(&[(task(flow, 0, 0), 0)]);
        site.end(0, flow + 1, run(task(flow, 0, 0), 1), RunOutcome::Done);
        assert!(matches!(site.phase(flow), FlowPhase::Done { .. }));
    }
    let bytes = encoded_bytes(&site) - empty_bytes;
    assert!(bytes < LARGE_TEXT_BYTES, "{bytes} bytes");
}

/// Guards against memory that is filled by flows that were submitted and cancelled: each kept all its
/// tasks for five minutes.
#[test]
fn flow_that_was_cancelled_before_its_start_keeps_no_tasks() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(8_500)]);
    let open_bytes = site.flows.flow_bytes();
    let flow = FlowId(1);
    site.apply(FlowChange::Cancel { flow });
    assert!(site.flows.flow_bytes() < open_bytes / 100);
    assert_eq!(site.submit(1, vec![step(8_500)]), ALREADY_ACCEPTED);
    assert!(matches!(site.phase(1), FlowPhase::Cancelled { .. }));
}

#[test]
fn submission_resent_after_the_end_is_recognized_by_its_text() {
    let mut site = SmallSite::new(1);
    let text = "t".repeat(LARGE_TEXT_BYTES);
    let other = format!("{}u", &text[1..]);
    for (flow, text, other) in [(1, text.as_str(), other.as_str()), (2, "short", "other")] {
        let submit = submission_with_text(flow, text, vec![step(1)]);
        assert_eq!(site.apply(submit.clone()), ACCEPTED);
        assert_eq!(site.apply(submit.clone()), ALREADY_ACCEPTED);
        let flow = FlowId(flow);
        site.apply(FlowChange::Cancel { flow });
        assert_eq!(site.apply(submit), ALREADY_ACCEPTED);
        let reused = FlowOutcome::Refused(FlowRefusal::NameReused);
        let changed = submission_with_text(flow.0, other, vec![step(1)]);
        assert_eq!(site.apply(changed), reused);
        let changed = submission_with_text(flow.0, text, vec![step(2)]);
        assert_eq!(site.apply(changed), reused);
    }
}

/// The snapshots of earlier versions hold the texts of ended flows.
#[test]
fn resent_submission_of_an_ended_flow_with_its_text_is_recognized() {
    let mut site = SmallSite::new(1);
    let text = "t".repeat(LARGE_TEXT_BYTES);
    let submit = submission_with_text(1, &text, vec![step(1)]);
    site.apply(submit.clone());
    site.apply(FlowChange::Cancel { flow: FlowId(1) });
    let record = site.flows.flows.get_mut(&FlowId(1)).expect("a record");
    record.spec.text = text;
    assert_eq!(site.apply(submit), ALREADY_ACCEPTED);
}

/// The size by which flows are admitted must not fall behind the size that their records reach.
#[test]
fn approximate_bytes_cover_the_encoding_of_running_flows() {
    let mut site = SmallSite::new(1);
    let empty_bytes = encoded_bytes(&site);
    let spec_steps = vec![
        step(40),
        StepSpec {
            label: Some("label".repeat(20)),
            after: vec![0; 300],
            ..step(20)
        },
    ];
    let submit = submission_with_text(1, &"t".repeat(5_000), spec_steps);
    let FlowChange::Submit { spec, .. } = &submit else {
        panic!("{submit:?}");
    };
    let admitted_bytes = FlowRecord::approximate_bytes_of(spec);
    site.apply(submit);
    assert_eq!(site.flows.flow_bytes(), admitted_bytes);
    for index in 0..40 {
        let first = task(1, 0, index);
        site.place(&[(first, 0)]);
        let number = u64::from(index) + 1;
        let checkpoint = "0123456789abcdef";
        site.end_with_checkpoint(0, number, run(first, 1), RunOutcome::Stopped, checkpoint);
        site.place(&[(first, 0)]);
    }
    let bytes = encoded_bytes(&site) - empty_bytes;
    assert!(bytes <= admitted_bytes, "{bytes} of {admitted_bytes} bytes");
}

/// Guards against memory that is filled by checkpoints: a backend server chooses their length.
#[test]
fn approximate_bytes_cover_long_checkpoints() {
    let mut site = SmallSite::new(1);
    let empty_bytes = encoded_bytes(&site);
    site.submit(1, vec![step(40)]);
    let checkpoint = "c".repeat(LARGE_TEXT_BYTES / 10);
    for index in 0..40 {
        let first = task(1, 0, index);
        site.place(&[(first, 0)]);
        let number = u64::from(index) + 1;
        site.end_with_checkpoint(0, number, run(first, 1), RunOutcome::Stopped, &checkpoint);
    }
    let (bytes, flow_bytes) = (encoded_bytes(&site) - empty_bytes, site.flows.flow_bytes());
    assert!(bytes <= flow_bytes, "{bytes} of {flow_bytes} bytes");
}
