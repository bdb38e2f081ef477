//! Sending to a peer without blocking the sender.

use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_wire::link::MAX_FRAME_BYTES;
use passway_wire::{Body, Frame, Link};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of messages that wait for a slow peer; small messages reach this limit before
/// [`MAX_WAITING_BYTES`]. The channel itself is unbounded, since a bounded channel allocates all
/// its slots in advance: 165 kB per peer.
const MAX_WAITING_MESSAGES: usize = 4_096;
/// Maximum number of bytes that wait for a slow peer before another message is queued: one frame of
/// maximum size that is being sent, and the next one. A frame that waits for many peers is stored
/// only once.
pub const MAX_WAITING_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Total bytes that wait in all outboxes of this process; a frame counts once for each peer.
static TOTAL_WAITING_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Total bytes that wait in all outboxes of this process. A frame that waits for several peers
/// counts once for each of them, although it is stored only once.
pub fn waiting_bytes() -> usize {
    TOTAL_WAITING_BYTES.load(Ordering::Relaxed)
}

/// A queue of messages to one peer, with a thread that sends them.
///
/// The queue is limited in messages and in bytes. If a peer is too slow, the connection to it is
/// closed; after the peer has reconnected, it receives the complete state again.
#[derive(Debug, Clone)]
pub struct Outbox {
    sender: Sender<Frame>,
    waiting: Arc<WaitingBytes>,
    link: Link,
}

/// Number of bytes that wait for one peer. Dropping it subtracts the remaining bytes from
/// [`TOTAL_WAITING_BYTES`].
#[derive(Debug, Default)]
struct WaitingBytes(AtomicUsize);

impl WaitingBytes {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
        TOTAL_WAITING_BYTES.fetch_add(bytes, Ordering::Relaxed);
    }

    fn subtract(&self, bytes: usize) {
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
        let (sender, receiver) = unbounded();
        let outbox = Self {
            sender,
            waiting: Arc::default(),
            link,
        };
        let (link, waiting) = (outbox.link.clone(), outbox.waiting.clone());
        std::thread::spawn(move || send_all(&link, &waiting, &receiver));
        outbox
    }

    /// Encodes and queues a message, or closes the connection if the queue is full.
    pub fn send(&self, body: Body) {
        match Frame::new(body) {
            Ok(frame) => self.send_frame(frame),
            Err(error) => {
                log::error!(error:% = error; "message is too large; closing the connection");
                self.link.close();
            }
        }
    }

    /// Queues an encoded message, or closes the connection if the queue is full.
    pub fn send_frame(&self, frame: Frame) {
        let bytes = frame.byte_len();
        if self.waiting_bytes() > MAX_WAITING_BYTES || self.sender.len() >= MAX_WAITING_MESSAGES {
            log::warn!(waiting_bytes = self.waiting_bytes(); "closing the connection to a peer that reads too slowly");
            return self.link.close();
        }
        self.waiting.add(bytes);
        if self.sender.send(frame).is_err() {
            self.waiting.subtract(bytes);
            self.link.close();
        }
    }

    /// Number of bytes that wait for this peer, including the message that is being written.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting.0.load(Ordering::Relaxed)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.link.close();
    }
}

/// Sends frames until the outbox is dropped or the connection is closed.
fn send_all(link: &Link, waiting: &WaitingBytes, frames: &Receiver<Frame>) {
    for frame in frames {
        let result = link.send_frame(&frame);
        waiting.subtract(frame.byte_len());
        if result.is_err() {
            return;
        }
    }
    link.close();
}
