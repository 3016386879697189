//! Guards against log lines without a rate limit, and against suppressed lines that no summary
//! counts.

use roseridge_logs::{
    LineBudget,
    LineDecision, //
};
use roseridge_testutils::cases;

/// The documented limits for lines of one kind: the burst, and the number per second.
const MAX_BURST: usize = 400;
const LINES_PER_SECOND: usize = 100;

fn is_written(decision: LineDecision) -> bool {
    decision != LineDecision::Suppress
}

struct LoadCase {
    /// The number of lines of one kind in each millisecond.
    lines_per_ms: usize,
    seconds: u64,
    /// The maximum number of lines that may be written.
    max_written: usize,
}

fn check_written_lines(case: LoadCase) {
    let mut budget = LineBudget::default();
    let times = 0..case.seconds * 1_000;
    let lines = times.flat_map(|ms| (0..case.lines_per_ms).map(move |_| ms));
    let written = lines.filter(|ms| is_written(budget.check("RR0040", *ms)));
    let written = written.count();
    assert!(
        written <= case.max_written,
        "{written} of at most {}",
        case.max_written
    );
    // The budget also admits nearly as many lines as it allows.
    assert!(written + LINES_PER_SECOND >= case.max_written.min(case.lines_per_ms * 1_000));
}

cases! { check_written_lines:
    flood_of_one_kind_is_limited = LoadCase {
        lines_per_ms: 50,
        seconds: 5,
        max_written: MAX_BURST + 5 * LINES_PER_SECOND,
    },
    excess_over_the_average_rate_is_limited = LoadCase {
        lines_per_ms: 1,
        seconds: 10,
        max_written: MAX_BURST + 10 * LINES_PER_SECOND,
    },
}

#[test]
fn flood_of_one_kind_does_not_suppress_another_kind() {
    let mut budget = LineBudget::default();
    for _ in 0..10 * MAX_BURST {
        budget.check("RR0055", 0);
    }
    assert_eq!(budget.check("RR0055", 0), LineDecision::Suppress);
    assert_eq!(budget.check("RR0020", 0), LineDecision::Write);
}

#[test]
fn summaries_count_every_suppressed_line_once() {
    let mut budget = LineBudget::default();
    let (mut checked, mut written, mut reported) = (0, 0, 0);
    for ms in 0..60_000_u64 {
        // There is a flood in the first 10 seconds of every 20.
        let lines = if ms % 20_000 < 10_000 { 3 } else { 0 };
        for _ in 0..lines {
            checked += 1;
            match budget.check("RR0040", ms) {
                LineDecision::Write => written += 1,
                LineDecision::WriteAfterSummary { suppressed } => {
                    written += 1;
                    reported += suppressed;
                }
                LineDecision::Suppress => {}
            }
        }
    }
    // The first line after a pause is preceded by a summary of the remainder.
    if let LineDecision::WriteAfterSummary { suppressed } = budget.check("RR0040", 90_000) {
        reported += suppressed;
    }
    assert_eq!(checked, written + reported);
}

#[test]
fn excess_kinds_share_one_limit() {
    let mut budget = LineBudget::default();
    let kinds = (0..10_000).map(|number| format!("kind-{number}"));
    let written = kinds.filter(|kind| is_written(budget.check(kind, 0)));
    assert!(written.count() <= 256 + MAX_BURST);
}
