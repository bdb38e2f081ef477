//! Sending to a peer without ever blocking the sender.

use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_wire::link::MAX_FRAME_BYTES;
use passway_wire::{Body, Frame, Link};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Messages that may wait for a slow peer; small ones reach this bound first. The queue itself
/// has none, since one that has sets all its places aside: 165 kB a peer.
const MAX_WAITING_MESSAGES: usize = 4_096;
/// Bytes that may wait for a slow peer before one more message: a largest frame on its way
/// and the next one behind it. Frames that go to many peers are kept once, however many wait.
pub const MAX_WAITING_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Bytes that wait in all outboxes of this process; a frame counts once for each peer.
static TOTAL_WAITING_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Bytes that wait in all outboxes of this process; a frame that waits for several peers
/// counts for each of them, though it is kept once.
pub fn waiting_bytes() -> usize {
    TOTAL_WAITING_BYTES.load(Ordering::Relaxed)
}

/// A queue of messages with a thread that sends them, bounded in messages and in bytes.
///
/// A peer that falls too far behind is cut off; it connects again and gets
/// everything anew.
#[derive(Debug, Clone)]
pub struct Outbox {
    sender: Sender<Frame>,
    waiting: Arc<WaitingBytes>,
    link: Link,
}

/// Bytes that wait for one peer; what is left of them is taken back when the last user is gone.
#[derive(Debug, Default)]
struct WaitingBytes(AtomicUsize);

impl WaitingBytes {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
        TOTAL_WAITING_BYTES.fetch_add(bytes, Ordering::Relaxed);
    }

    fn sub(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
        TOTAL_WAITING_BYTES.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for WaitingBytes {
    fn drop(&mut self) {
        TOTAL_WAITING_BYTES.fetch_sub(self.0.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

impl Outbox {
    /// Starts the sending thread.
    pub fn start(link: Link) -> Self {
        let (sender, frames) = unbounded();
        let outbox = Self {
            sender,
            waiting: Arc::default(),
            link,
        };
        let (link, waiting) = (outbox.link.clone(), outbox.waiting.clone());
        std::thread::spawn(move || send_all(&link, &waiting, &frames));
        outbox
    }

    /// Queues a message.
    pub fn send(&self, body: Body) {
        match Frame::new(body) {
            Ok(frame) => self.send_frame(frame),
            Err(error) => {
                log::error!(error:% = error; "a message is too large to be sent");
                self.link.close();
            }
        }
    }

    /// Queues an encoded message.
    pub fn send_frame(&self, frame: Frame) {
        let bytes = frame.byte_len();
        if self.waiting_bytes() > MAX_WAITING_BYTES || self.sender.len() >= MAX_WAITING_MESSAGES {
            log::warn!(waiting_bytes = self.waiting_bytes(); "a peer takes too little and is cut off");
            return self.link.close();
        }
        self.waiting.add(bytes);
        if self.sender.send(frame).is_err() {
            self.waiting.sub(bytes);
            self.link.close();
        }
    }

    /// Bytes that wait for this peer, the message that is being written among them.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting.0.load(Ordering::Relaxed)
    }

    /// Cuts the connection.
    pub fn close(&self) {
        self.link.close();
    }
}

/// Sends until nobody queues any more or the connection breaks.
fn send_all(link: &Link, waiting: &WaitingBytes, frames: &Receiver<Frame>) {
    for frame in frames {
        let sent = link.send_frame(&frame);
        waiting.sub(frame.byte_len());
        if sent.is_err() {
            return;
        }
    }
    link.close();
}
