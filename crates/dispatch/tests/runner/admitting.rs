//! Which flows are turned away, and when they may come back.

use roseridge_dispatch::AdmissionDecision;
use roseridge_flow::RunEnd;
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

/// Hands in flows of a whole worker's eight seconds until one is turned away.
fn fill(site: &mut SmallSite, rank: u32) -> (u64, AdmissionDecision) {
    for flow in 0..10_000 {
        match site.judge(rank, vec![step(1, 8)]) {
            AdmissionDecision::Accept => site.submit(flow, rank, 0, vec![step(1, 8)]),
            verdict => return (flow, verdict),
        }
    }
    panic!("everything was taken");
}

#[test]
fn flow_that_could_not_end_in_time_is_turned_away_with_the_time_of_room() {
    let mut site = SmallSite::new(&[4]);
    let (taken, verdict) = fill(&mut site, 1);
    let AdmissionDecision::TooLate { retry_after, .. } = verdict else {
        panic!("{verdict:?}");
    };
    // Three times an objective of 25 s on four workers of which a part is usable.
    assert!((20..60).contains(&taken), "{taken} were taken");
    assert!(retry_after >= DurationMs(1_000));
    site.submit(20_000, 1, 0, vec![step(1, 8)]);
    let AdmissionDecision::TooLate {
        retry_after: later, ..
    } = site.judge(1, vec![step(1, 8)])
    else {
        panic!("more was accepted meanwhile");
    };
    assert!(later >= retry_after);
}

#[test]
fn less_urgent_work_does_not_turn_urgent_work_away() {
    let mut site = SmallSite::new(&[4]);
    fill(&mut site, 1);
    assert_eq!(site.judge(0, vec![step(1, 8)]), AdmissionDecision::Accept);
    assert!(matches!(
        site.judge(2, vec![step(1, 8)]),
        AdmissionDecision::TooLate { .. }
    ));
}

#[test]
fn room_that_comes_back_is_given_out_again() {
    let mut site = SmallSite::new(&[4]);
    let (taken, _) = fill(&mut site, 1);
    (0..taken / 2).for_each(|flow| site.cancel(flow));
    assert_eq!(site.judge(1, vec![step(1, 8)]), AdmissionDecision::Accept);
}

#[test]
fn first_flow_is_taken_however_long_it_is() {
    let site = SmallSite::new(&[1]);
    let wide = StepSpec {
        estimate: DurationMs(3_600_000),
        ..step(100, 8)
    };
    assert_eq!(site.judge(1, vec![wide]), AdmissionDecision::Accept);
}

#[test]
fn task_larger_than_every_worker_is_turned_away() {
    let site = SmallSite::new(&[2]);
    let verdict = site.judge(0, vec![step(1, 9)]);
    assert!(matches!(verdict, AdmissionDecision::NeverFits { .. }));
}

#[test]
fn gang_larger_than_all_workers_is_turned_away() {
    let site = SmallSite::new(&[2]);
    let verdict = site.judge(0, vec![gang(3, 8)]);
    assert!(matches!(verdict, AdmissionDecision::NeverFits { .. }));
    assert_eq!(site.judge(0, vec![gang(2, 8)]), AdmissionDecision::Accept);
    // Single tasks run one after the other.
    assert_eq!(site.judge(0, vec![step(3, 8)]), AdmissionDecision::Accept);
}

#[test]
fn label_that_no_worker_has_is_turned_away() {
    let site = SmallSite::new(&[2]);
    let labelled = StepSpec {
        label: Some("b".to_owned()),
        ..step(1, 1)
    };
    let verdict = site.judge(0, vec![labelled]);
    assert!(matches!(verdict, AdmissionDecision::NeverFits { .. }));
}

#[test]
fn flow_is_taken_while_no_worker_has_announced_itself() {
    let site = SmallSite::new(&[]);
    assert_eq!(site.judge(1, vec![step(1, 8)]), AdmissionDecision::Accept);
}

/// Urgent work that takes all four workers, for a number of seconds.
fn stream_of_urgent_work(site: &mut SmallSite, seconds: u64, end: bool) {
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
        site.pass(1_000);
        for flow in flows {
            match end {
                true => site.end(flow, 0, RunEnd::Done),
                false => site.cancel(flow),
            }
        }
    }
}

/// What is said of a flow of the second rank behind some others, after urgent work.
struct StreamCase {
    seconds: u64,
    ended: bool,
    quiet_ms: u64,
    is_taken: bool,
}

fn check_stream(case: StreamCase) {
    let mut site = SmallSite::new(&[4]);
    stream_of_urgent_work(&mut site, case.seconds, case.ended);
    site.pass(case.quiet_ms);
    for flow in 1..=3 {
        site.submit(flow, 1, 0, vec![step(4, 8)]);
    }
    let verdict = site.judge(1, vec![step(1, 8)]);
    assert_eq!(verdict == AdmissionDecision::Accept, case.is_taken);
}

cases! { check_stream:
    nothing_urgent_came = StreamCase {
        seconds: 0,
        ended: true,
        quiet_ms: 0,
        is_taken: true,
    },
    urgent_work_takes_all_workers_for_long = StreamCase {
        seconds: 20,
        ended: true,
        quiet_ms: 0,
        is_taken: false,
    },
    short_burst_of_urgent_work = StreamCase {
        seconds: 5,
        ended: true,
        quiet_ms: 0,
        is_taken: true,
    },
    urgent_work_has_ended = StreamCase {
        seconds: 20,
        ended: true,
        quiet_ms: 20_000,
        is_taken: true,
    },
    urgent_work_was_cancelled = StreamCase {
        seconds: 20,
        ended: false,
        quiet_ms: 0,
        is_taken: true,
    },
}
