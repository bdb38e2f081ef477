//! Sending to a peer without ever blocking the sender.

use passway_wire::link::MAX_FRAME_BYTES;
use passway_wire::{Body, Frame, Link};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Messages that may wait for a slow peer; small ones reach this bound first.
const CAPACITY: usize = 4_096;
/// Bytes that may wait for a slow peer before one more message: a largest frame on its way
/// and the next one behind it. Frames that go to many peers are kept once, however many wait.
pub const MAX_WAITING_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Bytes that wait in all outboxes of this process; a frame counts once for each peer.
static ALL_WAITING: AtomicUsize = AtomicUsize::new(0);

/// Bytes that wait in all outboxes of this process; a frame that waits for several peers
/// counts for each of them, though it is kept once.
pub fn waiting_bytes() -> usize {
    ALL_WAITING.load(Ordering::Relaxed)
}

/// A queue of messages, bounded in messages and in bytes.
///
/// What a peer takes at once is sent at once, by whoever sends it. Only while a peer takes less is there a thread, which
/// sends what waits and ends: an instance that speaks to a thousand others has none for each of them.
///
/// A peer that falls too far behind is cut off; it connects again and gets
/// everything anew.
#[derive(Debug, Clone)]
pub struct Outbox(Arc<Sending>);

#[derive(Debug)]
struct Sending {
    link: Link,
    waiting: Waiting,
    queue: Mutex<Queue>,
}

/// What waits for one peer.
#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// Bytes of the first of them that were sent.
    taken: usize,
    /// Whether a thread sends them.
    is_sending: bool,
    /// Whether the connection is of no use any more.
    is_broken: bool,
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.link.close();
    }
}

/// Bytes that wait for one peer; what is left of them is taken back when the last user is gone.
#[derive(Debug, Default)]
struct Waiting(AtomicUsize);

impl Waiting {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
        ALL_WAITING.fetch_add(bytes, Ordering::Relaxed);
    }

    fn sub(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
        ALL_WAITING.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        ALL_WAITING.fetch_sub(self.0.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

impl Outbox {
    /// Sends over a link.
    pub fn start(link: Link) -> Self {
        Self(Arc::new(Sending {
            link,
            waiting: Waiting::default(),
            queue: Mutex::default(),
        }))
    }

    /// Sends a message, or queues it.
    pub fn send(&self, body: Body) {
        match Frame::new(body) {
            Ok(frame) => self.send_frame(frame),
            Err(error) => {
                log::error!(error:% = error; "a message is too large to be sent");
                self.close();
            }
        }
    }

    /// Sends an encoded message, or queues it.
    pub fn send_frame(&self, frame: Frame) {
        let sending = &self.0;
        let mut queue = sending.queue();
        if queue.is_broken {
            return;
        }
        if queue.is_sending {
            if self.waiting_bytes() > MAX_WAITING_BYTES || queue.frames.len() >= CAPACITY {
                log::warn!(waiting_bytes = self.waiting_bytes(); "a peer takes too little and is cut off");
                return self.close();
            }
            sending.waiting.add(frame.bytes());
            queue.frames.push_back(frame);
            return;
        }
        match sending.link.send_at_once(&frame) {
            Ok(taken) if taken == frame.bytes() => return,
            Ok(taken) => {
                sending.waiting.add(frame.bytes());
                queue.frames.push_back(frame);
                queue.taken = taken;
                queue.is_sending = true;
            }
            Err(_) => {
                queue.is_broken = true;
                return;
            }
        }
        drop(queue);
        let rest = sending.clone();
        if let Err(error) = std::thread::Builder::new().spawn(move || rest.send_waiting()) {
            log::warn!(error:% = error; "no thread for what waits for a peer");
            sending.queue().is_broken = true;
            self.close();
        }
    }

    /// Bytes that wait for this peer, the message that is being written among them.
    pub fn waiting_bytes(&self) -> usize {
        self.0.waiting.0.load(Ordering::Relaxed)
    }

    /// Cuts the connection.
    pub fn close(&self) {
        self.0.link.close();
    }
}

impl Sending {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends until nothing waits or the connection breaks.
    fn send_waiting(&self) {
        loop {
            let mut queue = self.queue();
            let Some(frame) = queue.frames.front().cloned() else {
                queue.is_sending = false;
                return;
            };
            let taken = std::mem::take(&mut queue.taken);
            drop(queue);
            let sent = self.link.send_rest(&frame, taken);
            let mut queue = self.queue();
            queue.frames.pop_front();
            self.waiting.sub(frame.bytes());
            if sent.is_err() {
                queue.is_broken = true;
                queue.frames.clear();
                return;
            }
        }
    }
}
