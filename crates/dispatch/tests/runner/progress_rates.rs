//! Estimates of the remaining run time from progress readings, and their effect on preemption.

use roseridge_dispatch::{
    ProgressRate,
    ProgressReading, //
};
use roseridge_model::{
    DurationMs,
    StepSpec,
    UnixMillis, //
};
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    step, //
};

/// Progress readings and the expected remaining time at the last one.
struct RateCase {
    /// Pairs of a time in milliseconds and the completed percent.
    readings: &'static [(u64, u8)],
    remaining_ms: Option<u64>,
}

fn check(case: RateCase) {
    let mut readings = case.readings.iter().map(|(at, percent)| ProgressReading {
        percent: *percent,
        at: UnixMillis(*at),
    });
    let mut rate = ProgressRate::new(readings.next().expect("the case has a reading"));
    readings.for_each(|reading| rate.record(reading));
    let last = case.readings.iter().map(|(at, _)| *at).max();
    let remaining = rate.remaining_time(UnixMillis(last.expect("the case has a reading")));
    assert_eq!(remaining, case.remaining_ms.map(DurationMs));
}

cases! {
    check:
    single_reading_gives_no_estimate = RateCase {
        readings: &[(0, 40)],
        remaining_ms: None,
    },
    // One percent takes 50 ms. Readings are rounded down, so half a percent more counts as done.
    steady_run_is_extrapolated = RateCase {
        readings: &[(0, 40), (1_000, 60)],
        remaining_ms: Some(1_975),
    },
    stalled_run_gives_no_estimate = RateCase {
        readings: &[(0, 40), (1_000, 40)],
        remaining_ms: None,
    },
    only_the_last_readings_count = RateCase {
        readings: &[(0, 0), (1_000, 10), (2_000, 40), (3_000, 50), (4_000, 60), (5_000, 70)],
        remaining_ms: Some(2_950),
    },
    reading_soon_after_the_previous_one_is_ignored = RateCase {
        readings: &[(0, 40), (100, 41), (1_000, 60)],
        remaining_ms: Some(1_975),
    },
    reading_out_of_order_is_ignored = RateCase {
        readings: &[(1_000, 40), (2_000, 60), (1_500, 50)],
        remaining_ms: Some(1_975),
    },
    run_at_full_progress_is_about_to_end = RateCase {
        readings: &[(0, 80), (1_000, 100)],
        remaining_ms: Some(0),
    },
}

/// Returns the steps of an urgent flow of two seconds.
fn urgent() -> Vec<StepSpec> {
    vec![StepSpec {
        estimate: DurationMs(2_000),
        ..step(1, 8)
    }]
}

/// Returns a site whose only worker has run a task, estimated at eight seconds, for 1.5 seconds.
fn busy_site() -> SmallSite {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.advance_clock(1_500);
    site
}

#[test]
fn run_of_unknown_progress_is_preempted() {
    let mut site = busy_site();
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert_eq!(site.stopping_flows(), [1]);
}

#[test]
fn run_that_is_nearly_done_is_not_preempted() {
    let mut site = busy_site();
    site.report_progress(1, &[(1_000, 40), (0, 96)]);
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert!(site.stopping_flows().is_empty());
}

#[test]
fn slow_run_is_preempted() {
    let mut site = busy_site();
    site.report_progress(1, &[(1_000, 5), (0, 10)]);
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert_eq!(site.stopping_flows(), [1]);
}
