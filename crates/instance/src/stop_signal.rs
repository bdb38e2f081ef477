//! The moment at which a stop ends what callers still wait for.
//!
//! A thread that waits for a connection is in the kernel, perhaps for as long as a route
//! allows. A stop must wake it while there is still time to answer. The [`Ending`] is a
//! descriptor that becomes readable at that moment and stays so; whoever waits on a
//! caller's behalf waits for it as well. There are two such moments: one for what can still
//! get an answer, and a later one for streams that have begun, which can only be cut.

use rustix::event::{EventfdFlags, eventfd};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// Set once, and never taken back.
#[derive(Debug)]
pub struct StopSignal(OwnedFd);

impl StopSignal {
    /// Not set yet.
    ///
    /// # Errors
    /// If the process has no descriptor left.
    pub fn new() -> io::Result<Self> {
        let flags = EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK;
        Ok(Self(eventfd(0, flags)?))
    }

    /// Wakes all that wait for it, now and later.
    pub fn set(&self) {
        if let Err(error) = rustix::io::write(&self.0, &1_u64.to_ne_bytes()) {
            log::warn!(error:% = error; "cannot wake waiting requests at the stop");
        }
    }
}

/// Both moments of a stop.
#[derive(Debug)]
pub struct StopSignals {
    /// Ends waits for answers of which nothing has gone out.
    pub answers: StopSignal,
    /// Ends streams.
    pub streams: StopSignal,
}

impl StopSignals {
    /// Neither is set yet.
    ///
    /// # Errors
    /// If the process has no descriptors left.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            answers: StopSignal::new()?,
            streams: StopSignal::new()?,
        })
    }
}

impl AsFd for StopSignal {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
