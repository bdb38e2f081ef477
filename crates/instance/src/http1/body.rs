//! Bodies of messages: their framing, and reading them in parts.

use super::HttpError;
use super::body_memory::BodyMemory;
use super::head::{AnswerHead, RequestHead};
use super::socket::{Connection, READ_BYTES, read_more};
use crate::liveness::LiveUpstream;
use passway_serving::headers::Headers;
use passway_serving::memory::MemoryReservation;
use std::time::Instant;

/// Longest chunk-size line with its extensions, and largest trailer, in bytes. Neither is
/// forwarded. Without a bound, a line that never ends would be buffered until the deadline, which
/// on a link of 1,000 Mbit/s exceeds the process's memory. The value is the usual limit for a
/// request's head.
const MAX_LINE_BYTES: usize = 16 << 10;

/// What the decoder of a body expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// The body ends after this many more bytes.
    Length(u64),
    /// Chunked, within a chunk; this many bytes of the chunk are left.
    Chunk(u64),
    /// Chunked, at the line end after a chunk's data.
    ChunkEnd,
    /// Chunked, at the size line of the next chunk.
    ChunkHead,
    /// Chunked, in the trailer after the last chunk.
    Trailer,
    /// The body ends with the connection.
    Connection,
    /// The body has ended.
    Done,
}

/// How the end of a message's body is determined (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body is empty by its head.
    Empty,
    /// By a length.
    Length,
    /// By the last chunk.
    Chunked,
    /// Not at all: the body ends with its connection.
    CloseDelimited,
}

impl BodyFraming {
    /// The name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunks",
            Self::CloseDelimited => "close",
        }
    }
}

/// Decodes the body of one message.
#[derive(Debug)]
pub struct BodyReader {
    state: DecoderState,
    /// How the end of the body is determined.
    pub body_framing: BodyFraming,
    /// Bytes of the trailer that were skipped.
    trailer_bytes: usize,
    /// Whether the connection may carry another message after this body.
    pub is_reusable: bool,
}

/// Proof that a body is complete. Whatever frames a body as complete for the next reader takes one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletenessProof(ProofKind);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProofKind {
    Framing,
    LiveUpstream,
}

impl CompletenessProof {
    /// The proof that the start of an upstream that closed the connection in order was running after
    /// that: it did not crash in the answer.
    pub fn of_live_upstream(_: &LiveUpstream) -> Self {
        Self(ProofKind::LiveUpstream)
    }

    /// The name for logs.
    pub fn name(self) -> &'static str {
        match self.0 {
            ProofKind::Framing => "framing",
            ProofKind::LiveUpstream => "upstream alive",
        }
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// At its length or its last chunk, or empty by its head.
    Proved(CompletenessProof),
    /// By an orderly close of its connection: the body may be complete or broken off.
    ConnectionClosed,
}

/// The result of reading one part of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes were appended.
    Bytes,
    /// The body has ended.
    End(BodyEnd),
}

/// Maximum number of bytes in one part of a body, which comes from one read of the socket.
const PART_BYTES: usize = READ_BYTES;

/// The bytes of a body that has ended.
#[derive(Debug)]
pub struct ReadBody {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// How the body ended.
    pub end: BodyEnd,
    /// The memory of the bytes.
    pub memory: MemoryReservation,
}

fn single_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|other| other != first) {
        return Err(HttpError::Malformed(
            "several different Content-Length values",
        ));
    }
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(first).ok().filter(|_| is_number);
    let length = text.and_then(|text| text.parse().ok());
    length.map(Some).ok_or(HttpError::Malformed(
        "a Content-Length that is not a number",
    ))
}

fn is_chunked(headers: &Headers) -> Result<bool, HttpError> {
    let mut codings = headers.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError::Malformed("an unsupported Transfer-Encoding"));
    }
    Ok(true)
}

