//! A connection: a non-blocking socket with its read buffer, and waiting for it.
//!
//! A wait for one connection may watch a second one, so that work for a caller ends when the caller
//! disconnects.

use super::HttpError;
use crate::stop_signal::{StopSignal, StopSignals};
use passway_process::arrival_time;
use passway_serving::memory::MemoryReservation;
use passway_types::clock;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes requested by one read.
pub(super) const READ_BYTES: usize = 16 << 10;
/// TCP user timeout of a caller's connection: the kernel ends the connection if sent data is
/// unacknowledged for this long.
const CALLER_USER_TIMEOUT_MS: u32 = 4_000;
/// TCP user timeout of an upstream's connection: less than the 2 s after which nothing new may
/// reach an upstream that leaves, and long enough for three lost segments in a row.
const UPSTREAM_USER_TIMEOUT_MS: u32 = 1_500;

/// Longest poll on behalf of a caller before the clock is read again. Poll timeouts do not count
/// time during which the machine was suspended, and an answer at a route's timeout may be at most
/// 0.5 s late (users' pages). Engines send events far more often, so the extra wakeups are rare.
const MAX_POLL_DURATION: Duration = Duration::from_millis(300);

/// Reads without a wait between them after which the time and the caller are checked. They may take as
/// many bytes as the largest answer that is buffered, which has arrived by its deadline but is read later.
const MAX_READS_IN_ROW: u32 = 64;

/// The result of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read.
    Bytes,
    /// No bytes are available yet.
    Nothing,
    /// The peer closed the connection.
    End,
}

/// A connection with the bytes that were read but not consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    consumed: usize,
    is_ended: bool,
    /// Whether the kernel's arrival times are enabled.
    has_arrival_times: bool,
    /// When the bytes that were read last had arrived at the socket; no later than their read.
    received_at: Instant,
    /// Reads of bytes since the last wait.
    reads_in_row: u32,
    /// Whether the kernel ended the connection because the peer acknowledged nothing for too long.
    has_timed_out: bool,
    /// Signals that end waits on behalf of this connection.
    stop_signals: Option<Arc<StopSignals>>,
    /// Which of the signals ends waits.
    ended_by: EndedBy,
    /// Reservation for buffered bytes beyond [`READ_BYTES`]; `None` if they are counted against no pool.
    buffer_memory: Option<MemoryReservation>,
}

/// The signal that ends the waits on behalf of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    /// The signal for answers.
    Answers,
    /// The signal for streams, while a stream is being sent.
    Streams,
    /// The termination of the instance.
    Termination,
}

