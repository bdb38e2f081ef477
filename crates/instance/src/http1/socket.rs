//! The connection: a non-blocking socket with its buffer, and waiting for it.
//!
//! Whoever waits for one connection may watch a second one, so that work for a
//! caller ends when the caller has left.

use super::HttpError;
use crate::stop_signal::StopSignals;
use passway_types::clock;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes read at one time.
const READ_BYTES: usize = 16 << 10;
/// Unacknowledged bytes end a caller's connection after this time.
const CALLER_USER_TIMEOUT_MS: u32 = 4_000;
/// The same towards an upstream: less than the 2 s after which nothing new may reach
/// one that leaves, and enough for three lost segments in a row.
const UPSTREAM_USER_TIMEOUT_MS: u32 = 1_500;

/// Longest wait on behalf of a caller before the time is compared again: the system's waits do
/// not count that a machine was suspended, and an answer at a route's time-out may come 0.5 s
/// late (users' pages). An engine sends events far more often, so this wakes hardly anybody.
const MAX_POLL_DURATION: Duration = Duration::from_millis(300);

/// What one read gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
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
    consumed: usize,
    is_ended: bool,
    /// Whether the other end has taken nothing for so long that the system ended the connection.
    has_timed_out: bool,
    /// End waits for bytes that concern this connection.
    stop_signals: Option<Arc<StopSignals>>,
    /// Whether a stream goes out, which only the later ending ends.
    is_streaming: bool,
}

impl Connection {
    /// Takes a connected socket.
    ///
    /// # Errors
    /// The socket's error.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, CALLER_USER_TIMEOUT_MS)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            is_ended: false,
            has_timed_out: false,
            stop_signals: None,
            is_streaming: false,
        })
    }

    /// Connects to an upstream.
    ///
    /// # Errors
    /// The socket's error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connection = Self::new(TcpStream::connect_timeout(&address, timeout)?)?;
        let stream = &connection.stream;
        rustix::net::sockopt::set_tcp_user_timeout(stream, UPSTREAM_USER_TIMEOUT_MS)?;
        // Closing takes back what has not arrived: a request that was given up must
        // not reach an upstream seconds later.
        rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
        Ok(connection)
    }

    /// Waits for bytes, on this connection or on one that is waited for on its behalf, end
    /// with the ending of answers. Writing to this connection does not.
    pub fn set_stop_signals(&mut self, endings: Arc<StopSignals>) {
        self.stop_signals = Some(endings);
        self.is_streaming = false;
    }

    /// From now on such waits end with the ending of streams.
    pub fn mark_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Resets the connection when it is closed, so that what has gone out does not look
    /// complete where nothing but the connection's end marks the end of a body.
    pub fn reset_when_closed(&self) {
        let linger = Some(Duration::ZERO);
        if let Err(error) = rustix::net::sockopt::set_socket_linger(&self.stream, linger) {
            log::warn!(error:% = error; "cannot set the connection to reset on close; a broken answer may look complete");
        }
    }

    /// Bytes that were read and not used.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks bytes as used.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads once without blocking.
    ///
    /// # Errors
    /// The socket's error.
    pub fn read_available(&mut self) -> io::Result<ReadOutcome> {
        if self.is_ended {
            return Ok(ReadOutcome::End);
        }
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
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
                self.is_ended = true;
                Ok(ReadOutcome::End)
            }
            Ok(_) => Ok(ReadOutcome::Bytes),
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(ReadOutcome::Nothing)
            }
            Err(error) => {
                self.has_timed_out |= error.kind() == ErrorKind::TimedOut;
                Err(error)
            }
        }
    }

    /// Whether the other end has taken nothing for so long that the system ended the connection.
    pub fn has_timed_out(&self) -> bool {
        self.has_timed_out
    }

    /// Whether nothing has come and the other end still stands: the connection may
    /// be used for another request.
    pub fn is_clean(&mut self) -> bool {
        self.buffered().is_empty() && matches!(self.read_available(), Ok(ReadOutcome::Nothing))
    }

    /// Whether the other end has closed; bytes that came are kept.
    pub fn is_closed(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return self.is_ended;
        }
        !matches!(
            self.read_available(),
            Ok(ReadOutcome::Nothing | ReadOutcome::Bytes)
        )
    }

    /// Closes both directions.
    pub fn close(&self) {
        // Closing may fail only because the other end closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes after an answer to a request that may not have been read whole: closing with
    /// unread bytes resets the connection, and a reset can destroy the answer before the
    /// other end reads it. What still comes is dropped, until the other end closes or `until`.
    pub fn close_after_answer(&mut self, until: Instant) {
        self.stop_signals = None;
        if self.stream.shutdown(Shutdown::Write).is_err() {
            // The other end closed first.
            return;
        }
        loop {
            let unused = self.buffered().len();
            self.consume(unused);
            if !matches!(read_more(self, None, until), Ok(true)) {
                return;
            }
        }
    }
}

