//! The end of an instance, which ends all of its threads.
//!
//! Dropping an [`Instance`](crate::Instance) acts as a kill of its process does: connections close,
//! nothing more is written or answered, and leadership is not released. Threads are notified in the
//! way in which they wait: a channel that disconnects, a file descriptor that becomes readable, or
//! a link that closes. Threads that wait for a condition variable are notified by
//! [`Shared::terminate`](crate::shared::Shared::terminate). A call to the store or to an engine that
//! is under way is not interrupted; the thread ends after it.

use crate::stop_signal::StopSignal;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Link;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Backoff after a failed accept or poll.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The end of an instance: begins once, and is never undone.
#[derive(Debug)]
pub struct Termination {
    has_begun: AtomicBool,
    /// Dropped when the termination begins, which disconnects `begun`.
    keep_connected: Mutex<Option<Sender<Infallible>>>,
    begun: Receiver<Infallible>,
    signal: StopSignal,
    links: Mutex<OpenLinks>,
}

/// Links that close when the termination begins.
#[derive(Debug, Default)]
struct OpenLinks {
    by_number: HashMap<u64, Link>,
    next_number: u64,
}

/// Closes a link when the termination begins, until dropped.
#[derive(Debug)]
pub struct ClosedAtEnd<'a> {
    termination: &'a Termination,
    number: u64,
}

impl Drop for ClosedAtEnd<'_> {
    fn drop(&mut self) {
        self.termination.links().by_number.remove(&self.number);
    }
}

impl Termination {
    /// A termination that has not begun.
    ///
    /// # Errors
    /// If the process has no file descriptor left.
    pub fn new() -> io::Result<Self> {
        let (sender, begun) = bounded(0);
        Ok(Self {
            has_begun: AtomicBool::new(false),
            keep_connected: Mutex::new(Some(sender)),
            begun,
            signal: StopSignal::new()?,
            links: Mutex::default(),
        })
    }

    /// Whether the instance has ended, so that its threads must end.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Acquire)
    }

    /// Ends all current and future waits for the termination, and closes the links.
    pub fn begin(&self) {
        self.has_begun.store(true, Ordering::Release);
        let sender = self.keep_connected.lock();
        drop(sender.unwrap_or_else(PoisonError::into_inner).take());
        self.signal.set();
        for (_, link) in self.links().by_number.drain() {
            link.close();
        }
    }

    /// Disconnects when the termination begins; for `select!`.
    pub fn begun(&self) -> &Receiver<Infallible> {
        &self.begun
    }

    /// Becomes readable when the termination begins.
    pub fn signal(&self) -> &StopSignal {
        &self.signal
    }

    fn links(&self) -> MutexGuard<'_, OpenLinks> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes a link when the termination begins, unless the guard is dropped before.
    #[must_use = "the link stays open at the end once the guard is dropped"]
    pub fn close_at_end(&self, link: &Link) -> ClosedAtEnd<'_> {
        let mut links = self.links();
        let number = links.next_number;
        links.next_number += 1;
        links.by_number.insert(number, link.clone());
        drop(links);
        // The termination may have closed the other links before.
        if self.has_begun() {
            link.close();
        }
        ClosedAtEnd {
            termination: self,
            number,
        }
    }

    /// Waits for `duration`. Returns false as soon as the termination begins.
    #[must_use = "the thread must end when this returns false"]
    pub fn pause(&self, duration: Duration) -> bool {
        if self.has_begun() {
            return false;
        }
        self.begun.recv_timeout(duration) != Err(RecvTimeoutError::Disconnected)
    }

    /// Receives a message; `None` once the termination begins or the channel is disconnected.
    pub fn receive<T>(&self, receiver: &Receiver<T>) -> Option<T> {
        if self.has_begun() {
            return None;
        }
        crossbeam::select! {
            recv(receiver) -> message => message.ok(),
            recv(self.begun) -> _ => None,
        }
    }

    /// Receives a message within `timeout`.
    ///
    /// # Errors
    /// If there is none in time. The channel counts as disconnected once the termination begins.
    pub fn receive_timeout<T>(
        &self,
        receiver: &Receiver<T>,
        timeout: Duration,
    ) -> Result<T, RecvTimeoutError> {
        if self.has_begun() {
            return Err(RecvTimeoutError::Disconnected);
        }
        crossbeam::select! {
            recv(receiver) -> message => message.map_err(|_| RecvTimeoutError::Disconnected),
            recv(self.begun) -> _ => Err(RecvTimeoutError::Disconnected),
            default(timeout) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Waits until a socket has something to read, at most until `until`. Returns whether it has.
    pub fn wait_for_input(&self, socket: impl AsFd, until: Option<Instant>) -> bool {
        let timeout = until.map(|at| at.saturating_duration_since(clock::now()));
        let timeout = timeout.and_then(|timeout| Timespec::try_from(timeout).ok());
        let mut polled = [
            PollFd::new(&socket, PollFlags::IN),
            PollFd::new(&self.signal, PollFlags::IN),
        ];
        match poll(&mut polled, timeout.as_ref()) {
            Ok(_) => !polled[0].revents().is_empty(),
            Err(rustix::io::Errno::INTR) => false,
            Err(error) => {
                log::warn!(error:% = error; "cannot poll for input");
                std::thread::sleep(ACCEPT_BACKOFF);
                false
            }
        }
    }

    /// Accepts connections until the termination begins.
    pub fn accept_until(&self, listener: &TcpListener, mut handle: impl FnMut(TcpStream)) {
        while !self.has_begun() {
            match listener.accept() {
                Ok((stream, _)) => handle(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.wait_for_input(listener, None);
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept a connection");
                    std::thread::sleep(ACCEPT_BACKOFF);
                }
            }
        }
    }
}
