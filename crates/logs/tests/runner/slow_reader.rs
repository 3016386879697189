//! A reader of standard output that is slow, or gone, costs lines and nothing else.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc, Mutex,
        mpsc::{
            Receiver,
            channel, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_logs::LineQueue;

/// Blocks until it is let go, and keeps what was written.
struct HeldOutput {
    gate: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<String>>,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            // The end of the test lets go, too.
            let _ = self.gate.recv();
            self.is_open = true;
        }
        let text = String::from_utf8_lossy(bytes);
        self.written.lock().expect("the text").push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader has gone.
struct BrokenOutput;

impl Write for BrokenOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

/// More lines than the queue holds.
const LINES: u64 = 10_000;
/// No single push may take as long as one answer to a caller.
const PUSH_LIMIT: Duration = Duration::from_millis(500);
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn reader_that_stands_still_holds_nobody_up_and_lost_lines_are_counted() {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(String::new()));
    let output = HeldOutput {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output).expect("a queue");
    let mut slowest = Duration::ZERO;
    for number in 0..LINES {
        let pushed = Instant::now();
        queue.push(format!("line {number}\n"));
        slowest = slowest.max(pushed.elapsed());
    }
    assert!(slowest < PUSH_LIMIT, "{slowest:?}");
    assert!(!queue.drain(Duration::from_millis(20)));
    let lost = queue.take_lost();
    assert!(lost > 0 && lost < LINES);
    open.send(()).expect("the writer");
    assert!(queue.drain(DRAIN_LIMIT));
    let text = written.lock().expect("the text").clone();
    assert_eq!(text.lines().count() as u64 + lost, LINES);
    // What is left is the oldest, in order.
    assert!(text.starts_with("line 0\nline 1\n"));
    assert_eq!(queue.take_lost(), 0);
}

#[test]
fn reader_that_has_gone_holds_nobody_up() {
    let queue = LineQueue::start(BrokenOutput).expect("a queue");
    for number in 0..100 {
        queue.push(format!("line {number}\n"));
    }
    assert!(queue.drain(DRAIN_LIMIT));
}
