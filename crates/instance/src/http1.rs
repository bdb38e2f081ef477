//! HTTP/1.1 over a non-blocking socket, one message at a time.
//!
//! Heads are parsed by `httparse`; framing is strict in both directions, since a
//! message whose end is in doubt must not be passed on. Bytes behind a message stay
//! in the connection's buffer, where they can be seen before it is used again.

use passway_serving::headers::Headers;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Most headers of a message.
const MAX_HEADERS: usize = 128;
/// Bytes read at one time.
const READ_BYTES: usize = 16 << 10;
/// Largest head of an answer.
pub const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;
/// Unacknowledged bytes end a connection after this time.
const USER_TIMEOUT_MS: u32 = 4_000;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum HttpError {
    /// The time is over.
    TimedOut,
    /// The other end closed before the message was whole.
    Closed,
    /// The connection broke.
    Io(io::Error),
    /// The bytes are no message.
    Malformed(&'static str),
    /// The head or body is over its limit.
    TooLarge,
    /// The watched connection was closed meanwhile.
    WatchedClosed,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

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

    /// Connects.
    ///
    /// # Errors
    /// The socket's error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, timeout)?)
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

/// The longest time between two looks at a connection that waits.
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
fn read_more(
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
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Wrote::Whole)
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Whether the caller speaks HTTP/1.1.
    pub is_1_1: bool,
    /// The headers.
    pub headers: Headers,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Whether the upstream speaks HTTP/1.1.
    pub is_1_1: bool,
    /// The headers.
    pub headers: Headers,
}

fn collect(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for header in parsed {
        headers.push(header.name, header.value);
    }
    headers
}

fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut parsed);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = RequestHead {
                method: request.method.unwrap_or_default().to_owned(),
                target: request.path.unwrap_or_default().to_owned(),
                is_1_1: request.version == Some(1),
                headers: collect(request.headers),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::Malformed("not a request")),
    }
}

fn parse_answer(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, HttpError> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut parsed);
    match answer.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = AnswerHead {
                status: answer.code.unwrap_or_default(),
                reason: answer.reason.unwrap_or_default().to_owned(),
                is_1_1: answer.version == Some(1),
                headers: collect(answer.headers),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::Malformed("not an answer")),
    }
}

/// Reads a request's head. The time for it begins with its first byte; before that
/// the connection may rest until `idle_until`. `None` if it was closed at rest.
///
/// # Errors
/// If the head is malformed, too large or late, or the connection breaks.
pub fn read_request_head(
    connection: &mut Connection,
    max_bytes: usize,
    idle_until: Instant,
    header_time: Duration,
) -> Result<Option<RequestHead>, HttpError> {
    if connection.unused().is_empty() && !read_more(connection, None, idle_until)? {
        return Ok(None);
    }
    let until = Instant::now() + header_time;
    loop {
        if let Some((head, length)) = parse_request(connection.unused())? {
            connection.advance(length);
            return Ok(Some(head));
        }
        if connection.unused().len() >= max_bytes {
            return Err(HttpError::TooLarge);
        }
        if !read_more(connection, None, until)? {
            return Err(HttpError::Closed);
        }
    }
}

/// Reads an answer's head, leaving out interim ones.
///
/// # Errors
/// If the head is malformed or late, or a connection breaks.
pub fn read_answer_head(
    connection: &mut Connection,
    mut watched: Option<&mut Connection>,
    until: Instant,
) -> Result<AnswerHead, HttpError> {
    loop {
        if let Some((head, length)) = parse_answer(connection.unused())? {
            connection.advance(length);
            if head.status >= 200 {
                return Ok(head);
            }
            continue;
        }
        if connection.unused().len() >= MAX_ANSWER_HEAD_BYTES {
            return Err(HttpError::TooLarge);
        }
        if !read_more(connection, watched.as_deref_mut(), until)? {
            return Err(HttpError::Closed);
        }
    }
}

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// After so many more bytes.
    Length(u64),
    /// After the last chunk; so many bytes are left of the present one.
    Chunk(u64),
    /// At the line end behind a chunk's bytes.
    ChunkEnd,
    /// At the head of the next chunk.
    ChunkHead,
    /// In the trailer behind the last chunk.
    Trailer,
    /// With the connection.
    Connection,
    /// It has ended.
    Done,
}

/// Decodes the body of one message.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    /// Whether the connection may carry another message when the body has ended.
    pub reusable: bool,
}

/// What came of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes were added.
    Bytes,
    /// The body has ended, whole.
    End,
}

fn single_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|other| other != first) {
        return Err(HttpError::Malformed("several lengths"));
    }
    let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(first).ok().filter(|_| digits);
    let length = text.and_then(|text| text.parse().ok());
    length
        .map(Some)
        .ok_or(HttpError::Malformed("a length that is no number"))
}