impl Connection {
    /// Wraps a connected socket.
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
            has_arrival_times: false,
            received_at: clock::now(),
            reads_in_row: 0,
            has_timed_out: false,
            stop_signals: None,
            ended_by: EndedBy::Answers,
            buffer_memory: None,
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
        // Closing discards unacknowledged data: a request that was given up must not reach an
        // upstream seconds later.
        rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
        Ok(connection)
    }

    /// Enables the kernel's arrival times, where it supports them.
    pub fn enable_arrival_times(&mut self) {
        self.has_arrival_times = arrival_time::enable(&self.stream);
    }

    /// When the bytes that were read last had arrived at the socket; when they were read, without arrival times.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Reads once from the socket, and records when the bytes had arrived.
    fn read_socket(&mut self, start: usize) -> io::Result<usize> {
        let buffer = &mut self.buffer[start..];
        let (count, age) = if self.has_arrival_times {
            arrival_time::read(&self.stream, buffer)?
        } else {
            (self.stream.read(buffer)?, Duration::ZERO)
        };
        if count > 0 {
            let now = clock::now();
            self.received_at = now.checked_sub(age).unwrap_or(now);
        }
        Ok(count)
    }

    /// Counts buffered bytes beyond [`READ_BYTES`] against the reservation's pool from now on.
    pub fn set_buffer_memory(&mut self, reservation: MemoryReservation) {
        self.buffer_memory = Some(reservation);
    }

    /// Reserves memory for what is buffered; false if there is none.
    pub(super) fn reserve_buffer(&mut self) -> bool {
        let excess = self.buffer.len().saturating_sub(READ_BYTES);
        let reservation = self.buffer_memory.as_mut();
        reservation.is_none_or(|reservation| reservation.resize(excess))
    }

    /// Ends waits for bytes on behalf of this connection when the signal for answers is set. Writes
    /// to this connection continue.
    pub fn set_stop_signals(&mut self, stop_signals: Arc<StopSignals>) {
        self.stop_signals = Some(stop_signals);
        self.ended_by = EndedBy::Answers;
    }

    /// Ends waits for bytes on behalf of this connection only when the instance ends.
    pub fn end_at_termination(&mut self, stop_signals: Arc<StopSignals>) {
        self.stop_signals = Some(stop_signals);
        self.ended_by = EndedBy::Termination;
    }

    /// Whether the instance has ended, so that nothing more may be written to its callers.
    fn is_terminated(&self) -> bool {
        let stop_signals = self.stop_signals.as_ref();
        stop_signals.is_some_and(|signals| signals.termination.has_begun())
    }

    /// The signal that ends waits on behalf of this connection.
    fn end_signal(&self) -> Option<EndSignal> {
        let signals = self.stop_signals.clone()?;
        Some(EndSignal {
            signals,
            ended_by: self.ended_by,
        })
    }

    /// From now on, such waits end with the signal for streams.
    pub fn mark_streaming(&mut self) {
        self.ended_by = EndedBy::Streams;
    }

    /// Sets whether closing resets the connection, also when the process ends. Where only the end of the
    /// connection marks the end of a body, an incomplete answer must not look complete.
    pub fn set_reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = rustix::net::sockopt::set_socket_linger(&self.stream, linger) {
            log::warn!(error:% = error; "cannot set the connection to reset on close; a broken answer may look complete");
        }
    }

    /// Adds bytes that were read from the socket before it was wrapped.
    pub fn unread(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that were read but not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks bytes as consumed.
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
        let read = self.read_socket(start);
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer: for 3,900 connections that would be 64 MB.
            self.buffer = Vec::new();
            self.reserve_buffer();
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

    /// Whether the kernel ended the connection because the peer acknowledged nothing for too long.
    pub fn has_timed_out(&self) -> bool {
        self.has_timed_out
    }

    /// Whether no bytes are buffered and the peer has not closed: the connection may carry another
    /// request.
    pub fn is_clean(&mut self) -> bool {
        self.buffered().is_empty() && matches!(self.read_available(), Ok(ReadOutcome::Nothing))
    }

    /// Whether the peer has closed the connection, or the instance has ended; bytes that arrive are
    /// buffered.
    pub fn is_closed(&mut self) -> bool {
        if self.is_terminated() {
            return true;
        }
        if !self.buffered().is_empty() {
            return self.is_ended;
        }
        !matches!(
            self.read_available(),
            Ok(ReadOutcome::Nothing | ReadOutcome::Bytes)
        )
    }

    /// The local port, which tells connections apart in logs; 0 if it cannot be read.
    pub fn local_port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |address| address.port())
    }

    /// Closes both directions.
    pub fn close(&self) {
        // Closing can fail only because the peer closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes after an answer to a request that may not have been read completely. Closing with
    /// unread bytes would reset the connection, which can destroy the answer before the peer reads
    /// it. Incoming bytes are dropped until the peer closes or `until`.
    pub fn close_after_answer(&mut self, until: Instant) {
        self.stop_signals = None;
        if self.stream.shutdown(Shutdown::Write).is_err() {
            // The peer closed first.
            return;
        }
        loop {
            let buffered = self.buffered().len();
            self.consume(buffered);
            if !matches!(read_more(self, None, until), Ok(true)) {
                return;
            }
        }
    }
}

/// The time left until `until`, at most `max_duration`.
///
/// # Errors
/// If no time is left.
fn poll_timeout(until: Instant, max_duration: Duration) -> Result<Timespec, HttpError> {
    let remaining = until.saturating_duration_since(clock::now());
    if remaining.is_zero() {
        return Err(HttpError::TimedOut);
    }
    Timespec::try_from(remaining.min(max_duration)).map_err(|_| HttpError::TimedOut)
}

/// One of the stop signals.
struct EndSignal {
    signals: Arc<StopSignals>,
    ended_by: EndedBy,
}

impl EndSignal {
    fn signal(&self) -> &StopSignal {
        match self.ended_by {
            EndedBy::Answers => &self.signals.answers,
            EndedBy::Streams => &self.signals.streams,
            EndedBy::Termination => self.signals.termination.signal(),
        }
    }
}

/// The signal that ends a wait on behalf of a caller. A wait that only writes ends at the
/// termination alone: the bytes may be the answer that another signal has caused.
fn end_signal_for(
    connection: &Connection,
    flags: PollFlags,
    watched: Option<&Connection>,
) -> Option<EndSignal> {
    let caller = watched.unwrap_or(connection);
    let mut end_signal = caller.end_signal()?;
    if !flags.contains(PollFlags::IN) {
        end_signal.ended_by = EndedBy::Termination;
    }
    Some(end_signal)
}

/// Waits until `connection` is ready for one of the `flags`, the watched connection is closed, or a
/// stop signal is set. A wait on behalf of a watched connection returns after [`MAX_POLL_DURATION`]
/// at the latest.
fn wait(
    connection: &Connection,
    flags: PollFlags,
    watched: Option<&mut Connection>,
    until: Instant,
) -> Result<PollFlags, HttpError> {
    let [ready] = wait_for_any([connection], flags, watched, until)?;
    Ok(ready)
}

/// Waits on behalf of `caller` until one of two connections has bytes to read or has ended. Returns
/// for each whether it is ready; none may be, after [`MAX_POLL_DURATION`].
///
/// # Errors
/// If the time runs out, the caller closes its connection, or a stop signal is set.
pub fn wait_for_either(
    connections: [&Connection; 2],
    caller: &mut Connection,
    until: Instant,
) -> Result<[bool; 2], HttpError> {
    let ready = wait_for_any(connections, PollFlags::IN, Some(caller), until)?;
    Ok(ready.map(|flags| !flags.is_empty()))
}

