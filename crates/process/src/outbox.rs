//! Sending to a peer without ever blocking the sender.

use crossbeam::channel::{Sender, bounded};
use passway_wire::{Body, Link};

/// Messages that may wait for a slow peer.
const CAPACITY: usize = 4_096;

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
            for body in receiver {
                if sending.send(body).is_err() {
                    return;
                }
            }
            sending.close();
        });
        Self { sender, link }
    }

    /// Queues a message.
    pub fn send(&self, body: Body) {
        if self.sender.try_send(body).is_err() {
            self.link.close();
        }
    }

    /// Cuts the connection.
    pub fn close(&self) {
        self.link.close();
    }
}
