//! A connection to a peer that reconnects automatically.

use crate::outbox::Outbox;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use passway_types::prelude::*;
use passway_wire::{Body, Link};
use rand::RngExt;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

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

/// Keeps a connection to one address open until the dialer is dropped, which closes it.
#[derive(Debug)]
pub struct Dialer {
    current: Arc<Mutex<Current>>,
    /// Dropped with the dialer, which ends a backoff.
    _keep_connected: Sender<Infallible>,
}

/// The present connection of a dialer.
#[derive(Debug, Default)]
struct Current {
    link: Option<Link>,
    is_stopped: bool,
}

fn lock(current: &Mutex<Current>) -> MutexGuard<'_, Current> {
    current.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Dialer {
    /// Starts connecting. `handle` is called on the dialer's own thread.
    pub fn start(address: SocketAddr, mut handle: impl FnMut(DialEvent) + Send + 'static) -> Self {
        let current = Arc::new(Mutex::new(Current::default()));
        let (sender, stopped) = bounded(0);
        let thread_current = current.clone();
        std::thread::spawn(move || {
            loop {
                run_connection(address, &mut handle, &thread_current);
                handle(DialEvent::Disconnected);
                if !back_off(&stopped) {
                    return;
                }
            }
        });
        Self {
            current,
            _keep_connected: sender,
        }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        let mut current = lock(&self.current);
        current.is_stopped = true;
        if let Some(link) = current.link.take() {
            link.close();
        }
    }
}

/// Waits before the next attempt. Returns false once the dialer is dropped.
fn back_off(stopped: &Receiver<Infallible>) -> bool {
    let backoff_ms = rand::rng().random_range(MIN_BACKOFF_MS..2 * MIN_BACKOFF_MS);
    let backoff = Duration::from_millis(backoff_ms);
    stopped.recv_timeout(backoff) != Err(RecvTimeoutError::Disconnected)
}

fn run_connection(
    address: SocketAddr,
    handle: &mut impl FnMut(DialEvent),
    current: &Mutex<Current>,
) {
    let Ok((link, mut reader)) = Link::connect(address, CONNECT_TIMEOUT) else {
        return;
    };
    if reader.set_timeout(READ_TIMEOUT).is_err() {
        return;
    }
    {
        let mut current = lock(current);
        if current.is_stopped {
            return;
        }
        current.link = Some(link.clone());
    }
    handle(DialEvent::Connected(Outbox::new(link.clone())));
    while !lock(current).is_stopped {
        match reader.receive() {
            Ok(Some(body)) => handle(DialEvent::Received(body)),
            Ok(None) | Err(_) => break,
        }
    }
    lock(current).link = None;
    link.close();
}
