//! How many lines of one kind are written.

use roseridge_model::FastMap;

/// The lines of one kind that may be written in a second on average.
const LINES_PER_SECOND: u64 = 100;
/// The lines of one kind that may be written at once after a rest.
const LINES_AT_ONCE: u64 = 400;
/// The kinds that are told apart; all others share one budget.
const MAX_KINDS: usize = 256;
/// The time between two lines that tell how many of a kind were left out, in milliseconds.
const TELL_INTERVAL_MS: u64 = 5_000;

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written.
    Write,
    /// It is written, after a line that tells how many of its kind were left out.
    WriteAfterSummary {
        /// How many.
        left_out: u64,
    },
    /// It is left out.
    Suppress,
}

#[derive(Debug, Clone, Copy)]
struct KindBudget {
    /// What may still be written, in thousandths of a line.
    millilines: u64,
    at_ms: u64,
    left_out: u64,
    told_ms: u64,
}

/// Bounds the lines of each kind.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    kinds: FastMap<String, KindBudget>,
}

impl LineRateLimiter {
    /// Judges a line of a kind.
    pub fn judge(&mut self, kind: &str, now_ms: u64) -> LineDecision {
        let is_new = !self.kinds.contains_key(kind);
        let kind = match is_new && self.kinds.len() >= MAX_KINDS {
            true => "",
            false => kind,
        };
        let budget = self.kinds.entry(kind.to_owned()).or_insert(KindBudget {
            millilines: LINES_AT_ONCE * 1_000,
            at_ms: now_ms,
            left_out: 0,
            told_ms: now_ms,
        });
        let gained = now_ms.saturating_sub(budget.at_ms) * LINES_PER_SECOND;
        budget.millilines = (budget.millilines + gained).min(LINES_AT_ONCE * 1_000);
        budget.at_ms = now_ms;
        if budget.millilines < 1_000 {
            budget.left_out += 1;
            return LineDecision::Suppress;
        }
        budget.millilines -= 1_000;
        match budget.left_out {
            left_out if left_out > 0 && now_ms >= budget.told_ms + TELL_INTERVAL_MS => {
                budget.left_out = 0;
                budget.told_ms = now_ms;
                LineDecision::WriteAfterSummary { left_out }
            }
            _ => LineDecision::Write,
        }
    }
}
