//! Numbered result codes and refusals.
//!
//! Every answer that passway itself generates, instead of an upstream, carries a [`ResultCode`].
//! The code determines whether the request ran. A test compares `docs/result-codes.md` with
//! [`ResultCode::ALL`].

use std::fmt;
use std::time::Duration;

/// Whether a request was executed by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No part of the request can have reached an upstream.
    NotRun,
    /// An upstream answered or started to answer.
    Ran,
    /// The request was sent, but its outcome is not known.
    Unknown,
}

impl Ran {
    /// The text used in headers and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $http:literal, $ran:ident;)+) => {
        /// A numbered result of a request, sent to the caller.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl ResultCode {
            /// Every code, in numeric order.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The HTTP status of answers with this code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $http),+ }
            }

            /// Whether a request that ended with this code was executed.
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran),+ }
            }

            /// The name of the code, as in the source and in the table of result codes.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),+ }
            }

            /// The description of the code in the table of result codes: one sentence.
            pub const fn description(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+)),+ }
            }
        }
    };
}

result_codes! {
    /// The request could not be understood.
    BadRequest = 1101, 400, NotRun;
    /// The body is larger than the limit in the settings.
    BodyTooLarge = 1102, 413, NotRun;
    /// No model, adapter or alias of that name is configured.
    UnknownModel = 1103, 404, NotRun;
    /// No workspace of that name is configured.
    UnknownWorkspace = 1104, 403, NotRun;
    /// The deadline is not a number, is zero, or is further off than the limit.
    BadDeadline = 1105, 400, NotRun;
    /// No plain service of that name is configured, or no such path.
    UnknownPath = 1106, 404, NotRun;
    /// The body did not arrive in time.
    BodyTooSlow = 1107, 408, NotRun;
    /// The key was used before with another request.
    KeyReused = 1108, 422, NotRun;
    /// The estimate of wait and load lies beyond the deadline.
    DeadlineUnreachable = 1201, 503, NotRun;
    /// The bounded queue is full.
    QueueFull = 1202, 429, NotRun;
    /// No upstream has room for the model and nothing idle can make room.
    NoCapacity = 1203, 503, NotRun;
    /// No controller can decide at present, so a sleeping model stays asleep.
    ControlUnavailable = 1204, 503, NotRun;
    /// This instance is leaving.
    Draining = 1205, 503, NotRun;
    /// This instance holds no configuration that it knows to be current.
    ConfigStale = 1206, 503, NotRun;
    /// The workspace is at a cap that policy sets.
    WorkspaceAtCap = 1207, 429, NotRun;
    /// Retries are spent; every attempt is known not to have started.
    NotStarted = 1208, 502, NotRun;
    /// The deadline came near while the request waited.
    DeadlinePassed = 1209, 504, NotRun;
    /// The key-value service did not take the claim; nothing was sent.
    ClaimUnavailable = 1210, 503, NotRun;
    /// More connections than this instance can hold.
    TooManyConnections = 1211, 503, NotRun;
    /// The caller went away while its request waited; nobody gets this answer.
    CallerGone = 1212, 499, NotRun;
    /// The upstream failed after the request was sent to it.
    UpstreamFailed = 1301, 502, Unknown;
    /// The answer broke off after it had begun.
    AnswerBroken = 1302, 502, Ran;
    /// A call with the same key is in progress or ended without a known outcome.
    RepeatUnknown = 1303, 409, Unknown;
    /// The upstream did not answer before the deadline.
    AnswerLate = 1304, 504, Unknown;
    /// The key-value service did not say whether a call with this key ran before.
    ClaimUnreadable = 1305, 503, Unknown;
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", *self as u16, self.name())
    }
}

/// The final answer to a request that is not served, with an optional retry hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the refusal.
    pub code: ResultCode,
    /// Time from this answer until a retry may succeed; `None` if a retry is pointless.
    pub retry_after: Option<Duration>,
    /// Human-readable details.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without a retry hint.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Sets the retry hint.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
