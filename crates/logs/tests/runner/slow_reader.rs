//! Guards against a process that blocks because the reader of its standard output is slow or has
//! exited. Lines may be dropped in that case, but they have to be counted.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex, //
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

/// An output that blocks until it is released, and records the text written to it.
struct BlockedOutput {
    release: Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            // The end of the test drops the sender, which also releases the output.
            let _ = self.release.recv();
            self.is_released = true;
        }
        let text = String::from_utf8_lossy(bytes);
        self.written.lock().expect("the text").push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader has exited.
struct BrokenOutput;

impl Write for BrokenOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

/// More lines than the queue can hold.
const LINES: u64 = 10_000;
/// The time limit for a single push. It is shorter than a response to a caller may take.
const PUSH_LIMIT: Duration = Duration::from_millis(500);
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn push_does_not_block_on_a_stalled_reader_and_counts_dropped_lines() {
    let (unblock, release) = channel();
    let written = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput {
        release,
        is_released: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output).expect("a queue");
    let mut slowest = Duration::ZERO;
    for number in 0..LINES {
        let push_start = Instant::now();
        queue.push(format!("line {number}\n"));
        slowest = slowest.max(push_start.elapsed());
    }
    assert!(slowest < PUSH_LIMIT, "{slowest:?}");
    assert!(!queue.drain(Duration::from_millis(20)));
    let dropped = queue.take_dropped();
    assert!(dropped > 0 && dropped < LINES);
    unblock.send(()).expect("the writer");
    assert!(queue.drain(DRAIN_LIMIT));
    let text = written.lock().expect("the text").clone();
    assert_eq!(text.lines().count() as u64 + dropped, LINES);
    // The oldest lines are kept, in order.
    assert!(text.starts_with("line 0\nline 1\n"));
    assert_eq!(queue.take_dropped(), 0);
}

#[test]
fn push_and_drain_do_not_block_after_the_reader_exits() {
    let queue = LineQueue::start(BrokenOutput).expect("a queue");
    for number in 0..100 {
        queue.push(format!("line {number}\n"));
    }
    assert!(queue.drain(DRAIN_LIMIT));
}