fn is_chunked(headers: &Headers) -> Result<bool, HttpError> {
    let mut codings = headers.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError::Malformed("an unknown transfer coding"));
    }
    Ok(true)
}

impl BodyReader {
    /// The body of a request.
    ///
    /// # Errors
    /// If its framing is in doubt.
    pub fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        let length = single_length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        let framing = match (chunked, length) {
            (true, Some(_)) => return Err(HttpError::Malformed("a length and chunks")),
            (true, None) if !head.is_1_1 => {
                return Err(HttpError::Malformed("chunks in HTTP/1.0"));
            }
            (true, None) => Framing::ChunkHead,
            (false, None | Some(0)) => Framing::Done,
            (false, Some(length)) => Framing::Length(length),
        };
        Ok(Self {
            framing,
            reusable: true,
        })
    }

    /// The body of an answer.
    ///
    /// # Errors
    /// If its framing is in doubt.
    pub fn of_answer(head: &AnswerHead, method: &str) -> Result<Self, HttpError> {
        let length = single_length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        let empty = method == "HEAD" || matches!(head.status, 204 | 304);
        let framing = match (chunked, length) {
            _ if empty => Framing::Done,
            (true, Some(_)) => return Err(HttpError::Malformed("a length and chunks")),
            (true, None) => Framing::ChunkHead,
            (false, Some(0)) => Framing::Done,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::Connection,
        };
        let says_close = head.headers.connection_says("close");
        Ok(Self {
            framing,
            reusable: head.is_1_1 && !says_close && framing != Framing::Connection,
        })
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.framing == Framing::Done
    }

    /// Moves what has come of the body to `out`; false if nothing could be moved.
    fn take(&mut self, connection: &mut Connection, out: &mut Vec<u8>) -> Result<bool, HttpError> {
        let mut moved = false;
        loop {
            let bytes = connection.unused();
            match self.framing {
                Framing::Done => return Ok(true),
                Framing::Length(left) | Framing::Chunk(left) => {
                    let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                    let count = usize::try_from(left.min(available)).unwrap_or(usize::MAX);
                    if count == 0 {
                        return Ok(moved);
                    }
                    out.extend_from_slice(&bytes[..count]);
                    connection.advance(count);
                    moved = true;
                    let left = left - u64::try_from(count).unwrap_or(left);
                    self.framing = match (self.framing, left) {
                        (Framing::Length(_), 0) => Framing::Done,
                        (Framing::Length(_), left) => Framing::Length(left),
                        (_, 0) => Framing::ChunkEnd,
                        (_, left) => Framing::Chunk(left),
                    };
                }
                Framing::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(moved);
                    }
                    if &bytes[..2] != b"\r\n" {
                        return Err(HttpError::Malformed("a chunk without its end"));
                    }
                    connection.advance(2);
                    self.framing = Framing::ChunkHead;
                }
                Framing::ChunkHead => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        connection.advance(length);
                        self.framing = Framing::Trailer;
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        connection.advance(length);
                        self.framing = Framing::Chunk(size);
                    }
                    Ok(httparse::Status::Partial) => return Ok(moved),
                    Err(_) => return Err(HttpError::Malformed("a chunk without its size")),
                },
                Framing::Trailer => {
                    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
                        return Ok(moved);
                    };
                    connection.advance(end + 2);
                    if end == 0 {
                        self.framing = Framing::Done;
                    }
                }
                Framing::Connection => {
                    if bytes.is_empty() {
                        return Ok(moved);
                    }
                    out.extend_from_slice(bytes);
                    let count = bytes.len();
                    connection.advance(count);
                    moved = true;
                }
            }
        }
    }

    /// Waits for the next part of the body and adds it to `out`.
    ///
    /// # Errors
    /// If the body breaks off or is late, or a connection breaks.
    pub fn next(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        mut watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<BodyPart, HttpError> {
        loop {
            let before = out.len();
            self.take(connection, out)?;
            if out.len() > before {
                return Ok(BodyPart::Bytes);
            }
            if self.is_done() {
                return Ok(BodyPart::End);
            }
            if !read_more(connection, watched.as_deref_mut(), until)? {
                if self.framing == Framing::Connection {
                    self.framing = Framing::Done;
                    return Ok(BodyPart::End);
                }
                return Err(HttpError::Closed);
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// As [`BodyReader::next`], or if the body is over `max_bytes`.
    pub fn read_whole(
        &mut self,
        connection: &mut Connection,
        max_bytes: usize,
        mut watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while self.next(connection, &mut body, watched.as_deref_mut(), until)? == BodyPart::Bytes {
            if body.len() > max_bytes {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(body)
    }
}

/// Writes a message's head into bytes.
pub fn encode_head(first_line: &str, headers: &Headers) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(first_line.as_bytes());
    bytes.extend_from_slice(b"\r\n");
    for header in &headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
