//! A plain server that names itself to health checks, and whose answers may be close-delimited.

use super::documents::{list_plain, plain_entry};
use super::raw::{RawServer, Received, Step};
use super::store::MetadataStandIn;
use passway_types::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Start time of a server that names its start, in Unix milliseconds, before its first restart.
pub(super) const FIRST_START_MS: u64 = 1_792_321_983_006;

/// How a plain server sends its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainAnswer {
    /// With a length.
    Framed,
    /// Close-delimited, i.e. with neither a length nor chunks.
    Unframed,
    /// Like [`PlainAnswer::Unframed`], but the server crashes after half of the body.
    UnframedCrash,
    /// Like [`PlainAnswer::Unframed`], but the connection is closed after half of the body.
    UnframedHalf,
    /// Like [`PlainAnswer::Unframed`], but the connection is reset after half of the body.
    UnframedReset,
}

/// Returns the steps of an answer with status 200 whose body is the id of the request.
pub fn echo_steps(received: &Received, how: PlainAnswer) -> Vec<Step> {
    let id = received.header("request-id").unwrap_or_default();
    let length = if how == PlainAnswer::Framed {
        format!("Content-Length: {}\r\n", id.len())
    } else {
        String::new()
    };
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n{length}\r\n");
    let half = &id[..id.len() / 2];
    let body = match how {
        PlainAnswer::Framed | PlainAnswer::Unframed => id,
        PlainAnswer::UnframedCrash | PlainAnswer::UnframedHalf | PlainAnswer::UnframedReset => half,
    };
    let mut steps = vec![Step::Send(format!("{head}{body}").into_bytes())];
    match how {
        PlainAnswer::Framed => {}
        PlainAnswer::Unframed | PlainAnswer::UnframedHalf => steps.push(Step::Close),
        PlainAnswer::UnframedCrash => steps.push(Step::Crash),
        // The bytes before a reset may be lost with it.
        PlainAnswer::UnframedReset => {
            steps.extend([Step::Pause(Duration::from_millis(20)), Step::Reset]);
        }
    }
    steps
}

/// Returns the answer to a health check, or to a request that is meant for another server; `None` for
/// any other request.
pub fn identity_steps(received: &Received, id: &str) -> Option<Vec<Step>> {
    identity_steps_with(received, id, "")
}

/// As [`identity_steps`], with a body.
pub(super) fn identity_steps_with(received: &Received, id: &str, body: &str) -> Option<Vec<Step>> {
    let is_misdirected = received
        .header("expect-instance")
        .is_some_and(|expected| expected != id);
    let status = match (is_misdirected, received.request_line()) {
        (true, _) => 421,
        (false, line) if line.starts_with("GET /health ") => 200,
        (false, _) => return None,
    };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nInstance-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    Some(vec![Step::Send(text.into_bytes())])
}

/// Starts a plain server with this id that answers every request in the given way, and lists it in the
/// store.
pub fn start_plain(store: &MetadataStandIn, id: &str, how: PlainAnswer) -> RawServer {
    let name = id.to_owned();
    let server = RawServer::start(move |received| {
        identity_steps(received, &name).unwrap_or_else(|| echo_steps(received, how))
    });
    list_plain(store, id, server.address, "ready");
    server
}

/// Which of the queries for its identity a server answers with its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartNamed {
    /// All of them.
    Always,
    /// Health checks that are meant for it.
    ToHealthChecks,
}

/// Starts a plain server whose entry names its start and whose answers are close-delimited. With
/// `restarts`, it starts again under its id in the middle of each answer, behind an open port.
pub fn start_naming_plain(
    store: &MetadataStandIn,
    id: &str,
    named: StartNamed,
    restarts: bool,
) -> RawServer {
    let (name, started_at_ms) = (id.to_owned(), AtomicU64::new(FIRST_START_MS));
    let server = RawServer::start(move |received| {
        let is_own = received.header("expect-instance") == Some(&name);
        let body = if is_own || named == StartNamed::Always {
            format!("{{\"born\":{}}}", started_at_ms.load(Ordering::Acquire))
        } else {
            String::new()
        };
        if let Some(steps) = identity_steps_with(received, &name, &body) {
            return steps;
        }
        if !restarts {
            return echo_steps(received, PlainAnswer::Unframed);
        }
        started_at_ms.fetch_add(1, Ordering::AcqRel);
        echo_steps(received, PlainAnswer::UnframedHalf)
    });
    let mut entry = plain_entry(server.address);
    entry["born"] = FIRST_START_MS.into();
    store.put(&format!("servers/{id}"), &entry);
    server
}
