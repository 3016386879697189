//! What the progress of runs tells of the time that they still take.

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

/// Readings as pairs of a time in milliseconds and the percent that were done, and the time left at
/// the last one.
struct PaceCase {
    readings: &'static [(u64, u8)],
    left_ms: Option<u64>,
}

fn check(case: PaceCase) {
    let mut readings = case.readings.iter().map(|(at, percent)| ProgressReading {
        percent: *percent,
        at: UnixMillis(*at),
    });
    let mut pace = ProgressRate::new(readings.next().expect("a reading"));
    readings.for_each(|reading| pace.record(reading));
    let last = case.readings.iter().map(|(at, _)| *at).max();
    let left = pace.remaining_time(UnixMillis(last.expect("a reading")));
    assert_eq!(left, case.left_ms.map(DurationMs));
}

cases! {
    check:
    one_reading_tells_no_pace = PaceCase {
        readings: &[(0, 40)],
        left_ms: None,
    },
    // A percent takes 50 ms; half a percent is lost to rounding.
    steady_run_ends_in_proportion = PaceCase {
        readings: &[(0, 40), (1_000, 60)],
        left_ms: Some(1_975),
    },
    run_that_stands_has_no_pace = PaceCase {
        readings: &[(0, 40), (1_000, 40)],
        left_ms: None,
    },
    only_the_last_readings_count = PaceCase {
        readings: &[(0, 0), (1_000, 10), (2_000, 40), (3_000, 50), (4_000, 60), (5_000, 70)],
        left_ms: Some(2_950),
    },
    readings_in_quick_succession_are_left_out = PaceCase {
        readings: &[(0, 40), (100, 41), (1_000, 60)],
        left_ms: Some(1_975),
    },
    reading_that_arrives_late_is_left_out = PaceCase {
        readings: &[(1_000, 40), (2_000, 60), (1_500, 50)],
        left_ms: Some(1_975),
    },
    run_in_its_last_percent_is_about_to_end = PaceCase {
        readings: &[(0, 80), (1_000, 100)],
        left_ms: Some(0),
    },
}

fn urgent() -> Vec<StepSpec> {
    vec![StepSpec {
        estimate: DurationMs(2_000),
        ..step(1, 8)
    }]
}

/// Makes a site whose only worker has run a task, estimated at eight seconds, for a while.
fn busy_site() -> SmallSite {
    let mut site = SmallSite::new(&[1]);
    site.submit(1, 2, 0, vec![step(1, 8)]);
    site.decide();
    site.pass(1_500);
    site
}

#[test]
fn run_of_unknown_pace_is_stopped_for_urgent_work() {
    let mut site = busy_site();
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert_eq!(site.stopping(), [1]);
}

#[test]
fn run_that_is_nearly_done_is_waited_for() {
    let mut site = busy_site();
    site.read_progress(1, &[(1_000, 40), (0, 96)]);
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert!(site.stopping().is_empty());
}

#[test]
fn run_at_a_slow_pace_is_not_waited_for() {
    let mut site = busy_site();
    site.read_progress(1, &[(1_000, 5), (0, 10)]);
    site.submit(2, 0, 1, urgent());
    site.decide();
    assert_eq!(site.stopping(), [1]);
}
