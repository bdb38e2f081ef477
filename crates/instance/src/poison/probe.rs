//! Finds out whether an upstream that broke off under a request has crashed, if its port does not
//! show that.
//!
//! A supervisor keeps the port open, a port may close some milliseconds after the connections, and a
//! machine that does not respond refuses nothing. An engine is therefore asked for its report until it
//! names its start, and any other upstream for its identity. The entry in the store shows the same when it
//! disappears or names a later start.

use crate::control;
use crate::liveness::{self, CheckedUpstream, Verdict};
use crate::poison::PoisonTracker;
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::poison::{SuspectKey, UNCONFIRMED_TIMEOUT, UpstreamStart};
use passway_serving::ports::Engines;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How long the port of an upstream that broke off may take to refuse a connection. The port of a
/// terminated process refuses within a round trip of a few milliseconds. If the link is cut, the
/// request waits for this long before it is retried elsewhere.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay before the first query of an upstream. A running one answers at once after a broken
/// connection.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Interval of queries of an upstream that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of upstreams that are probed at the same time. The entries in the store show what
/// happened to others.
const MAX_PROBED_UPSTREAMS: usize = 32;

/// Starts of upstreams that are probed, and the suspects that broke off there.
#[derive(Debug, Default)]
pub(super) struct ProbedUpstreams(Mutex<BTreeMap<UpstreamStart, BTreeSet<SuspectKey>>>);

impl ProbedUpstreams {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamStart, BTreeSet<SuspectKey>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds suspects. Returns whether the caller must start a probe of the upstream.
    fn add(&self, keys: &[SuspectKey], start: &UpstreamStart) -> bool {
        let mut probed = self.lock();
        if let Some(known) = probed.get_mut(start) {
            known.extend(keys);
            return false;
        }
        let has_capacity = probed.len() < MAX_PROBED_UPSTREAMS;
        if has_capacity {
            probed.insert(start.clone(), keys.iter().copied().collect());
        }
        has_capacity
    }

    /// Removes the start of an upstream. Returns the suspects that broke off there.
    fn take(&self, start: &UpstreamStart) -> BTreeSet<SuspectKey> {
        self.lock().remove(start).unwrap_or_default()
    }
}

/// Starts to probe an upstream that broke off under a request.
pub(super) fn start(shared: &Arc<Shared>, keys: &[SuspectKey], upstream: &CheckedUpstream) {
    let Some(engines) = shared.engines() else {
        return;
    };
    let start = &upstream.start;
    if !shared.poison.probed_upstreams.add(keys, start) {
        return;
    }
    let thread_shared = shared.clone();
    let probed = upstream.clone();
    let run_probe = move || probe(&thread_shared, &*engines, &probed);
    if let Err(error) = std::thread::Builder::new().spawn(run_probe) {
        log::warn!(error:% = error; "cannot start a thread to probe an upstream that broke off");
        shared.poison.probed_upstreams.take(start);
    }
}

/// Whether connections to the address of an upstream are refused that did not announce that it
/// leaves, while other upstreams can be reached. A port may close a little later than its
/// connections.
fn refuses_connections(shared: &Shared, start: &UpstreamStart, address: SocketAddr) -> bool {
    liveness::refuses_connections(address)
        && !shared.upstreams().is_draining(&start.upstream)
        && shared.paths.confirms_path(shared, &start.upstream)
}

/// Requests sent to an engine that does not answer would break off, too. Other upstreams reset connections beyond those
/// that they take, queries included, and serve the others.
pub(super) fn mark_unreachable(shared: &Shared, upstream: &CheckedUpstream) {
    if upstream.is_engine {
        let id = &upstream.start.upstream;
        shared.upstreams().mark_unreachable(id, clock::now());
    }
}

fn probe(shared: &Shared, engines: &dyn Engines, upstream: &CheckedUpstream) {
    let start = &upstream.start;
    let broke_at = clock::now();
    let mut delay = FIRST_PROBE_DELAY;
    let mut found = None;
    while found.is_none() && clock::since(broke_at) < UNCONFIRMED_TIMEOUT {
        if !shared.termination().pause(delay) {
            return;
        }
        delay = PROBE_INTERVAL;
        if control::is_backing_off(shared, &start.upstream) {
            continue;
        }
        found = liveness::query_after_break(shared, engines, upstream, broke_at);
        if found.is_none() {
            mark_unreachable(shared, upstream);
            let refuses = refuses_connections(shared, start, upstream.address);
            found = refuses.then_some(Verdict::Ended {
                before_ms: start.started_at_ms.saturating_add(1),
            });
        }
    }
    log::info!(target: DECISION_TARGET, upstream:% = start.upstream, found:? = found; "probed an upstream that broke off");
    let keys = shared.poison.probed_upstreams.take(start);
    match found {
        Some(Verdict::Lives) => {
            shared
                .upstreams()
                .mark_reachable(&start.upstream, clock::now());
            let keys: Vec<SuspectKey> = keys.into_iter().collect();
            let updates = shared.poison.record_alive(&keys, start);
            PoisonTracker::publish(shared, updates);
        }
        Some(Verdict::Ended { before_ms }) => shared.starts_ended(&start.upstream, before_ms),
        None => {}
    }
}
