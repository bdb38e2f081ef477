//! A caller over bytes of its own: it sends what it is told, whole or not, and sees how each
//! answer ended.

use passway_types::prelude::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Longest wait for something that must come.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// The host of all routes.
pub const HOST: &str = "shop.example";

/// An answer as a caller got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body, decoded.
    pub body: String,
    /// Whether it ended as its framing says.
    pub is_complete: bool,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    /// The socket.
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Caller {
    /// Connects.
    ///
    /// # Panics
    /// If nobody listens there.
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).expect("connecting"))
    }

    /// Uses a connection.
    ///
    /// # Panics
    /// If it takes no time-out.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .expect("a time-out");
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Sends bytes; whether the other end still stands.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends bytes.
    ///
    /// # Panics
    /// If the other end is gone.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sending");
    }

    fn more(&mut self) -> bool {
        let mut chunk = [0; 4_096];
        let count = loop {
            match self.stream.read(&mut chunk) {
                // A process that was stopped goes on with what it waited for.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => break read.unwrap_or(0),
            }
        };
        self.bytes.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Reads an answer; `None` if the connection ends before its head, or says nothing for
    /// [`RECEIVE_TIMEOUT`].
    ///
    /// # Panics
    /// If what comes is no answer.
    pub fn receive(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !self.more() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut answer = Answer {
            status: status.expect("a status"),
            head,
            body: String::new(),
            is_complete: false,
        };
        if answer.header("transfer-encoding") == Some("chunked") {
            while let Some(chunk) = self.chunk() {
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
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < length && self.more() {}
        let got = length.min(self.bytes.len());
        answer.is_complete = got == length;
        let body: Vec<u8> = self.bytes.drain(..got).collect();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Some(answer)
    }

    fn chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let size = std::str::from_utf8(&self.bytes[..end]).ok()?;
                let size = usize::from_str_radix(size, 16).ok()?;
                if self.bytes.len() >= end + 2 + size + 2 {
                    let chunk = self.bytes[end + 2..end + 2 + size].to_vec();
                    self.bytes.drain(..end + 2 + size + 2);
                    return Some(chunk);
                }
            }
            if !self.more() {
                return None;
            }
        }
    }
}

/// A request's bytes; its caller waits for 8 s.
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let framing = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n{more}{framing}\r\n{body}")
        .into_bytes()
}

/// Sends one request on a connection of its own.
///
/// # Panics
/// As [`Caller`] does.
pub fn fetch(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut caller = Caller::connect(address);
    caller.send(bytes);
    caller.receive()
}