/// Waits on behalf of `caller` for this time.
///
/// # Errors
/// As [`wait_for_either`].
pub(super) fn pause(
    caller: &mut Connection,
    duration: Duration,
    until: Instant,
) -> Result<(), HttpError> {
    let timeout = poll_timeout(until, duration)?;
    let end_signal = caller.end_signal();
    // Bytes of a next request do not show whether the caller has disconnected.
    let is_watched = caller.buffered().is_empty();
    let mut polled = Vec::new();
    polled.extend(
        end_signal
            .iter()
            .map(|one| PollFd::new(one.signal(), PollFlags::IN)),
    );
    if is_watched {
        polled.push(PollFd::new(&caller.stream, PollFlags::IN));
    }
    match poll(&mut polled, Some(&timeout)) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => return Err(HttpError::Io(error.into())),
    }
    let is_stopping = end_signal.is_some() && !polled[0].revents().is_empty();
    drop(polled);
    if is_watched && caller.is_closed() {
        return Err(HttpError::WatchedClosed);
    }
    if is_stopping {
        return Err(HttpError::Stopping);
    }
    Ok(())
}

/// Waits as [`wait`] does, for any of several connections. Returns what each is ready for.
fn wait_for_any<const N: usize>(
    connections: [&Connection; N],
    flags: PollFlags,
    watched: Option<&mut Connection>,
    until: Instant,
) -> Result<[PollFlags; N], HttpError> {
    let is_for_caller = watched.is_some();
    let max_duration = if is_for_caller {
        MAX_POLL_DURATION
    } else {
        Duration::MAX
    };
    let timeout = poll_timeout(until, max_duration)?;
    let end_signal = end_signal_for(connections[0], flags, watched.as_deref());
    // Bytes of a next request do not show whether the caller has disconnected.
    let watched = watched.filter(|watched| watched.buffered().is_empty());
    let mut polled: Vec<PollFd<'_>> = connections
        .iter()
        .map(|connection| PollFd::new(&connection.stream, flags))
        .collect();
    if let Some(watched) = &watched {
        polled.push(PollFd::new(&watched.stream, PollFlags::IN));
    }
    if let Some(end_signal) = &end_signal {
        polled.push(PollFd::new(end_signal.signal(), PollFlags::IN));
    }
    match poll(&mut polled, Some(&timeout)) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => return Err(HttpError::Io(error.into())),
    }
    let ready: [PollFlags; N] = std::array::from_fn(|number| polled[number].revents());
    let mut others = polled[N..].iter().map(|entry| !entry.revents().is_empty());
    let is_stopping = end_signal.is_some() && others.next_back().unwrap_or(false);
    let is_watched_ready = others.next().unwrap_or(false);
    if is_watched_ready && watched.is_some_and(Connection::is_closed) {
        return Err(HttpError::WatchedClosed);
    }
    // A ready connection takes precedence over a stop signal.
    if is_stopping && ready.iter().all(PollFlags::is_empty) {
        return Err(HttpError::Stopping);
    }
    Ok(ready)
}

/// Reads more bytes; `Ok(false)` if the peer has closed. A peer that sends without a pause is read no
/// longer than `until`, and no longer than the watched connection is open.
pub(super) fn read_more(
    connection: &mut Connection,
    mut watched: Option<&mut Connection>,
    until: Instant,
) -> Result<bool, HttpError> {
    loop {
        match connection.read_available()? {
            ReadOutcome::Bytes => {
                connection.reads_in_row += 1;
                if connection.reads_in_row >= MAX_READS_IN_ROW {
                    connection.reads_in_row = 0;
                    wait(connection, PollFlags::IN | PollFlags::OUT, watched, until)?;
                }
                return Ok(true);
            }
            ReadOutcome::End => return Ok(false),
            ReadOutcome::Nothing => {
                connection.reads_in_row = 0;
                wait(connection, PollFlags::IN, watched.as_deref_mut(), until)?;
            }
        }
    }
}

/// Writes bytes. Gives up once the peer has taken none for `stall_timeout`, or at `until`.
///
/// # Errors
/// If the peer does not read, the time runs out, or the connection breaks.
pub fn write_until_stalled(
    connection: &mut Connection,
    bytes: &[u8],
    stall_timeout: Duration,
    until: Instant,
) -> Result<(), HttpError> {
    let mut unwritten = bytes;
    let mut taken_at = clock::now();
    while !unwritten.is_empty() {
        if connection.is_terminated() {
            return Err(HttpError::Stopping);
        }
        match connection.stream.write(unwritten) {
            Ok(count) => {
                unwritten = &unwritten[count..];
                taken_at = clock::now();
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let give_up_at = until.min(taken_at + stall_timeout);
                wait(connection, PollFlags::OUT, None, give_up_at)?;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Whether a message was written completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All bytes were written.
    Whole,
    /// The peer began to answer before it had taken all bytes.
    AnsweredEarly,
}

/// Writes bytes; with `stop_at_answer`, stops when the peer begins to answer.
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
        let caller = watched.as_deref().unwrap_or(connection);
        if caller.is_terminated() {
            return Err(HttpError::Stopping);
        }
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
