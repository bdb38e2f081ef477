//! Finding out whether an upstream that broke off under a request has ended, where its port tells nothing.
//!
//! A supervisor keeps the port open, and a machine that fell silent refuses nothing. So the engine is asked
//! for its report until it tells its start; its entry tells the same when it goes or names a later start.

use crate::control;
use crate::http1::Connection;
use crate::poison::Poison;
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::poison::{OPEN_TIME, RequestDigest, UpstreamStart};
use passway_serving::ports::Engines;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time for the port of an upstream that broke off to refuse a connection, as that of a process
/// that has ended does within a round trip of some milliseconds. A cut link says nothing, and the
/// request waits for this before it goes on elsewhere.
pub const REFUSAL_TIME: Duration = Duration::from_millis(60);
/// Pause before an engine is asked first: one that lives answers a broken connection at once.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two questions to an engine that does not answer.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// An engine that does not tell its start is not back so soon after its end: who answers then lives.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Engines that are asked at one time; of further ones the entries tell.
const MOST_WATCHED: usize = 32;

/// Starts of engines that are being asked for, and the requests that broke off there.
#[derive(Debug, Default)]
pub(super) struct Watched(Mutex<BTreeMap<UpstreamStart, BTreeSet<RequestDigest>>>);

impl Watched {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamStart, BTreeSet<RequestDigest>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request; whether somebody is to begin to ask.
    fn add(&self, digest: RequestDigest, start: &UpstreamStart) -> bool {
        let mut watched = self.lock();
        if let Some(digests) = watched.get_mut(start) {
            digests.insert(digest);
            return false;
        }
        let has_room = watched.len() < MOST_WATCHED;
        if has_room {
            watched.insert(start.clone(), BTreeSet::from([digest]));
        }
        has_room
    }

    /// Ends the questions; the requests that broke off there.
    fn take(&self, start: &UpstreamStart) -> BTreeSet<RequestDigest> {
        self.lock().remove(start).unwrap_or_default()
    }
}

/// What a report tells of a start of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Lives,
    /// It has ended; a start of this moment or later answers.
    Ended {
        before_ms: u64,
    },
}

fn verdict(start: &UpstreamStart, reported_ms: u64, since_break: Duration) -> Option<Verdict> {
    let known_ms = start.started_at_ms;
    if reported_ms > known_ms {
        return Some(Verdict::Ended {
            before_ms: reported_ms,
        });
    }
    let is_same = reported_ms == known_ms && (known_ms > 0 || since_break < RESTART_TIME);
    is_same.then_some(Verdict::Lives)
}

/// Finds out about the start of an engine that broke off under a request.
pub(super) fn watch(
    shared: &Arc<Shared>,
    digest: RequestDigest,
    start: &UpstreamStart,
    address: SocketAddr,
) {
    let Some(engines) = shared.engines() else {
        return;
    };
    if !shared.poison.watched.add(digest, start) {
        return;
    }
    let watching = shared.clone();
    let asked = start.clone();
    let asking = move || ask(&watching, &*engines, &asked, address);
    if let Err(error) = std::thread::Builder::new().spawn(asking) {
        log::warn!(error:% = error; "no thread to ask an engine that broke off");
        shared.poison.watched.take(start);
    }
}

/// Whether nobody listens any more where an engine was that had not said that it leaves. Its port may have closed a
/// little after its connections.
fn has_gone(shared: &Shared, start: &UpstreamStart, address: SocketAddr) -> bool {
    let refuses = Connection::connect(address, REFUSAL_TIME)
        .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    refuses && !shared.upstreams().is_draining(&start.upstream)
}

fn ask(shared: &Shared, engines: &dyn Engines, start: &UpstreamStart, address: SocketAddr) {
    let broke_at = clock::now();
    let mut pause = FIRST_PAUSE;
    let mut found = None;
    while found.is_none() && clock::since(broke_at) < OPEN_TIME {
        std::thread::sleep(pause);
        pause = ASK_PAUSE;
        if control::is_backing_off(shared, &start.upstream) {
            continue;
        }
        let since_break = clock::since(broke_at);
        let report = control::query_report(shared, engines, start, address);
        found = if let Some(report) = report {
            verdict(start, report.started_at_ms, since_break)
        } else {
            // Whatever is sent there would break off too.
            shared.upstreams().doubt(&start.upstream, clock::now());
            has_gone(shared, start, address).then_some(Verdict::Ended {
                before_ms: start.started_at_ms + 1,
            })
        };
    }
    log::info!(target: DECISION_TARGET, upstream:% = start.upstream, found:? = found; "an upstream that broke off was asked");
    let digests = shared.poison.watched.take(start);
    match found {
        Some(Verdict::Lives) => {
            shared.upstreams().trust(&start.upstream, clock::now());
            for digest in digests {
                if let Some(news) = shared.poison.lives(digest, start.clone()) {
                    Poison::tell(shared, news);
                }
            }
        }
        Some(Verdict::Ended { before_ms }) => shared.starts_ended(&start.upstream, before_ms),
        None => {}
    }
}
