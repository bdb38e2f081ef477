//! A plain server that sends signals defined by the test and records the arrival of requests.

use passway_standins::platform::raw::{RawServer, Step};
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Mutex;

/// An answer of the server.
#[derive(Debug, Clone)]
pub struct SignallingAnswer {
    /// The status; requests answered with 503 or 429 have not run.
    pub status: u16,
    /// Further lines of the head.
    pub lines: String,
}

impl SignallingAnswer {
    /// A successful answer without signals.
    pub fn plain() -> Self {
        Self::with_line(200, "")
    }

    /// An answer with a status and one more line in its head; none if `line` is empty.
    pub fn with_line(status: u16, line: impl AsRef<str>) -> Self {
        let line = line.as_ref();
        let end = if line.is_empty() { "" } else { "\r\n" };
        Self {
            status,
            lines: format!("{line}{end}"),
        }
    }
}

/// The server.
pub struct SignallingServer {
    pub raw: RawServer,
    answer: Arc<Mutex<SignallingAnswer>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl SignallingServer {
    /// Starts a server that answers successfully.
    pub fn start() -> Self {
        let answer = Arc::new(Mutex::new(SignallingAnswer::plain()));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (current_answer, seen_arrivals) = (answer.clone(), arrivals.clone());
        let raw = RawServer::start(move |received| {
            // The answer is chosen before the arrival is recorded.
            let SignallingAnswer { status, lines } =
                current_answer.lock().expect("the answer").clone();
            seen_arrivals.lock().expect("arrivals").push(Instant::now());
            let id = received.header("request-id").unwrap_or_default();
            let execution_line = if [429, 503].contains(&status) {
                "Not-Executed: 1\r\n"
            } else {
                "Response-Seal: s\r\n"
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\n{execution_line}{lines}Content-Length: 0\r\n\r\n"
            );
            vec![Step::Send(text.into_bytes())]
        });
        Self {
            raw,
            answer,
            arrivals,
        }
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.raw.address
    }

    /// Sets the answer to all further requests.
    pub fn set_answer(&self, answer: SignallingAnswer) {
        *self.answer.lock().expect("the answer") = answer;
    }

    /// When requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Number of requests that arrived.
    pub fn count(&self) -> usize {
        self.arrivals().len()
    }
}
