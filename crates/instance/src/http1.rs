//! HTTP/1.1 over a non-blocking socket, one message at a time.
//!
//! Heads are parsed by `httparse`. Framing is strict in both directions, because a message with an
//! ambiguous end must not be forwarded. Bytes after a message stay in the connection's buffer,
//! where they are detected before the connection is reused.

mod body;
mod body_memory;
mod head;
mod socket;

pub use body::{BodyEnd, BodyFraming, BodyPart, BodyReader, CompletenessProof, ReadBody};
pub use body_memory::{BodyMemory, FREE_BYTES, wait_for_memory, wait_for_room};
pub use head::{
    AnswerHead, MAX_ANSWER_HEAD_BYTES, RequestHead, encode_head, read_answer_head,
    read_request_head,
};
pub use socket::{
    Connection, ReadOutcome, WriteOutcome, wait_for_either, write_all, write_until_stalled,
};

use std::io;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum HttpError {
    /// The deadline has passed.
    TimedOut,
    /// The peer closed the connection before the message was complete.
    Closed,
    /// The connection broke before anything was written.
    NothingWritten,
    /// The connection broke.
    Io(io::Error),
    /// The bytes are not a valid message; the text gives the reason.
    Malformed(&'static str),
    /// The head or body exceeds its limit.
    TooLarge,
    /// A chunk-size line or the trailer exceeds its limit, which no configuration changes.
    FramingTooLarge,
    /// There is no memory left for it.
    NoMemory,
    /// The watched connection was closed during the wait.
    WatchedClosed,
    /// The process is about to exit.
    Stopping,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
