//! The start of a process's logger.

use std::{
    io,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

use crate::{
    LineBudget,
    LineDecision,
    LineFormat,
    LineQueue,
    LogLine, //
};

/// The kind that summaries name for lines that were dropped because the queue was full.
const DROPPED_KIND: &str = "queue";

/// Starts the logger of this process, which writes to standard output. Returns the queue of lines,
/// which has to be drained before the process exits.
///
/// # Errors
///
/// Returns an error if the process can't start a thread.
///
/// # Panics
///
/// Panics if the process has a logger already.
pub fn start_logs(format: LineFormat) -> io::Result<LineQueue> {
    let queue = LineQueue::start(io::stdout())?;
    let returned_queue = queue.clone();
    let budget = Mutex::new(LineBudget::default());
    let started = Instant::now();
    let filter = env_logger::Env::default().default_filter_or(roseridge_events::DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter)
        .format(move |buffer, record| {
            let line = LogLine::from_record(record);
            let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let mut line_budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
            let decision = line_budget.check(line.kind(), now_ms);
            drop(line_budget);
            let time = buffer.timestamp_millis().to_string();
            let dropped = queue.take_dropped();
            if dropped > 0 {
                queue.push(
                    LogLine::from_suppressed_count(DROPPED_KIND, dropped).text(&time, format),
                );
            }
            match decision {
                LineDecision::Suppress => return Ok(()),
                LineDecision::WriteAfterSummary { suppressed } => {
                    let summary = LogLine::from_suppressed_count(line.kind(), suppressed);
                    queue.push(summary.text(&time, format));
                }
                LineDecision::Write => {}
            }
            queue.push(line.text(&time, format));
            Ok(())
        })
        // The format function writes to the queue and leaves the library's own buffer empty.
        .target(env_logger::Target::Pipe(Box::new(io::sink())))
        .init();
    Ok(returned_queue)
}
