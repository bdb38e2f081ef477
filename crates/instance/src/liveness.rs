//! Whether the start of an upstream that closed a connection, or broke it, is still running.
//!
//! Only an answer to a query that was sent afterwards shows that. A port that accepts connections does
//! not: a supervisor keeps it open.

use crate::control;
use crate::http1::Connection;
use crate::poison::REFUSAL_TIMEOUT;
use crate::shared::Shared;
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{Engines, UpstreamIdentity};
use passway_types::clock;
use passway_types::prelude::*;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// An upstream needs at least this long to restart. If one that does not report its start answers
/// sooner under its id, it is the same start.
const MIN_RESTART_DURATION: Duration = Duration::from_secs(1);
/// Interval of queries without an answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What a report shows about a start of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The start is running.
    Lives,
    /// The start has terminated; a start at `before_ms` or later answers.
    Ended {
        /// In Unix milliseconds, by the engine's clock.
        before_ms: u64,
    },
}

/// The verdict on a start, given the start that a report names and the time since the connection ended.
pub fn verdict(start: &UpstreamStart, reported_ms: u64, since_end: Duration) -> Option<Verdict> {
    let known_ms = start.started_at_ms;
    if reported_ms > known_ms {
        return Some(Verdict::Ended {
            before_ms: reported_ms,
        });
    }
    let is_same_start =
        reported_ms == known_ms && (known_ms > 0 || since_end < MIN_RESTART_DURATION);
    is_same_start.then_some(Verdict::Lives)
}

/// Shows that a start of an upstream was running after one of its connections had ended. Only
/// [`confirm`] makes one.
#[derive(Debug)]
pub struct LiveUpstream(());

/// Why a start is not known to be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotConfirmed {
    /// Another start has its address, or its port refuses connections.
    Ended,
    /// No query was answered.
    Unknown,
}

impl NotConfirmed {
    /// The name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// The upstream whose start is to be confirmed.
#[derive(Debug, Clone)]
pub struct CheckedUpstream {
    /// The start.
    pub start: UpstreamStart,
    /// The address.
    pub address: SocketAddr,
    /// Whether the upstream answers queries for its state.
    pub is_engine: bool,
    /// The path of its health checks.
    pub health_path: Option<Arc<str>>,
}

/// Asks the upstream, once and then until `until`, whether the start is still running whose connection
/// has ended at `ended_at`.
///
/// # Errors
/// Why that is not known.
pub fn confirm(
    shared: &Shared,
    upstream: &CheckedUpstream,
    ended_at: Instant,
    until: Instant,
) -> Result<LiveUpstream, NotConfirmed> {
    let engines = shared.engines().ok_or(NotConfirmed::Unknown)?;
    loop {
        // An upstream that has asked for a backoff is not called before the backoff ends.
        if !control::is_backing_off(shared, &upstream.start.upstream) {
            match query(shared, &*engines, upstream, ended_at) {
                Some(Verdict::Lives) => return Ok(LiveUpstream(())),
                Some(Verdict::Ended { .. }) => return Err(NotConfirmed::Ended),
                None if refuses_connections(upstream.address) => return Err(NotConfirmed::Ended),
                None => {}
            }
        }
        if clock::now() >= until {
            return Err(NotConfirmed::Unknown);
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

fn query(
    shared: &Shared,
    engines: &dyn Engines,
    upstream: &CheckedUpstream,
    ended_at: Instant,
) -> Option<Verdict> {
    let start = &upstream.start;
    if upstream.is_engine {
        let report = control::query_report(shared, engines, start, upstream.address)?;
        return verdict(start, report.started_at_ms, clock::since(ended_at));
    }
    let identity = query_identity(engines, upstream)?;
    identity_verdict(start, &identity, clock::since(ended_at))
}

/// Asks an upstream once whether the start is still running under which a run broke off at `broke_at`. Unlike the proof
/// of an answer, it also accepts the id of an upstream that does not name its start, if that answers sooner than it
/// could restart.
pub fn query_after_break(
    shared: &Shared,
    engines: &dyn Engines,
    upstream: &CheckedUpstream,
    broke_at: Instant,
) -> Option<Verdict> {
    if upstream.is_engine {
        return query(shared, engines, upstream, broke_at);
    }
    let identity = query_identity(engines, upstream)?;
    let since_break = clock::since(broke_at);
    let verdict = identity_verdict(&upstream.start, &identity, since_break);
    let is_soon = identity.started_at_ms.is_none() && since_break < MIN_RESTART_DURATION;
    verdict.or_else(|| is_soon.then_some(Verdict::Lives))
}

/// Asks an upstream that is no engine which start it is. If its entry names the start and the answer does
/// not, a health check must.
fn query_identity(engines: &dyn Engines, upstream: &CheckedUpstream) -> Option<UpstreamIdentity> {
    let start = &upstream.start;
    let (address, health_path) = (upstream.address, upstream.health_path.as_deref());
    let identity = engines.identify(address, health_path, None)?;
    let is_named = start.started_at_ms == 0 || identity.started_at_ms.is_some();
    if is_named || identity.upstream != start.upstream {
        return Some(identity);
    }
    engines.identify(address, health_path, Some(&start.upstream))
}

/// The verdict on a start, given what the process at its address says about itself.
fn identity_verdict(
    start: &UpstreamStart,
    identity: &UpstreamIdentity,
    since_end: Duration,
) -> Option<Verdict> {
    if identity.upstream != start.upstream {
        let before_ms = start.started_at_ms.saturating_add(1);
        return Some(Verdict::Ended { before_ms });
    }
    let reported_ms = if start.started_at_ms == 0 {
        // The entry names no start to compare with.
        0
    } else {
        identity.started_at_ms?
    };
    verdict(start, reported_ms, since_end)
}

/// Whether nothing listens at an address.
pub fn refuses_connections(address: SocketAddr) -> bool {
    Connection::connect(address, REFUSAL_TIMEOUT)
        .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}
