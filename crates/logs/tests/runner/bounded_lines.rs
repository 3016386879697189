//! The number of lines of one kind is bounded, and what is left out is told.

use roseridge_logs::{
    LineDecision,
    LineRateLimiter, //
};
use roseridge_testutils::cases;

/// The bounds that operators are told of: lines of one kind at once, and in each second.
const AT_ONCE: usize = 400;
const PER_SECOND: usize = 100;

fn is_written(verdict: LineDecision) -> bool {
    verdict != LineDecision::Suppress
}

struct LoadCase {
    /// Lines of one kind in each millisecond.
    lines_per_ms: usize,
    seconds: u64,
    /// The most that may be written.
    most: usize,
}

fn bounds_lines(case: LoadCase) {
    let mut budget = LineRateLimiter::default();
    let times = 0..case.seconds * 1_000;
    let judged = times.flat_map(|ms| (0..case.lines_per_ms).map(move |_| ms));
    let written = judged.filter(|ms| is_written(budget.judge("RR0040", *ms)));
    let written = written.count();
    assert!(written <= case.most, "{written} of at most {}", case.most);
    // The budget is used, too.
    assert!(written + PER_SECOND >= case.most.min(case.lines_per_ms * 1_000));
}

cases! { bounds_lines:
    flood_of_one_kind = LoadCase { lines_per_ms: 50, seconds: 5, most: AT_ONCE + 5 * PER_SECOND },
    twice_the_rate = LoadCase { lines_per_ms: 1, seconds: 10, most: AT_ONCE + 10 * PER_SECOND },
}

#[test]
fn another_kind_is_written_during_a_flood() {
    let mut budget = LineRateLimiter::default();
    for _ in 0..10 * AT_ONCE {
        budget.judge("RR0055", 0);
    }
    assert_eq!(budget.judge("RR0055", 0), LineDecision::Suppress);
    assert_eq!(budget.judge("RR0020", 0), LineDecision::Write);
}

#[test]
fn every_line_that_is_left_out_is_counted_once() {
    let mut budget = LineRateLimiter::default();
    let (mut judged, mut written, mut told) = (0, 0, 0);
    for ms in 0..60_000_u64 {
        // A flood in the first ten seconds of each twenty.
        let lines = if ms % 20_000 < 10_000 { 3 } else { 0 };
        for _ in 0..lines {
            judged += 1;
            match budget.judge("RR0040", ms) {
                LineDecision::Write => written += 1,
                LineDecision::WriteAfterSummary { left_out } => {
                    written += 1;
                    told += left_out;
                }
                LineDecision::Suppress => {}
            }
        }
    }
    // One more line after a rest tells the remainder.
    if let LineDecision::WriteAfterSummary { left_out } = budget.judge("RR0040", 90_000) {
        told += left_out;
    }
    assert_eq!(judged, written + told);
}

#[test]
fn made_up_kinds_share_a_budget_and_bounded_memory() {
    let mut budget = LineRateLimiter::default();
    let kinds = (0..10_000).map(|number| format!("kind-{number}"));
    let written = kinds.filter(|kind| is_written(budget.judge(kind, 0)));
    assert!(written.count() <= 256 + AT_ONCE);
}
