//! The queue of lines that wait to be written. The queue is limited in lines and in bytes: a line
//! may be long, since it may contain names that callers choose.

use crossbeam::channel::{Receiver, RecvError, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of lines that wait to be written.
const MAX_LINES: usize = 2_048;
/// Maximum number of bytes that wait to be written: enough for [`MAX_LINES`] lines of 512 bytes.
/// The line about the end of a request is shorter.
const MAX_BYTES: usize = 1 << 20;

/// The sending half of the queue.
#[derive(Debug, Clone)]
pub struct LineSender {
    lines: Sender<String>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// The receiving half of the queue.
#[derive(Debug)]
pub struct LineReceiver {
    lines: Receiver<String>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// Creates an empty queue.
pub fn line_queue() -> (LineSender, LineReceiver) {
    let (sender, receiver) = bounded(MAX_LINES);
    let waiting_bytes = Arc::new(AtomicUsize::new(0));
    let sender = LineSender {
        lines: sender,
        waiting_bytes: waiting_bytes.clone(),
    };
    let receiver = LineReceiver {
        lines: receiver,
        waiting_bytes,
    };
    (sender, receiver)
}

impl LineSender {
    /// Queues a line without blocking. Returns false if the queue is full.
    pub fn send(&self, line: String) -> bool {
        let length = line.len();
        let waiting_bytes = self.waiting_bytes.fetch_add(length, Ordering::Relaxed);
        let is_queued = waiting_bytes + length <= MAX_BYTES && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.waiting_bytes.fetch_sub(length, Ordering::Relaxed);
        }
        is_queued
    }
}

impl LineReceiver {
    /// Subtracts a received line from the waiting bytes.
    fn release(&self, line: String) -> String {
        self.waiting_bytes.fetch_sub(line.len(), Ordering::Relaxed);
        line
    }

    /// Waits for a line.
    ///
    /// # Errors
    /// If all senders were dropped.
    pub fn receive(&self) -> Result<String, RecvError> {
        self.lines.recv().map(|line| self.release(line))
    }

    /// Takes the waiting lines, up to `MAX_BYTES`. The limit ends the iteration even if new lines
    /// are queued meanwhile.
    pub fn drain(&self) -> impl Iterator<Item = String> {
        let mut remaining_bytes = MAX_BYTES;
        std::iter::from_fn(move || {
            if remaining_bytes == 0 {
                return None;
            }
            let line = self.lines.try_recv().ok()?;
            remaining_bytes = remaining_bytes.saturating_sub(line.len());
            Some(self.release(line))
        })
    }
}
