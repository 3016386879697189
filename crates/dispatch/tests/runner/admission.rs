//! Admission control: which flows are refused, and when they may be submitted again.

use roseridge_dispatch::AdmissionDecision;
use roseridge_flow::RunOutcome;
use roseridge_model::{
    DurationMs,
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

/// Guards against counting capacity as a sum: the backlog can only use one rack, the other one is free.
#[test]
fn flow_is_accepted_while_free_workers_can_run_it_in_time() {
    let mut site = SmallSite::new(&[2, 2]);
    let bound = StepSpec {
        label: Some("rack-0".to_owned()),
        ..step(1, 8)
    };
    for flow in 0..40 {
        site.submit(flow, 1, 0, vec![bound.clone()]);
    }
    site.decide();
    assert_eq!(
        site.check_admission(1, vec![step(2, 8)]),
        AdmissionDecision::Accept
    );
    let decision = site.check_admission(1, vec![bound]);
    assert!(
        matches!(decision, AdmissionDecision::TooLate { .. }),
        "{decision:?}"
    );
}

/// Guards against capacity that fits no task: every worker has free accelerators, none has eight.
#[test]
fn free_accelerators_on_many_workers_are_no_room_for_a_large_task() {
    let mut site = SmallSite::new(&[4]);
    for flow in 0..4 {
        let long = StepSpec {
            estimate: DurationMs(600_000),
            ..step(1, 5)
        };
        site.submit(flow, 0, 0, vec![long]);
    }
    site.decide();
    let decision = site.check_admission(1, vec![step(1, 8)]);
    assert!(
        matches!(decision, AdmissionDecision::TooLate { .. }),
        "{decision:?}"
    );
    assert_eq!(
        site.check_admission(1, vec![step(4, 3)]),
        AdmissionDecision::Accept
    );
}

/// Guards against work that waits forever refusing newcomers: flows that can only be late are postponed.
#[test]
fn flows_that_can_only_be_late_are_not_ahead() {
    let mut site = SmallSite::new(&[4]);
    let (accepted, _) = fill(&mut site, 1);
    site.advance_clock(60_000);
    assert!(accepted > 0);
    assert_eq!(
        site.check_admission(1, vec![step(1, 8)]),
        AdmissionDecision::Accept
    );
}

/// Guards against accepting work for workers that don't report: half of them are silent.
#[test]
fn silent_workers_are_no_capacity() {
    let accepted = [0, 2].map(|silent| {
        let mut site = SmallSite::new(&[4]);
        (0..silent).for_each(|worker| site.set_since_contact(worker, 5_000));
        fill(&mut site, 1).0
    });
    assert!(
        accepted[1] <= accepted[0] / 2 + 1 && accepted[1] > 0,
        "{accepted:?} flows were accepted"
    );
}

/// Submits urgent work of two seconds on a number of workers in every second.
fn submit_urgent_rate(site: &mut SmallSite, first: u64, seconds: u64, flows_per_second: u64) {
    for number in 0..seconds * flows_per_second {
        let urgent = StepSpec {
            estimate: DurationMs(2_000),
            ..step(1, 8)
        };
        site.submit(first + number, 0, 1, vec![urgent]);
        if number % flows_per_second == flows_per_second - 1 {
            site.decide();
            site.advance_clock(1_000);
            let ended = first + number + 1 - flows_per_second..=first + number;
            ended.for_each(|flow| site.end_run(flow, 0, RunOutcome::Done));
        }
    }
}

/// Returns how many workers the urgent arrivals of a burst, or of a wave with the same mean, are expected
/// to occupy: the mean rate, and the recent one.
fn expected_arrivals(pattern: &[(u64, u64)]) -> (u64, u64) {
    let mut site = SmallSite::new(&[8]);
    for (first, (seconds, flows_per_second)) in (1..).map(|n| n * 1_000).zip(pattern) {
        match flows_per_second {
            0 => site.advance_clock(seconds * 1_000),
            _ => submit_urgent_rate(&mut site, first, *seconds, *flows_per_second),
        }
    }
    fill(&mut site, 1);
    match site.check_admission(1, vec![step(1, 8)]) {
        AdmissionDecision::TooLate { inputs, .. } => (inputs.mean_arrivals, inputs.recent_arrivals),
        decision => panic!("{decision:?}"),
    }
}

/// Guards against taking the rate of a burst for the rate of the next 20 s, and the mean for the burst.
#[test]
fn burst_is_not_the_mean_and_the_mean_is_not_the_burst() {
    let (mean, recent) = expected_arrivals(&[(20, 1), (3, 4)]);
    assert!(
        mean <= 3_000 && recent >= 6_000,
        "mean {mean} and recent {recent} thousandths of a worker"
    );
    let (mean, recent) = expected_arrivals(&[(20, 1), (5, 4), (5, 0)]);
    assert!(
        mean >= 1_000 && recent == 0,
        "mean {mean} and recent {recent} thousandths of a worker"
    );
}
