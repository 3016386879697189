//! Structured, rate-limited log lines that are written to standard output without blocking.
//!
//! Every line has a time, a level, the number and name of its event, and the fields of the event.
//! The rate of lines of one kind is limited, and the number of suppressed lines is logged. A thread
//! writes the queued lines. If the reader of standard output is slow, lines are dropped and
//! requests are not delayed.

mod line_budget;
mod line_queue;
mod log_line;
mod start;

pub use line_budget::LineBudget;
pub use line_budget::LineDecision;
pub use line_queue::LineQueue;
pub use log_line::LineFormat;
pub use log_line::LogLine;
pub use start::start_logs;
