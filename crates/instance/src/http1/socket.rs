//! The connection: a non-blocking socket with its buffer, and waiting for it.
//!
//! Whoever waits for one connection may watch a second one, so that work for a
//! caller ends when the caller has left.

use super::HttpError;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bytes read at one time.
const READ_BYTES: usize = 16 << 10;
/// Unacknowledged bytes end a caller's connection after this time.
const USER_TIMEOUT_MS: u32 = 4_000;
/// The same towards an upstream: less than the 2 s after which nothing new may reach
/// one that leaves, and enough for three lost segments in a row.
const UPSTREAM_TIMEOUT_MS: u32 = 1_500;

/// What one read gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Filled {
    /// Bytes.
    Bytes,
    /// Nothing yet.
    Nothing,
    /// The other end closed.
    End,
}

/// A connection with what was read of it and not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    used: usize,
    ended: bool,
}

impl Connection {
    /// Takes a connected socket.
    ///
    /// # Errors
    /// The socket's error.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            used: 0,
            ended: false,
        })
    }

    /// Connects to an upstream.
    ///
    /// # Errors
    /// The socket's error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connection = Self::new(TcpStream::connect_timeout(&address, timeout)?)?;
        let stream = &connection.stream;
        rustix::net::sockopt::set_tcp_user_timeout(stream, UPSTREAM_TIMEOUT_MS)?;
        // Closing takes back what has not arrived: a request that was given up must
        // not reach an upstream seconds later.
        rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
        Ok(connection)
    }

    /// Bytes that were read and not used.
    pub fn unused(&self) -> &[u8] {
        &self.buffer[self.used..]
    }

    /// Marks bytes as used.
    pub fn advance(&mut self, count: usize) {
        self.used += count;
        if self.used == self.buffer.len() {
            self.buffer.clear();
            self.used = 0;
        }
    }

    /// Reads once without blocking.
    ///
    /// # Errors
    /// The socket's error.
    pub fn fill(&mut self) -> io::Result<Filled> {
        if self.ended {
            return Ok(Filled::End);
        }
        if self.used > 0 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[start..]);
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        if self.buffer.is_empty() {
            // A connection at rest keeps no buffer: of 3,900 it would take 64 MB.
            self.buffer = Vec::new();
        }
        match read {
            Ok(0) => {
                self.ended = true;
                Ok(Filled::End)
            }
            Ok(_) => Ok(Filled::Bytes),
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(Filled::Nothing)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether nothing has come and the other end still stands: the connection may
    /// be used for another request.
    pub fn is_clean(&mut self) -> bool {
        self.unused().is_empty() && matches!(self.fill(), Ok(Filled::Nothing))
    }

    /// Whether the other end has closed; bytes that came are kept.
    pub fn is_closed(&mut self) -> bool {
        if !self.unused().is_empty() {
            return self.ended;
        }
        !matches!(self.fill(), Ok(Filled::Nothing | Filled::Bytes))
    }

    /// Closes both directions.
    pub fn close(&self) {
        // Closing may fail only because the other end closed first.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// The time left until `until`, as `poll` takes it; an error if there is none.
fn remaining(until: Instant) -> Result<Timespec, HttpError> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(HttpError::TimedOut);
    }
    Timespec::try_from(left).map_err(|_| HttpError::TimedOut)
}

/// Waits until `connection` can go on in one of the `flags`, or the watched one is closed.
fn wait(
    connection: &Connection,
    flags: PollFlags,
    watched: Option<&mut Connection>,
    until: Instant,
) -> Result<PollFlags, HttpError> {
    let timeout = remaining(until)?;
    // Bytes of a next request say nothing about the caller's leaving.
    let watched = watched.filter(|watched| watched.unused().is_empty());
    let mut polled = vec![PollFd::new(&connection.stream, flags)];
    if let Some(watched) = &watched {
        polled.push(PollFd::new(&watched.stream, PollFlags::IN));
    }
    match poll(&mut polled, Some(&timeout)) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => return Err(HttpError::Io(error.into())),
    }
    let ready = polled[0].revents();
    let looked = polled.get(1).is_some_and(|p| !p.revents().is_empty());
    if looked && watched.is_some_and(Connection::is_closed) {
        return Err(HttpError::WatchedClosed);
    }
    Ok(ready)
}

/// Reads more bytes; `Ok(false)` when the other end has closed.
pub(super) fn read_more(
    connection: &mut Connection,
    mut watched: Option<&mut Connection>,
    until: Instant,
) -> Result<bool, HttpError> {
    loop {
        match connection.fill()? {
            Filled::Bytes => return Ok(true),
            Filled::End => return Ok(false),
            Filled::Nothing => {
                wait(connection, PollFlags::IN, watched.as_deref_mut(), until)?;
            }
        }
    }
}

/// Whether a whole message was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wrote {
    /// All of it.
    Whole,
    /// The other end began to answer before it had taken all.
    AnsweredEarly,
}

/// Writes bytes; with `stop_at_answer` it stops when an answer comes first.
///
/// # Errors
/// If the time runs out or a connection breaks.
pub fn write_all(
    connection: &mut Connection,
    bytes: &[u8],
    stop_at_answer: bool,
    mut watched: Option<&mut Connection>,
    until: Instant,
) -> Result<Wrote, HttpError> {
    let mut written = 0;
    while written < bytes.len() {
        match connection.stream.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let mut flags = PollFlags::OUT;
                if stop_at_answer {
                    flags |= PollFlags::IN;
                }
                let ready = wait(connection, flags, watched.as_deref_mut(), until)?;
                if stop_at_answer && ready.contains(PollFlags::IN) {
                    return Ok(Wrote::AnsweredEarly);
                }
            }
            Err(_) if written == 0 => return Err(HttpError::NothingWritten),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Wrote::Whole)
}
