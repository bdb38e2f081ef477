//! Signals that end threads' waits at a stop.
//!
//! A thread that waits for a connection blocks in the kernel, possibly for as long as a route
//! allows. A stop must wake it while there is still time to answer. A [`StopSignal`] is a file
//! descriptor that becomes readable once it is set and stays readable. Every wait on behalf of a
//! caller polls it as well. There are two signals: one for requests that can still get an answer,
//! and a later one for streams in progress, which can only be cut. The termination of the instance
//! ends all waits, and writes as well.

use crate::termination::Termination;
use rustix::event::{EventfdFlags, eventfd};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// An event that is set once and never reset.
#[derive(Debug)]
pub struct StopSignal(OwnedFd);

impl StopSignal {
    /// A signal that is not set.
    ///
    /// # Errors
    /// If the process has no file descriptor left.
    pub fn new() -> io::Result<Self> {
        let flags = EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK;
        Ok(Self(eventfd(0, flags)?))
    }

    /// Ends all current and future waits for this signal.
    pub fn set(&self) {
        if let Err(error) = rustix::io::write(&self.0, &1_u64.to_ne_bytes()) {
            log::warn!(error:% = error; "cannot wake waiting requests at the stop");
        }
    }
}

/// The two signals of a stop, and the termination.
#[derive(Debug)]
pub struct StopSignals {
    /// Ends waits for answers whose first byte has not been sent to the caller.
    pub answers: StopSignal,
    /// Ends streams.
    pub streams: StopSignal,
    /// The end of the instance.
    pub termination: Termination,
}

impl StopSignals {
    /// Signals that are not set.
    ///
    /// # Errors
    /// If the process has no file descriptor left.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            answers: StopSignal::new()?,
            streams: StopSignal::new()?,
            termination: Termination::new()?,
        })
    }

    /// Begins the termination, which ends all waits.
    pub fn terminate(&self) {
        self.termination.begin();
        self.answers.set();
        self.streams.set();
    }
}

impl AsFd for StopSignal {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
