//! Heads of requests and answers: reading, parsing, writing.

use super::HttpError;
use super::socket::{Connection, read_more};
use passway_serving::headers::Headers;
use passway_types::clock;
use std::time::{Duration, Instant};

/// Largest number of headers in a message.
const MAX_HEADERS: usize = 128;
/// Largest head of an answer.
pub const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// A head is parsed at each read until it has this many bytes, so that bytes that are no head are noticed at once, and
/// then with each new line: parsing it all anew with each byte takes time that grows with the square of its length.
const EAGER_BYTES: usize = 1 << 10;
/// Largest number of interim (1xx) answers before an answer.
const MAX_INTERIM_ANSWERS: u32 = 32;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Whether the caller uses HTTP/1.1.
    pub is_1_1: bool,
    /// The headers.
    pub headers: Headers,
}

impl RequestHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Whether the upstream uses HTTP/1.1.
    pub is_1_1: bool,
    /// The headers.
    pub headers: Headers,
}

impl AnswerHead {
    /// Whether an answer with this head to a request of `method` has no body, regardless of its
    /// headers.
    pub fn is_bodyless(&self, method: &str) -> bool {
        method == "HEAD" || matches!(self.status, 204 | 304)
    }

    /// The status line for the caller.
    pub fn status_line(&self) -> String {
        format!("HTTP/1.1 {} {}", self.status, self.reason)
    }
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
        Err(_) => Err(HttpError::Malformed("an invalid request head")),
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
        Err(_) => Err(HttpError::Malformed("an invalid answer head")),
    }
}

/// Whether a head is parsed that was parsed before when it had `parsed_bytes`: a further line has ended, or it is short.
fn should_parse(bytes: &[u8], parsed_bytes: usize) -> bool {
    bytes.len() <= EAGER_BYTES || bytes[parsed_bytes..].contains(&b'\n')
}

/// Reads a request's head. `header_timeout` begins with the first byte; until then the connection
/// may be idle until `idle_until`. `None` if the connection was closed while idle.
///
/// # Errors
/// If the head is malformed, too large or late, or the connection breaks.
pub fn read_request_head(
    connection: &mut Connection,
    max_bytes: usize,
    idle_until: Instant,
    header_timeout: Duration,
) -> Result<Option<RequestHead>, HttpError> {
    if connection.buffered().is_empty() && !read_more(connection, None, idle_until)? {
        return Ok(None);
    }
    let until = clock::now() + header_timeout;
    let mut parsed_bytes = 0;
    loop {
        if should_parse(connection.buffered(), parsed_bytes)
            && let Some((head, length)) = parse_request(connection.buffered())?
        {
            connection.consume(length);
            return Ok(Some(head));
        }
        parsed_bytes = connection.buffered().len();
        if connection.buffered().len() >= max_bytes {
            return Err(HttpError::TooLarge);
        }
        if !read_more(connection, None, until)? {
            return Err(HttpError::Closed);
        }
    }
}

/// Reads an answer's head and skips interim (1xx) answers.
///
/// # Errors
/// If the head is malformed, too large or late, too many interim answers precede it, or a connection
/// breaks.
pub fn read_answer_head(
    connection: &mut Connection,
    mut watched: Option<&mut Connection>,
    until: Instant,
) -> Result<AnswerHead, HttpError> {
    let mut interim_answers = 0;
    let mut parsed_bytes = 0;
    loop {
        if should_parse(connection.buffered(), parsed_bytes)
            && let Some((head, length)) = parse_answer(connection.buffered())?
        {
            connection.consume(length);
            parsed_bytes = 0;
            if head.status >= 200 {
                return Ok(head);
            }
            interim_answers += 1;
            if interim_answers > MAX_INTERIM_ANSWERS {
                return Err(HttpError::TooLarge);
            }
            continue;
        }
        parsed_bytes = connection.buffered().len();
        if parsed_bytes >= MAX_ANSWER_HEAD_BYTES {
            return Err(HttpError::TooLarge);
        }
        if !connection.reserve_buffer() {
            return Err(HttpError::NoMemory);
        }
        if !read_more(connection, watched.as_deref_mut(), until)? {
            return Err(HttpError::Closed);
        }
    }
}

/// Encodes a message's head.
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
