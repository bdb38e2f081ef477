//! The queue of lines on their way to the output, bounded in lines and in bytes: names in a
//! line come from callers, so lines may be long.

use crossbeam::channel::{Receiver, RecvError, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Lines that wait to be written.
const MAX_LINES: usize = 2_048;
/// Bytes that wait to be written: as many lines of 512 bytes, which is more than the line about
/// a request's end has.
const MAX_BYTES: usize = 1 << 20;

/// The end that takes lines.
#[derive(Debug, Clone)]
pub struct LineSender {
    lines: Sender<String>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// The end that gives them.
#[derive(Debug)]
pub struct LineReceiver {
    lines: Receiver<String>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// An empty queue.
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
    /// Queues a line without waiting; false if there is no room for it.
    pub fn send(&self, line: String) -> bool {
        let length = line.len();
        let waiting = self.waiting_bytes.fetch_add(length, Ordering::Relaxed);
        let is_queued = waiting + length <= MAX_BYTES && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.waiting_bytes.fetch_sub(length, Ordering::Relaxed);
        }
        is_queued
    }
}

impl LineReceiver {
    fn release(&self, line: String) -> String {
        self.waiting_bytes.fetch_sub(line.len(), Ordering::Relaxed);
        line
    }

    /// Waits for a line.
    ///
    /// # Errors
    /// If nobody can queue one any more.
    pub fn receive(&self) -> Result<String, RecvError> {
        self.lines.recv().map(|line| self.release(line))
    }

    /// The lines that wait, at most as many bytes of them as may wait at one time: others come
    /// in while these are taken.
    pub fn drain(&self) -> impl Iterator<Item = String> {
        let mut left = MAX_BYTES;
        std::iter::from_fn(move || {
            if left == 0 {
                return None;
            }
            let line = self.lines.try_recv().ok()?;
            left = left.saturating_sub(line.len());
            Some(self.release(line))
        })
    }
}
