//! Admission control: which flows are refused, and when they may be submitted again.

use roseridge_dispatch::AdmissionDecision;
use roseridge_flow::RunOutcome;
use roseridge_model::{
    DurationMs,
    FlowSpec,
    StepSpec, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

/// Submits flows of eight seconds on a whole worker until one is refused, and returns the number of the
/// accepted flows and the refusal.
fn fill(site: &mut SmallSite, rank: u32) -> (u64, AdmissionDecision) {
    for flow in 0..10_000 {
        match site.check_admission(rank, vec![step(1, 8)]) {
            AdmissionDecision::Accept => site.submit(flow, rank, 0, vec![step(1, 8)]),
            decision => return (flow, decision),
        }
    }
    panic!("no flow was refused");
}

#[test]
fn flow_that_cannot_end_in_time_is_refused_with_a_retry_time() {
    let mut site = SmallSite::new(&[4]);
    let (accepted, decision) = fill(&mut site, 1);
    let AdmissionDecision::TooLate { retry_after, .. } = decision else {
        panic!("{decision:?}");
    };
    // A flow has value for three times its objective of 25 s, on four workers of which a share is usable.
    assert!(
        (20..60).contains(&accepted),
        "{accepted} flows were accepted"
    );
    assert!(retry_after >= DurationMs(1_000));
    site.submit(20_000, 1, 0, vec![step(1, 8)]);
    let AdmissionDecision::TooLate {
        retry_after: later, ..
    } = site.check_admission(1, vec![step(1, 8)])
    else {
        panic!("the flow was not refused as too late");
    };
    assert!(later >= retry_after);
}

#[test]
fn backlog_of_lower_ranks_does_not_refuse_urgent_flows() {
    let mut site = SmallSite::new(&[4]);
    fill(&mut site, 1);
    assert_eq!(
        site.check_admission(0, vec![step(1, 8)]),
        AdmissionDecision::Accept
    );
    assert!(matches!(
        site.check_admission(2, vec![step(1, 8)]),
        AdmissionDecision::TooLate { .. }
    ));
}

#[test]
fn flows_are_accepted_again_when_the_backlog_shrinks() {
    let mut site = SmallSite::new(&[4]);
    let (accepted, _) = fill(&mut site, 1);
    (0..accepted / 2).for_each(|flow| site.cancel(flow));
    assert_eq!(
        site.check_admission(1, vec![step(1, 8)]),
        AdmissionDecision::Accept
    );
}

#[test]
fn flow_without_backlog_is_accepted_however_long_it_takes() {
    let site = SmallSite::new(&[1]);
    let wide = StepSpec {
        estimate: DurationMs(3_600_000),
        ..step(100, 8)
    };
    assert_eq!(
        site.check_admission(1, vec![wide]),
        AdmissionDecision::Accept
    );
}

#[test]
fn task_larger_than_every_worker_is_refused() {
    let site = SmallSite::new(&[2]);
    let decision = site.check_admission(0, vec![step(1, 9)]);
    assert!(matches!(decision, AdmissionDecision::NeverFits { .. }));
}

#[test]
fn gang_larger_than_all_workers_is_refused() {
    let site = SmallSite::new(&[2]);
    let decision = site.check_admission(0, vec![gang(3, 8)]);
    assert!(matches!(decision, AdmissionDecision::NeverFits { .. }));
    assert_eq!(
        site.check_admission(0, vec![gang(2, 8)]),
        AdmissionDecision::Accept
    );
    // Tasks that are not a gang can run one after the other.
    assert_eq!(
        site.check_admission(0, vec![step(3, 8)]),
        AdmissionDecision::Accept
    );
}

#[test]
fn label_that_no_worker_has_is_refused() {
    let site = SmallSite::new(&[2]);
    let labelled = StepSpec {
        label: Some("b".to_owned()),
        ..step(1, 1)
    };
    let decision = site.check_admission(0, vec![labelled]);
    assert!(matches!(decision, AdmissionDecision::NeverFits { .. }));
}

#[test]
fn flow_is_accepted_before_any_worker_has_announced_itself() {
    let site = SmallSite::new(&[]);
    assert_eq!(
        site.check_admission(1, vec![step(1, 8)]),
        AdmissionDecision::Accept
    );
}

/// Submits urgent work that occupies all four workers for a number of seconds. It ends or is cancelled.
fn submit_urgent_stream(site: &mut SmallSite, seconds: u64, ends: bool) {
    for second in 0..seconds {
        let flows = [2 * second, 2 * second + 1].map(|number| 1_000 + number);
        for flow in flows {
            let urgent = StepSpec {
                estimate: DurationMs(2_000),
                ..step(1, 8)
            };
            site.submit(flow, 0, 1, vec![urgent]);
        }
        site.decide();
        site.advance_clock(1_000);
        for flow in flows {
            match ends {
                true => site.end_run(flow, 0, RunOutcome::Done),
                false => site.cancel(flow),
            }
        }
    }
}

/// Urgent work before a flow of the second rank with a backlog, and whether that flow is accepted.
struct StreamCase {
    seconds: u64,
    ends: bool,
    pause_ms: u64,
    is_accepted: bool,
}

fn check_stream(case: StreamCase) {
    let mut site = SmallSite::new(&[4]);
    submit_urgent_stream(&mut site, case.seconds, case.ends);
    site.advance_clock(case.pause_ms);
    for flow in 1..=3 {
        site.submit(flow, 1, 0, vec![step(4, 8)]);
    }
    let decision = site.check_admission(1, vec![step(1, 8)]);
    assert_eq!(decision == AdmissionDecision::Accept, case.is_accepted);
}

cases! { check_stream:
    no_urgent_work = StreamCase {
        seconds: 0,
        ends: true,
        pause_ms: 0,
        is_accepted: true,
    },
    long_stream_of_urgent_work = StreamCase {
        seconds: 20,
        ends: true,
        pause_ms: 0,
        is_accepted: false,
    },
    short_burst_of_urgent_work = StreamCase {
        seconds: 5,
        ends: true,
        pause_ms: 0,
        is_accepted: true,
    },
    urgent_work_has_ended = StreamCase {
        seconds: 20,
        ends: true,
        pause_ms: 20_000,
        is_accepted: true,
    },
    urgent_work_was_cancelled = StreamCase {
        seconds: 20,
        ends: false,
        pause_ms: 0,
        is_accepted: true,
    },
}

fn flow_with_text(bytes: usize) -> FlowSpec {
    FlowSpec {
        text: "t".repeat(bytes),
        steps: vec![step(1, 8)],
        repeat: None,
    }
}

/// Load pattern: callers submit flows with texts of the largest size. 3,200 of them would have 800 MB, in
/// every snapshot and in the memory of every replica.
#[test]
fn flows_with_large_texts_are_refused_by_their_size() {
    let mut site = SmallSite::new(&[]);
    let spec = flow_with_text(262_000);
    let mut accepted = 0;
    while site.check_spec(1, &spec) == AdmissionDecision::Accept {
        assert!(accepted < 3_200, "{accepted} flows were accepted");
        site.submit_spec(accepted, 1, spec.clone());
        accepted += 1;
    }
    let AdmissionDecision::QueueFull { retry_after } = site.check_spec(1, &spec) else {
        panic!("not refused by the size");
    };
    assert!(retry_after >= DurationMs(1_000));
    assert!(site.flows.flow_bytes() <= 16 * 1_048_576);
    // The usual flow of 4,000 bytes finds room as soon as one of the large ones ends.
    site.cancel(0);
    assert_eq!(
        site.check_spec(1, &flow_with_text(4_000)),
        AdmissionDecision::Accept
    );
}

/// Load pattern: a burst of submissions arrives before the first of them is committed.
#[test]
fn proposed_flows_count_towards_the_size_limit() {
    let mut site = SmallSite::new(&[]);
    site.proposed_flow_bytes = 16 * 1_048_576;
    let decision = site.check_spec(1, &flow_with_text(4_000));
    assert!(matches!(decision, AdmissionDecision::QueueFull { .. }));
}

/// Load pattern: flows with the maximum number of tasks are submitted and cancelled at once, again and
/// again. The ended ones are kept for minutes.
#[test]
fn submitted_and_cancelled_flows_do_not_fill_the_state() {
    let mut site = SmallSite::new(&[]);
    for flow in 0..300 {
        assert_eq!(
            site.check_admission(1, vec![step(8_500, 8)]),
            AdmissionDecision::Accept,
            "flow {flow}"
        );
        site.submit(flow, 1, 0, vec![step(8_500, 8)]);
        site.cancel(flow);
    }
    assert!(site.flows.flow_bytes() < 1_048_576);
}
