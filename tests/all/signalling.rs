//! A plain server that says of itself what it is told to say, and what reaches it.

use passway_standins::platform::raw::{RawServer, Step};
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Mutex;

/// What a server answers.
#[derive(Debug, Clone)]
pub struct SignallingAnswer {
    /// The status; 503 and 429 have not run.
    pub status: u16,
    /// Lines of the head besides.
    pub lines: String,
}

impl SignallingAnswer {
    /// It answers well and says nothing of itself.
    pub fn plain() -> Self {
        Self::with_line(200, "")
    }

    /// It answers so, with a line in the head; none if that is empty.
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
    /// One that answers well.
    pub fn start() -> Self {
        let answer = Arc::new(Mutex::new(SignallingAnswer::plain()));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (current_answer, seen_arrivals) = (answer.clone(), arrivals.clone());
        let raw = RawServer::start(move |received| {
            // What it says is settled once its arrival can be seen.
            let SignallingAnswer { status, lines } =
                current_answer.lock().expect("what it says").clone();
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.raw.address
    }

    /// From now on it answers so.
    pub fn set_answer(&self, answer: SignallingAnswer) {
        *self.answer.lock().expect("what it says") = answer;
    }

    /// When requests reached it.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// How many have.
    pub fn count(&self) -> usize {
        self.arrivals().len()
    }
}
