//! The logger of a process.

use std::{
    io,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

use crate::{
    LineDecision,
    LineFormat,
    LineQueue,
    LineRateLimiter,
    LogLine, //
};

/// What lines that were lost before the thread count as.
const LOST_KIND: &str = "queue";

/// Starts the logger of this process: lines go to standard output. Returns their queue, to be drained
/// before the process ends.
///
/// # Errors
///
/// Returns an error when the process can't start a thread.
pub fn start_logs(format: LineFormat) -> io::Result<LineQueue> {
    let queue = LineQueue::start(io::stdout())?;
    let drained = queue.clone();
    let budget = Mutex::new(LineRateLimiter::default());
    let started = Instant::now();
    let filter = env_logger::Env::default().default_filter_or(roseridge_events::DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter)
        .format(move |buffer, record| {
            let line = LogLine::from_record(record);
            let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let mut judge = budget.lock().unwrap_or_else(PoisonError::into_inner);
            let verdict = judge.judge(line.kind(), now_ms);
            drop(judge);
            let time = buffer.timestamp_millis().to_string();
            let lost = queue.take_lost();
            if lost > 0 {
                queue.push(LogLine::from_suppressed_count(LOST_KIND, lost).text(&time, format));
            }
            match verdict {
                LineDecision::Suppress => return Ok(()),
                LineDecision::WriteAfterSummary { left_out } => {
                    let told = LogLine::from_suppressed_count(line.kind(), left_out);
                    queue.push(told.text(&time, format));
                }
                LineDecision::Write => {}
            }
            queue.push(line.text(&time, format));
            Ok(())
        })
        // Everything goes through the queue; what the library would write is empty.
        .target(env_logger::Target::Pipe(Box::new(io::sink())))
        .init();
    Ok(drained)
}
