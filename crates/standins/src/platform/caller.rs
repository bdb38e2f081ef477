//! An HTTP client that sends exactly the given bytes, valid or not, and reports whether each answer
//! was complete.

use passway_types::prelude::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Maximum wait for an event that must happen, and read timeout of a caller's connection.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Deadline of each request.
pub const DEADLINE: Duration = Duration::from_secs(8);
/// The host name of all routes.
pub const HOST: &str = "shop.example";

/// An answer as the caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The status line and the headers.
    pub head: String,
    /// The body without its transfer encoding; of an incomplete answer the part that was received.
    pub body: String,
    /// Whether the body ended as its framing announces.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A client connection.
#[derive(Debug)]
pub struct Caller {
    /// The socket.
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Caller {
    /// Connects to `address`.
    ///
    /// # Panics
    /// If the connection fails.
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).expect("connecting to the address"))
    }

    /// Uses an open connection.
    ///
    /// # Panics
    /// If the read timeout cannot be set.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .expect("setting the read timeout");
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Sends bytes; returns whether the connection accepted them.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends bytes.
    ///
    /// # Panics
    /// If the peer has closed the connection.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sending bytes");
    }

    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4_096];
        let count = loop {
            match self.stream.read(&mut chunk) {
                // A process that was stopped by a signal retries the read once it continues.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => break read.unwrap_or(0),
            }
        };
        self.bytes.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Reads an answer; `None` if the connection is closed before the end of the head, or nothing
    /// arrives for [`RECEIVE_TIMEOUT`].
    ///
    /// # Panics
    /// If the answer has no valid status line.
    pub fn receive(&mut self) -> Option<Answer> {
        self.receive_while(|_| true)
    }

    /// Reads an answer as long as `wants_more` holds for the body so far. A caller that stops earlier
    /// has an incomplete answer and closes the connection.
    ///
    /// # Panics
    /// If the answer has no valid status line.
    pub fn receive_while(&mut self, wants_more: impl Fn(&str) -> bool) -> Option<Answer> {
        let end = loop {
            if let Some(end) = self
                .bytes
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                break end;
            }
            if !self.read_more() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let status = head.split(' ').nth(1).and_then(|value| value.parse().ok());
        let mut answer = Answer {
            status: status.expect("the answer has no valid status line"),
            head,
            body: String::new(),
            is_complete: false,
        };
        if answer.header("transfer-encoding") == Some("chunked") {
            while wants_more(&answer.body)
                && let Some(chunk) = self.read_chunk()
            {
                if chunk.is_empty() {
                    answer.is_complete = true;
                    break;
                }
                answer.body.push_str(&String::from_utf8_lossy(&chunk));
            }
            return Some(answer);
        }
        let length = answer
            .header("content-length")
            .and_then(|value| value.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < length && self.read_more() {}
        let received = length.min(self.bytes.len());
        answer.is_complete = received == length;
        let body: Vec<u8> = self.bytes.drain(..received).collect();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Some(answer)
    }

    fn read_chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|window| window == b"\r\n") {
                let size = std::str::from_utf8(&self.bytes[..end]).ok()?;
                let size = usize::from_str_radix(size, 16).ok()?;
                if self.bytes.len() >= end + 2 + size + 2 {
                    let chunk = self.bytes[end + 2..end + 2 + size].to_vec();
                    self.bytes.drain(..end + 2 + size + 2);
                    return Some(chunk);
                }
            }
            if !self.read_more() {
                return None;
            }
        }
    }
}

/// Builds the bytes of a request with the deadline [`DEADLINE`]. `headers` holds additional header lines,
/// each ending with CRLF. A GET request has no body.
pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let framing = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    let deadline_ms = DEADLINE.as_millis();
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{headers}{framing}\r\n{body}")
        .into_bytes()
}

/// Sends one request over a new connection and returns the answer.
///
/// # Panics
/// As [`Caller::connect`], [`Caller::send`] and [`Caller::receive`] do.
pub fn fetch(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut caller = Caller::connect(address);
    caller.send(bytes);
    caller.receive()
}
