//! Structured log lines on standard output, bounded in number and never waited for.
//!
//! Every line has a time, a level, the number and name of its event, and the fields of the event. Lines
//! of one kind are bounded in rate, and those that were left out are counted and told. A thread writes
//! what is queued; when the reader of standard output is slow, lines are lost and requests are not.

mod line_queue;
mod log_line;
mod rate_limiter;
mod start;

pub use line_queue::LineQueue;
pub use log_line::LineFormat;
pub use log_line::LogLine;
pub use rate_limiter::LineDecision;
pub use rate_limiter::LineRateLimiter;
pub use start::start_logs;
