//! The queue between the code that logs and the thread that writes.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2_048;

/// The time between two checks of whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Accepts lines without blocking, and writes them on a thread.
#[derive(Debug, Clone)]
pub struct LineQueue {
    lines: SyncSender<String>,
    /// The number of dropped lines since the last call of [`take_dropped`](Self::take_dropped).
    dropped: Arc<AtomicU64>,
    /// The number of lines that the thread has not written yet.
    unwritten: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes lines to an output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't start a thread.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unwritten = Arc::new(AtomicU64::new(0));
        let unwritten_count = Arc::clone(&unwritten);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&queue, output, &unwritten_count))?;
        Ok(Self {
            lines,
            dropped,
            unwritten,
        })
    }

    /// Queues a line. If the queue is full, the line is dropped and counted.
    pub fn push(&self, line: String) {
        self.unwritten.fetch_add(1, Ordering::Release);
        if self.lines.try_send(line).is_err() {
            self.unwritten.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, at most for the limit, and returns whether they
    /// are.
    pub fn drain(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            match self.unwritten.load(Ordering::Acquire) {
                0 => return true,
                _ if Instant::now() >= deadline => return false,
                _ => thread::sleep(DRAIN_POLL_INTERVAL),
            }
        }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Writes queued lines until all senders are gone.
fn write_lines(queue: &Receiver<String>, mut output: impl Write, unwritten: &AtomicU64) {
    while let Ok(line) = queue.recv() {
        // An error of the log output can't be logged anywhere else.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
        unwritten.fetch_sub(1, Ordering::Release);
    }
}
