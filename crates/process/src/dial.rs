//! A connection to a peer that reconnects automatically.

use crate::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::{Body, Link};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The connection is closed if nothing is received for this time. Heartbeats are sent far more
/// often.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
/// Minimum backoff between two connection attempts. The actual backoff is random, up to twice
/// this time.
const MIN_BACKOFF_MS: u64 = 150;

/// An event of a [`Dialer`].
#[derive(Debug)]
pub enum DialEvent {
    /// The connection was established. Messages to the peer go through the outbox.
    Connected(Outbox),
    /// A message was received.
    Received(Body),
    /// The connection was closed or could not be established.
    Disconnected,
}

/// Keeps a connection to one address open until the dialer is dropped.
#[derive(Debug)]
pub struct Dialer {
    is_stopped: Arc<AtomicBool>,
}

impl Dialer {
    /// Starts connecting. `handle` is called on the dialer's own thread.
    pub fn start(address: SocketAddr, mut handle: impl FnMut(DialEvent) + Send + 'static) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop_requested = is_stopped.clone();
        std::thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                run_connection(address, &mut handle, &stop_requested);
                handle(DialEvent::Disconnected);
                let backoff_ms = rand::rng().random_range(MIN_BACKOFF_MS..2 * MIN_BACKOFF_MS);
                std::thread::sleep(Duration::from_millis(backoff_ms));
            }
        });
        Self { is_stopped }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn run_connection(
    address: SocketAddr,
    handle: &mut impl FnMut(DialEvent),
    is_stopped: &AtomicBool,
) {
    let Ok((link, mut reader)) = Link::connect(address, CONNECT_TIMEOUT) else {
        return;
    };
    if reader.set_timeout(READ_TIMEOUT).is_err() {
        return;
    }
    handle(DialEvent::Connected(Outbox::new(link.clone())));
    while !is_stopped.load(Ordering::Relaxed) {
        match reader.receive() {
            Ok(Some(body)) => handle(DialEvent::Received(body)),
            Ok(None) | Err(_) => break,
        }
    }
    link.close();
}
