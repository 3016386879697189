//! Captures the log lines of this test process.

use std::sync::{
    Mutex,
    Once,
    PoisonError, //
};

use log::{
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

struct CapturedLog(Mutex<Vec<String>>);

static CAPTURED: CapturedLog = CapturedLog(Mutex::new(Vec::new()));
static INSTALLED: Once = Once::new();

impl Log for CapturedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Starts capturing the log lines of this process, unless it has already started.
pub(crate) fn capture() {
    INSTALLED.call_once(|| {
        log::set_logger(&CAPTURED).expect("there is no other logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Returns whether a line was captured.
pub(crate) fn has_line(line: &str) -> bool {
    let lines = CAPTURED.0.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().any(|l| l == line)
}