/// The time left until `until`, at most `longest`, as `poll` takes it; an error if there is none.
fn remaining(until: Instant, longest: Duration) -> Result<Timespec, HttpError> {
    let left = until.saturating_duration_since(clock::now());
    if left.is_zero() {
        return Err(HttpError::TimedOut);
    }
    Timespec::try_from(left.min(longest)).map_err(|_| HttpError::TimedOut)
}

/// The endings of the caller for whom a wait for bytes goes on, and whether it gets a stream.
/// A wait that only writes goes on: what it writes may be the answer that the ending itself
/// brings about.
fn stop_signals_for(
    connection: &Connection,
    flags: PollFlags,
    watched: Option<&Connection>,
) -> Option<(Arc<StopSignals>, bool)> {
    if !flags.contains(PollFlags::IN) {
        return None;
    }
    let caller = watched.unwrap_or(connection);
    let endings = caller.stop_signals.clone();
    endings.map(|endings| (endings, caller.is_streaming))
}

/// Waits until `connection` can go on in one of the `flags`, the watched one is closed, or
/// the process is about to end; on behalf of a watched one no longer than [`WAKE_STEP`].
fn wait(
    connection: &Connection,
    flags: PollFlags,
    watched: Option<&mut Connection>,
    until: Instant,
) -> Result<PollFlags, HttpError> {
    let is_for_caller = watched.is_some();
    let longest = if is_for_caller {
        MAX_POLL_DURATION
    } else {
        Duration::MAX
    };
    let timeout = remaining(until, longest)?;
    let endings = stop_signals_for(connection, flags, watched.as_deref());
    // Bytes of a next request say nothing about the caller's leaving.
    let watched = watched.filter(|watched| watched.buffered().is_empty());
    let mut polled = vec![PollFd::new(&connection.stream, flags)];
    if let Some(watched) = &watched {
        polled.push(PollFd::new(&watched.stream, PollFlags::IN));
    }
    if let Some((endings, streams)) = &endings {
        let ending = if *streams {
            &endings.streams
        } else {
            &endings.answers
        };
        polled.push(PollFd::new(ending, PollFlags::IN));
    }
    match poll(&mut polled, Some(&timeout)) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => return Err(HttpError::Io(error.into())),
    }
    let ready = polled[0].revents();
    let mut others = polled[1..].iter().map(|p| !p.revents().is_empty());
    let is_ending = endings.is_some() && others.next_back().unwrap_or(false);
    let looked = others.next().unwrap_or(false);
    if looked && watched.is_some_and(Connection::is_closed) {
        return Err(HttpError::WatchedClosed);
    }
    // What is ready goes on; it needs no more waiting.
    if is_ending && ready.is_empty() {
        return Err(HttpError::Stopping);
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
        match connection.read_available()? {
            ReadOutcome::Bytes => return Ok(true),
            ReadOutcome::End => return Ok(false),
            ReadOutcome::Nothing => {
                wait(connection, PollFlags::IN, watched.as_deref_mut(), until)?;
            }
        }
    }
}

/// Writes bytes to one that goes on reading: gives up once it has taken none for `pause`, or the time is over.
///
/// # Errors
/// If it does not read, the time runs out or the connection breaks.
pub fn write_until_stalled(
    connection: &mut Connection,
    bytes: &[u8],
    pause: Duration,
    until: Instant,
) -> Result<(), HttpError> {
    let mut rest = bytes;
    let mut taken_at = clock::now();
    while !rest.is_empty() {
        match connection.stream.write(rest) {
            Ok(count) => {
                rest = &rest[count..];
                taken_at = clock::now();
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let give_up_at = until.min(taken_at + pause);
                wait(connection, PollFlags::OUT, None, give_up_at)?;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Whether a whole message was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
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
) -> Result<WriteOutcome, HttpError> {
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
                    return Ok(WriteOutcome::AnsweredEarly);
                }
            }
            Err(_) if written == 0 => return Err(HttpError::NothingWritten),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(WriteOutcome::Whole)
}
