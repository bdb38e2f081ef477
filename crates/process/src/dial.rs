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
const SILENCE_LIMIT: Duration = Duration::from_secs(12);
/// Shortest pause between two attempts, in milliseconds; up to twice as long by chance.
const RETRY_PAUSE_MS: u64 = 150;

/// What happens on a dialed connection.
#[derive(Debug)]
pub enum Dialed {
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
    pub fn start(address: SocketAddr, mut handle: impl FnMut(Dialed) + Send + 'static) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                converse(address, &mut handle, &is_stopped);
                handle(Dialed::Disconnected);
                let pause = rand::rng().random_range(RETRY_PAUSE_MS..2 * RETRY_PAUSE_MS);
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

fn converse(address: SocketAddr, handle: &mut impl FnMut(Dialed), stopped: &AtomicBool) {
    let Ok((link, mut reader)) = Link::connect(address, CONNECT_TIMEOUT) else {
        return;
    };
    if reader.set_timeout(SILENCE_LIMIT).is_err() {
        return;
    }
    handle(Dialed::Connected(Outbox::start(link.clone())));
    while !stopped.load(Ordering::Relaxed) {
        match reader.receive() {
            Ok(Some(body)) => handle(Dialed::Received(body)),
            Ok(None) | Err(_) => break,
        }
    }
    link.close();
}
