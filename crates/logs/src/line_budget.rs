//! The rate limit of log lines, with one token bucket for each kind of line.

use roseridge_model::FastMap;

/// The average number of lines of one kind that may be written in a second.
const LINES_PER_SECOND: u64 = 100;
/// The maximum number of lines of one kind that may be written in a burst.
const MAX_BURST_LINES: u64 = 400;
/// The maximum number of kinds with their own limit; all others share one.
const MAX_KINDS: usize = 256;
/// The minimum time between two summaries of the suppressed lines of one kind, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 5_000;

/// The decision on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write,
    /// The line is written after a summary of the suppressed lines of its kind.
    WriteAfterSummary {
        /// The number of suppressed lines.
        suppressed: u64,
    },
    /// The line is suppressed.
    Suppress,
}

/// The token bucket of one kind of line.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// The lines that may still be written, in thousandths of a line.
    millilines: u64,
    /// The time of the last refill, in milliseconds.
    refilled_ms: u64,
    /// The number of suppressed lines since the last summary.
    suppressed: u64,
    /// The time of the last summary, in milliseconds.
    last_summary_ms: u64,
}

/// Limits the rate of the lines of each kind.
#[derive(Debug, Default)]
pub struct LineBudget {
    buckets: FastMap<String, TokenBucket>,
}

impl LineBudget {
    /// Decides whether a line of a kind may be written. The time is in milliseconds from any fixed
    /// start.
    pub fn check(&mut self, kind: &str, now_ms: u64) -> LineDecision {
        let is_new = !self.buckets.contains_key(kind);
        let kind = match is_new && self.buckets.len() >= MAX_KINDS {
            true => "",
            false => kind,
        };
        let bucket = self.buckets.entry(kind.to_owned()).or_insert(TokenBucket {
            millilines: MAX_BURST_LINES * 1_000,
            refilled_ms: now_ms,
            suppressed: 0,
            last_summary_ms: now_ms,
        });
        let refill = now_ms.saturating_sub(bucket.refilled_ms) * LINES_PER_SECOND;
        bucket.millilines = (bucket.millilines + refill).min(MAX_BURST_LINES * 1_000);
        bucket.refilled_ms = now_ms;
        if bucket.millilines < 1_000 {
            bucket.suppressed += 1;
            return LineDecision::Suppress;
        }
        bucket.millilines -= 1_000;
        match bucket.suppressed {
            suppressed
                if suppressed > 0 && now_ms >= bucket.last_summary_ms + SUMMARY_INTERVAL_MS =>
            {
                bucket.suppressed = 0;
                bucket.last_summary_ms = now_ms;
                LineDecision::WriteAfterSummary { suppressed }
            }
            _ => LineDecision::Write,
        }
    }
}
