//! Bodies of messages: where they end, and reading them part by part.

use super::HttpError;
use super::head::{AnswerHead, RequestHead};
use super::socket::{Connection, read_more};
use passway_serving::headers::Headers;
use std::time::Instant;

/// Longest line of a chunk's size with its extensions, and largest trailer. None of them is
/// passed on; without a bound a sender whose line never ends is kept whole until its time is
/// over, which on a link of 1,000 Mbit/s is more than the process may have. As much as a
/// request's head may have on the users' sites.
const MAX_LINE_BYTES: usize = 16 << 10;

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
    /// Bytes of the trailer that were left out.
    trailer_bytes: usize,
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
            trailer_bytes: 0,
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
        let empty = head.is_bodyless(method);
        let framing = match (chunked, length) {
            _ if empty => Framing::Done,
            (true, Some(_)) => return Err(HttpError::Malformed("a length and chunks")),
            (true, None) => Framing::ChunkHead,
            (false, Some(0)) => Framing::Done,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::Connection,
        };
        let says_close = head.headers.connection_contains("close");
        Ok(Self {
            framing,
            trailer_bytes: 0,
            reusable: head.is_1_1 && !says_close && framing != Framing::Connection,
        })
    }

    /// The bytes that it says it has; 0 if it does not say.
    pub fn announced(&self) -> usize {
        match self.framing {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => 0,
        }
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
                    Ok(httparse::Status::Partial) if bytes.len() > MAX_LINE_BYTES => {
                        return Err(HttpError::TooLarge);
                    }
                    Ok(httparse::Status::Partial) => return Ok(moved),
                    Err(_) => return Err(HttpError::Malformed("a chunk without its size")),
                },
                Framing::Trailer => {
                    let end = bytes.windows(2).position(|pair| pair == b"\r\n");
                    let length = end.map_or(bytes.len(), |end| end + 2);
                    if self.trailer_bytes + length > MAX_LINE_BYTES {
                        return Err(HttpError::TooLarge);
                    }
                    let Some(end) = end else {
                        return Ok(moved);
                    };
                    connection.advance(length);
                    self.trailer_bytes += length;
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
    /// If the body breaks off or is late, a chunk's line or the trailer is too large, or a
    /// connection breaks.
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
        if let Framing::Length(length) = self.framing {
            // Growing by doubling leaves pieces that nothing else fits into. What is set aside
            // and does not come takes no memory.
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            body.reserve_exact(length.min(max_bytes));
        }
        while self.next(connection, &mut body, watched.as_deref_mut(), until)? == BodyPart::Bytes {
            if body.len() > max_bytes {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(body)
    }
}
