//! A connection to a peer that is made again whenever it breaks.

use crate::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::{Body, Link};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A peer that is silent for this long is given up; heartbeats come far more often.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
/// Shortest pause between two attempts, in milliseconds; up to twice as long by chance.
const MIN_RETRY_BACKOFF_MS: u64 = 150;

/// What happens on a dialed connection.
#[derive(Debug)]
pub enum DialEvent {
    /// The connection stands.
    Connected(Outbox),
    /// A message came.
    Received(Body),
    /// The connection broke, or could not be made.
    Disconnected,
}

/// Keeps a connection to one address until it is dropped.
#[derive(Debug)]
pub struct Dialer {
    stopped: Arc<AtomicBool>,
}

impl Dialer {
    /// Starts to connect; `handle` is called from the dialer's own thread.
    pub fn start(address: SocketAddr, mut handle: impl FnMut(DialEvent) + Send + 'static) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                run_connection(address, &mut handle, &is_stopped);
                handle(DialEvent::Disconnected);
                let pause =
                    rand::rng().random_range(MIN_RETRY_BACKOFF_MS..2 * MIN_RETRY_BACKOFF_MS);
                std::thread::sleep(Duration::from_millis(pause));
            }
        });
        Self { stopped }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn run_connection(address: SocketAddr, handle: &mut impl FnMut(DialEvent), stopped: &AtomicBool) {
    let Ok((link, mut reader)) = Link::connect(address, CONNECT_TIMEOUT) else {
        return;
    };
    if reader.set_timeout(READ_TIMEOUT).is_err() {
        return;
    }
    handle(DialEvent::Connected(Outbox::start(link.clone())));
    while !stopped.load(Ordering::Relaxed) {
        match reader.receive() {
            Ok(Some(body)) => handle(DialEvent::Received(body)),
            Ok(None) | Err(_) => break,
        }
    }
    link.close();
}
