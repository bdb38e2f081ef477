//! Answers of this instance's own, and the framing of passed-on ones.

use crate::http1::{self, Connection, HttpError, encode_head};
use passway_serving::headers::Headers;
use passway_serving::ports::HeaderProtocol;
use passway_types::clock;
use passway_types::prelude::*;

/// Time for a caller to take an answer that is ready.
pub const WRITE_TIME: Duration = Duration::from_secs(5);

/// An answer that no upstream gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The bytes are no request.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The route needs a key, and the caller has none that is known.
    NoKey,
    /// Its workspace has used what it may; the request has not run.
    OverAllotment {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large.
    HeadTooLarge,
    /// The request has not run; the caller may come back after this time.
    NotRun {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may have run and its answer is lost.
    AnswerLost,
    /// The time is over and the request may run or have run.
    TimedOut,
}

impl Refusal {
    fn status(self) -> (u16, &'static str) {
        match self {
            Self::Malformed => (400, "Bad Request"),
            Self::NoRoute => (404, "Not Found"),
            Self::NoKey => (401, "Unauthorized"),
            Self::OverAllotment { .. } => (429, "Too Many Requests"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::NotRun { .. } => (503, "Service Unavailable"),
            Self::AnswerLost => (502, "Bad Gateway"),
            Self::TimedOut => (504, "Gateway Timeout"),
        }
    }

    /// The code in logs and answers.
    pub fn code(self) -> u16 {
        self.status().0
    }
}

/// Writes a refusal.
///
/// # Errors
/// If the caller is gone or does not take it.
pub fn refuse(
    caller: &mut Connection,
    vocabulary: &dyn HeaderProtocol,
    id: &str,
    refusal: Refusal,
    close: bool,
) -> Result<(), HttpError> {
    let (status, reason) = refusal.status();
    let mut headers = Headers::default();
    headers.push("Content-Length", "0");
    vocabulary.label_answer(&mut headers, id);
    if refusal == Refusal::NoKey {
        headers.push("WWW-Authenticate", vocabulary.auth_challenge());
    }
    if let Refusal::NotRun { retry_after_ms } | Refusal::OverAllotment { retry_after_ms } = refusal
    {
        let whole_s = retry_after_ms / 1_000;
        let rest_ms = retry_after_ms % 1_000;
        headers.push("Retry-After", format!("{whole_s}.{rest_ms:03}"));
    }
    if close {
        headers.push("Connection", "close");
    }
    let bytes = encode_head(&format!("HTTP/1.1 {status} {reason}"), &headers);
    let until = clock::now() + WRITE_TIME;
    http1::write_all(caller, &bytes, false, None, until)?;
    Ok(())
}

/// Bytes as one chunk of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
