//! Answers that the instance gives itself, and chunked framing.

use crate::http1::{self, Connection, HttpError, encode_head};
use passway_serving::headers::Headers;
use passway_serving::ports::HeaderProtocol;
use passway_types::clock;
use passway_types::prelude::*;

/// Time for a caller to receive a complete answer.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Header with the reason why a stream cannot be resumed.
const RESUME_REFUSED: &str = "Resume-Refused";
/// `Retry-After` of a stream whose version could not be looked up, in milliseconds.
const PROOF_RETRY_MS: u64 = 500;

/// Why a stream cannot be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeObstacle {
    /// It is not known which software version began the stream. The caller has to begin anew.
    UnknownVersion,
    /// No upstream with the version that began the stream accepts requests. The caller has to begin
    /// anew.
    VersionGone,
    /// The version could not be looked up. The caller may retry.
    ProofUnavailable,
}

impl ResumeObstacle {
    /// The value of [`RESUME_REFUSED`], also for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownVersion => "version-unknown",
            Self::VersionGone => "version-gone",
            Self::ProofUnavailable => "proof-unavailable",
        }
    }

    /// How the request ended, for logs.
    pub fn end(self) -> &'static str {
        match self {
            Self::UnknownVersion => "refused, the software version of its stream is unknown",
            Self::VersionGone => "refused, no upstream has the software version of its stream",
            Self::ProofUnavailable => {
                "refused, the software version of its stream could not be looked up"
            }
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        (self == Self::ProofUnavailable).then_some(PROOF_RETRY_MS)
    }
}

/// An answer that the instance gives itself, not an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The bytes are not a valid request.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The route needs a key, and the request has none that is known.
    NoKey,
    /// The workspace's allotment is used up; the request has not run.
    OverAllotment {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large.
    HeadTooLarge,
    /// The request has not run, and the caller may retry.
    NotRun {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request has not run, because its stream cannot be resumed.
    CannotResume(ResumeObstacle),
    /// The request has not run, because no upstream has the weights that the caller asks for.
    OtherWeights,
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// The deadline has passed, and the request may have run or may still run.
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
            Self::NotRun { .. } | Self::CannotResume(_) => (503, "Service Unavailable"),
            Self::OtherWeights => (421, "Misdirected Request"),
            Self::AnswerLost => (502, "Bad Gateway"),
            Self::TimedOut => (504, "Gateway Timeout"),
        }
    }

    /// When the caller may retry, in milliseconds; `None` if the refusal does not say.
    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotRun { retry_after_ms } | Self::OverAllotment { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::CannotResume(obstacle) => obstacle.retry_after_ms(),
            _ => None,
        }
    }

    /// The status code for logs and answers.
    pub fn code(self) -> u16 {
        self.status().0
    }
}

/// Writes a refusal.
///
/// # Errors
/// If the caller has disconnected or does not read.
pub fn refuse(
    caller: &mut Connection,
    vocabulary: &dyn HeaderProtocol,
    id: &str,
    refusal: Refusal,
    should_close: bool,
) -> Result<(), HttpError> {
    let (status, reason) = refusal.status();
    let mut headers = Headers::default();
    headers.push("Content-Length", "0");
    vocabulary.label_answer(&mut headers, id);
    if refusal == Refusal::NoKey {
        headers.push("WWW-Authenticate", vocabulary.auth_challenge());
    }
    if let Refusal::CannotResume(obstacle) = refusal {
        headers.push(RESUME_REFUSED, obstacle.name());
    }
    if let Some(retry_after_ms) = refusal.retry_after_ms() {
        let whole_s = retry_after_ms / 1_000;
        let fraction_ms = retry_after_ms % 1_000;
        headers.push("Retry-After", format!("{whole_s}.{fraction_ms:03}"));
    }
    if should_close {
        headers.push("Connection", "close");
    }
    let bytes = encode_head(&format!("HTTP/1.1 {status} {reason}"), &headers);
    let until = clock::now() + WRITE_TIMEOUT;
    http1::write_all(caller, &bytes, false, None, until)?;
    Ok(())
}

/// Encodes bytes as one chunk of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
