//! The queue between those who log and the thread that writes.

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

/// The lines that may wait for the reader of standard output.
const QUEUED_LINES: usize = 2_048;

/// The time between two looks at whether all lines are written.
const DRAIN_PAUSE: Duration = Duration::from_millis(2);

/// Takes lines without waiting; a thread writes them.
#[derive(Debug, Clone)]
pub struct LineQueue {
    lines: SyncSender<String>,
    lost: Arc<AtomicU64>,
    /// The lines that the thread has not written yet.
    unwritten: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes lines to an output.
    ///
    /// # Errors
    ///
    /// Returns an error when the process can't start a thread.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let unwritten = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&unwritten);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&queue, output, &counted))?;
        Ok(Self {
            lines,
            lost,
            unwritten,
        })
    }

    /// Queues a line; one for which there is no room is lost and counted.
    pub fn push(&self, line: String) {
        self.unwritten.fetch_add(1, Ordering::Release);
        if self.lines.try_send(line).is_err() {
            self.unwritten.fetch_sub(1, Ordering::Release);
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until every queued line is written, or until the limit; returns whether all are.
    pub fn drain(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            match self.unwritten.load(Ordering::Acquire) {
                0 => return true,
                _ if Instant::now() >= until => return false,
                _ => thread::sleep(DRAIN_PAUSE),
            }
        }
    }

    /// Returns how many lines were lost since the last call.
    pub fn take_lost(&self) -> u64 {
        self.lost.swap(0, Ordering::Relaxed)
    }
}

fn write_lines(queue: &Receiver<String>, mut output: impl Write, unwritten: &AtomicU64) {
    while let Ok(line) = queue.recv() {
        // Nothing is left to tell it to when the output is gone.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
        unwritten.fetch_sub(1, Ordering::Release);
    }
}
