//! Sending to a peer without blocking the sender.

mod sender;

use passway_wire::link::MAX_FRAME_BYTES;
use passway_wire::{Body, Frame, Link};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of messages that wait for a slow peer; small messages reach this limit before
/// [`MAX_WAITING_BYTES`].
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

/// A queue of messages to one peer.
///
/// What the peer's socket takes without waiting is sent by the caller. One thread of the process
/// sends the rest for all outboxes, so an instance that is connected to a thousand others does not
/// need a thread for each of them.
///
/// The queue is limited in messages and in bytes. If a peer is too slow, the connection to it is
/// closed; after the peer has reconnected, it receives the complete state again.
#[derive(Debug, Clone)]
pub struct Outbox(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    link: Link,
    waiting: WaitingBytes,
    queue: Mutex<Queue>,
}

/// Frames that wait for one peer.
#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// Bytes of the first frame that are sent already.
    sent_bytes: usize,
    /// Whether the sending thread has this outbox.
    has_sender: bool,
    /// Whether the connection has failed.
    is_broken: bool,
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

impl Drop for Shared {
    fn drop(&mut self) {
        self.link.close();
    }
}

impl Outbox {
    /// Creates an outbox for the peer of a link.
    pub fn new(link: Link) -> Self {
        Self(Arc::new(Shared {
            link,
            waiting: WaitingBytes::default(),
            queue: Mutex::default(),
        }))
    }

    /// Encodes and sends or queues a message, or closes the connection if the queue is full.
    pub fn send(&self, body: Body) {
        match Frame::new(body) {
            Ok(frame) => self.send_frame(frame),
            Err(error) => {
                log::error!(error:% = error; "message is too large; closing the connection");
                self.close();
            }
        }
    }

    /// Sends or queues an encoded message, or closes the connection if the queue is full.
    pub fn send_frame(&self, frame: Frame) {
        let mut queue = self.0.lock_queue();
        if queue.is_broken {
            return;
        }
        if queue.has_sender {
            if self.waiting_bytes() > MAX_WAITING_BYTES
                || queue.frames.len() >= MAX_WAITING_MESSAGES
            {
                log::warn!(waiting_bytes = self.waiting_bytes(); "closing the connection to a peer that reads too slowly");
                return self.close();
            }
            self.0.waiting.add(frame.byte_len());
            queue.frames.push_back(frame);
            return;
        }
        match self.0.link.send_without_waiting(&frame, 0) {
            Ok(sent_bytes) if sent_bytes == frame.byte_len() => {}
            Ok(sent_bytes) => {
                self.0.waiting.add(frame.byte_len());
                queue.frames.push_back(frame);
                queue.sent_bytes = sent_bytes;
                queue.has_sender = true;
                drop(queue);
                sender::add(self.0.clone());
            }
            // The link is closed; its reader notices.
            Err(_) => queue.is_broken = true,
        }
    }

    /// Number of bytes that wait for this peer, including the message that is being written.
    pub fn waiting_bytes(&self) -> usize {
        self.0.waiting.0.load(Ordering::Relaxed)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.0.link.close();
    }
}

impl Shared {
    fn lock_queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends what the socket takes without waiting.
    fn send_queued(&self) -> Progress {
        let mut queue = self.lock_queue();
        let mut has_sent = false;
        while let Some(frame) = queue.frames.front().cloned() {
            let Ok(sent_bytes) = self.link.send_without_waiting(&frame, queue.sent_bytes) else {
                self.drop_queued(&mut queue);
                return Progress::Ended;
            };
            has_sent |= sent_bytes > 0;
            queue.sent_bytes += sent_bytes;
            if queue.sent_bytes < frame.byte_len() {
                return if has_sent {
                    Progress::Some
                } else {
                    Progress::None
                };
            }
            queue.frames.pop_front();
            queue.sent_bytes = 0;
            self.waiting.subtract(frame.byte_len());
        }
        queue.has_sender = false;
        Progress::Ended
    }

    /// Closes the connection to a peer that took nothing for too long.
    fn give_up(&self) {
        log::warn!(waiting_bytes = self.waiting.0.load(Ordering::Relaxed); "closing the connection to a peer that takes nothing");
        self.link.close();
        self.drop_queued(&mut self.lock_queue());
    }

    /// Discards the queued frames of a connection that has failed.
    fn drop_queued(&self, queue: &mut Queue) {
        queue.is_broken = true;
        let unsent = std::mem::take(&mut queue.frames);
        self.waiting
            .subtract(unsent.iter().map(Frame::byte_len).sum());
    }
}

/// Result of an attempt to send queued frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The socket took nothing.
    None,
    /// The socket took a part.
    Some,
    /// Nothing is left to send.
    Ended,
}
