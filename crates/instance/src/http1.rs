//! HTTP/1.1 over a non-blocking socket, one message at a time.
//!
//! Heads are parsed by `httparse`; framing is strict in both directions, since a
//! message whose end is in doubt must not be passed on. Bytes behind a message stay
//! in the connection's buffer, where they can be seen before it is used again.

mod body;
mod head;
mod socket;

pub use body::{BodyPart, BodyReader};
pub use head::{
    AnswerHead, MAX_ANSWER_HEAD_BYTES, RequestHead, encode_head, read_answer_head,
    read_request_head,
};
pub use socket::{Connection, ReadOutcome, WriteOutcome, write_all, write_until_stalled};

use std::io;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum HttpError {
    /// The time is over.
    TimedOut,
    /// The other end closed before the message was whole.
    Closed,
    /// The connection had broken before anything was written.
    NothingWritten,
    /// The connection broke.
    Io(io::Error),
    /// The bytes are no message.
    Malformed(&'static str),
    /// The head or body is over its limit.
    TooLarge,
    /// The watched connection was closed meanwhile.
    WatchedClosed,
    /// The process is about to end.
    Stopping,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
