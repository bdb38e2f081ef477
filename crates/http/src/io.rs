//! A non-blocking socket for `hyper`, and waiting until the socket is ready.

use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::Cell;
use std::io::{self, ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 8 << 10;

/// The socket events that a connection waits for.
#[derive(Debug, Default)]
pub(crate) struct Interest {
    read: Cell<bool>,
    write: Cell<bool>,
    /// Set whenever bytes were written. Distinguishes a peer that reads slowly from one that does
    /// not read at all.
    has_written: Cell<bool>,
}

impl Interest {
    pub(crate) fn clear(&self) {
        self.read.set(false);
        self.write.set(false);
    }

    pub(crate) fn take_has_written(&self) -> bool {
        self.has_written.replace(false)
    }

    pub(crate) fn is_write_blocked(&self) -> bool {
        self.write.get()
    }

    /// Blocks until the socket is ready or the timeout has expired.
    pub(crate) fn wait(&self, stream: &TcpStream, timeout: Duration) -> io::Result<()> {
        let mut flags = PollFlags::empty();
        if self.read.get() || !self.write.get() {
            flags |= PollFlags::IN;
        }
        if self.write.get() {
            flags |= PollFlags::OUT;
        }
        let timeout = Timespec::try_from(timeout).map_err(io::Error::other)?;
        match poll(&mut [PollFd::new(stream, flags)], Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

/// A non-blocking TCP socket that records what it waits for.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(crate) stream: Arc<TcpStream>,
    pub(crate) interest: Rc<Interest>,
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES];
        let max_bytes = buffer.remaining().min(READ_BYTES);
        match (&*self.stream).read(&mut chunk[..max_bytes]) {
            Ok(count) => {
                buffer.put_slice(&chunk[..count]);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.interest.read.set(true);
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match (&*self.stream).write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.interest.write.set(true);
                Poll::Pending
            }
            result => {
                self.interest.has_written.set(true);
                Poll::Ready(result)
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown(Shutdown::Write))
    }
}