/// The framing of a body whose decoder begins in this state.
fn body_framing(framing: DecoderState) -> BodyFraming {
    match framing {
        DecoderState::Done => BodyFraming::Empty,
        DecoderState::Length(_) => BodyFraming::Length,
        DecoderState::Connection => BodyFraming::CloseDelimited,
        DecoderState::Chunk(_)
        | DecoderState::ChunkEnd
        | DecoderState::ChunkHead
        | DecoderState::Trailer => BodyFraming::Chunked,
    }
}

impl BodyReader {
    /// The reader for the body of a request.
    ///
    /// # Errors
    /// If its framing is ambiguous.
    pub fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        let length = single_length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        let framing = match (chunked, length) {
            (true, Some(_)) => return Err(HttpError::Malformed("a Content-Length and chunks")),
            (true, None) if !head.is_1_1 => {
                return Err(HttpError::Malformed("chunks in HTTP/1.0"));
            }
            (true, None) => DecoderState::ChunkHead,
            (false, None | Some(0)) => DecoderState::Done,
            (false, Some(length)) => DecoderState::Length(length),
        };
        Ok(Self {
            state: framing,
            body_framing: body_framing(framing),
            trailer_bytes: 0,
            is_reusable: true,
        })
    }

    /// The reader for the body of an answer.
    ///
    /// # Errors
    /// If its framing is ambiguous.
    pub fn of_answer(head: &AnswerHead, method: &str) -> Result<Self, HttpError> {
        let length = single_length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        let is_empty = head.is_bodyless(method);
        let framing = match (chunked, length) {
            _ if is_empty => DecoderState::Done,
            (true, Some(_)) => return Err(HttpError::Malformed("a Content-Length and chunks")),
            (true, None) => DecoderState::ChunkHead,
            (false, Some(0)) => DecoderState::Done,
            (false, Some(length)) => DecoderState::Length(length),
            (false, None) => DecoderState::Connection,
        };
        let says_close = head.headers.connection_contains("close");
        Ok(Self {
            state: framing,
            body_framing: body_framing(framing),
            trailer_bytes: 0,
            is_reusable: head.is_1_1 && !says_close && framing != DecoderState::Connection,
        })
    }

    /// The announced length of the body in bytes; 0 if it is not announced.
    pub fn announced_bytes(&self) -> usize {
        match self.state {
            DecoderState::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => 0,
        }
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Moves buffered bytes of the body to `out`; false if there were none.
    fn decode_buffered(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        let mut has_moved = false;
        loop {
            let bytes = connection.buffered();
            match self.state {
                DecoderState::Done => return Ok(true),
                DecoderState::Length(left) | DecoderState::Chunk(left) => {
                    let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                    let count = usize::try_from(left.min(available)).unwrap_or(usize::MAX);
                    if count == 0 {
                        return Ok(has_moved);
                    }
                    out.extend_from_slice(&bytes[..count]);
                    connection.consume(count);
                    has_moved = true;
                    let left = left - u64::try_from(count).unwrap_or(left);
                    self.state = match (self.state, left) {
                        (DecoderState::Length(_), 0) => DecoderState::Done,
                        (DecoderState::Length(_), left) => DecoderState::Length(left),
                        (_, 0) => DecoderState::ChunkEnd,
                        (_, left) => DecoderState::Chunk(left),
                    };
                }
                DecoderState::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(has_moved);
                    }
                    if &bytes[..2] != b"\r\n" {
                        return Err(HttpError::Malformed(
                            "a chunk without a line end after its data",
                        ));
                    }
                    connection.consume(2);
                    self.state = DecoderState::ChunkHead;
                }
                DecoderState::ChunkHead => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        connection.consume(length);
                        self.state = DecoderState::Trailer;
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        connection.consume(length);
                        self.state = DecoderState::Chunk(size);
                    }
                    Ok(httparse::Status::Partial) if bytes.len() > MAX_LINE_BYTES => {
                        return Err(HttpError::FramingTooLarge);
                    }
                    Ok(httparse::Status::Partial) => return Ok(has_moved),
                    Err(_) => return Err(HttpError::Malformed("an invalid chunk size")),
                },
                DecoderState::Trailer => {
                    let end = bytes.windows(2).position(|pair| pair == b"\r\n");
                    let length = end.map_or(bytes.len(), |end| end + 2);
                    if self.trailer_bytes + length > MAX_LINE_BYTES {
                        return Err(HttpError::FramingTooLarge);
                    }
                    let Some(end) = end else {
                        return Ok(has_moved);
                    };
                    connection.consume(length);
                    self.trailer_bytes += length;
                    if end == 0 {
                        self.state = DecoderState::Done;
                    }
                }
                DecoderState::Connection => {
                    if bytes.is_empty() {
                        return Ok(has_moved);
                    }
                    out.extend_from_slice(bytes);
                    let count = bytes.len();
                    connection.consume(count);
                    has_moved = true;
                }
            }
        }
    }

    /// Waits for the next part of the body and appends it to `out`.
    ///
    /// # Errors
    /// If the body breaks off or is late, a chunk-size line or the trailer is too large, or a
    /// connection breaks.
    pub fn read_part(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        mut watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<BodyPart, HttpError> {
        loop {
            let old_length = out.len();
            self.decode_buffered(connection, out)?;
            if out.len() > old_length {
                return Ok(BodyPart::Bytes);
            }
            if self.is_done() {
                let proof = CompletenessProof(ProofKind::Framing);
                return Ok(BodyPart::End(BodyEnd::Proved(proof)));
            }
            if !read_more(connection, watched.as_deref_mut(), until)? {
                if self.state == DecoderState::Connection {
                    return Ok(BodyPart::End(BodyEnd::ConnectionClosed));
                }
                return Err(HttpError::Closed);
            }
        }
    }

    /// Reads the rest of the body into a buffer that is counted against `memory`. If the body has a length,
    /// `memory` has reserved all of it.
    ///
    /// # Errors
    /// As [`BodyReader::read_part`], if the body is larger than `max_bytes`, or if there is no memory
    /// for it.
    pub fn read_whole(
        &mut self,
        connection: &mut Connection,
        max_bytes: usize,
        mut memory: BodyMemory,
        mut watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<ReadBody, HttpError> {
        let mut bytes = Vec::new();
        let is_announced = self.announced_bytes() > 0;
        if is_announced {
            // Growing by doubling would fragment the heap. Reserved memory that is never written
            // takes no physical memory.
            bytes.reserve_exact(self.announced_bytes().min(max_bytes));
        }
        loop {
            if !is_announced && !self.is_done() {
                memory.make_room(&mut bytes, PART_BYTES, watched.as_deref_mut(), until)?;
            }
            match self.read_part(connection, &mut bytes, watched.as_deref_mut(), until)? {
                BodyPart::End(end) => {
                    let memory = memory.end(&mut bytes);
                    return Ok(ReadBody { bytes, end, memory });
                }
                BodyPart::Bytes if bytes.len() > max_bytes => return Err(HttpError::TooLarge),
                BodyPart::Bytes => {}
            }
        }
    }

    /// Reads and drops the rest of the body.
    ///
    /// # Errors
    /// As [`BodyReader::read_part`], or if the body is larger than `max_bytes`.
    pub fn skip(
        &mut self,
        connection: &mut Connection,
        max_bytes: usize,
        mut watched: Option<&mut Connection>,
        until: Instant,
    ) -> Result<(), HttpError> {
        let mut part = Vec::new();
        let mut skipped_bytes = 0;
        loop {
            part.clear();
            let read = self.read_part(connection, &mut part, watched.as_deref_mut(), until)?;
            skipped_bytes += part.len();
            match read {
                BodyPart::End(_) => return Ok(()),
                BodyPart::Bytes if skipped_bytes > max_bytes => return Err(HttpError::TooLarge),
                BodyPart::Bytes => {}
            }
        }
    }
}
