//! Sending to a peer without ever blocking the sender.

use crossbeam::channel::{Sender, bounded};
use passway_wire::{Body, Link};
use std::sync::atomic::{AtomicU64, Ordering};

/// Messages that may wait for a slow peer.
const CAPACITY: usize = 4_096;

/// Messages that wait in all outboxes of this process.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Messages that wait in all outboxes of this process.
pub fn waiting_messages() -> u64 {
    WAITING.load(Ordering::Relaxed)
}

/// A bounded queue of messages with a thread that sends them.
///
/// A peer that falls too far behind is cut off; it connects again and gets
/// everything anew.
#[derive(Debug, Clone)]
pub struct Outbox {
    sender: Sender<Body>,
    link: Link,
}

impl Outbox {
    /// Starts the sending thread.
    pub fn start(link: Link) -> Self {
        let (sender, receiver) = bounded::<Body>(CAPACITY);
        let sending = link.clone();
        std::thread::spawn(move || {
            for body in &receiver {
                let sent = sending.send(body);
                WAITING.fetch_sub(1, Ordering::Relaxed);
                if sent.is_err() {
                    break;
                }
            }
            let left = receiver.try_iter().count();
            WAITING.fetch_sub(left as u64, Ordering::Relaxed);
            sending.close();
        });
        Self { sender, link }
    }

    /// Queues a message.
    pub fn send(&self, body: Body) {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(body).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            self.link.close();
        }
    }

    /// Cuts the connection.
    pub fn close(&self) {
        self.link.close();
    }
}
