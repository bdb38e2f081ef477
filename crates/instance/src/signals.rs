//! Signals that upstreams send in their answers: applying them, and forwarding them to other
//! instances.
//!
//! Each instance reports the limits and leaving upstreams that it learns of to the holder of
//! leadership, which publishes them to all. A backoff that an upstream requests from this instance
//! is not published.

use crate::relay::{millis, millis_since};
use crate::shared::{ReportEvent, Shared};
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::limits::{LimitSignal, ObservedLimit};
use passway_serving::poison::UpstreamStart;
use passway_serving::signals::{BackoffSignal, LeavingSignal, UpstreamSignals};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{BackingOffUpstream, KnownSignals, LeavingUpstream, UpstreamLimit};

/// Longest accepted backoff. After this time, a request finds out whether the upstream still wants
/// the backoff, so that a wrong value does not exclude an upstream for good.
pub const MAX_BACKOFF_MS: u64 = 600_000;

/// Instances that were refused at the same time retry this long after each other, on average.
const BACKOFF_SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Maximum time by which an instance retries later than it may.
const MAX_BACKOFF_SPREAD: Duration = Duration::from_millis(500);

/// The signals of an answer.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedSignals<'a> {
    /// The start of the upstream that was asked.
    pub start: &'a UpstreamStart,
    /// The signals.
    pub signals: &'a UpstreamSignals,
    /// Whether the upstream itself vouches for the answer.
    pub is_authenticated: bool,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// Applies the signals of an upstream's answer.
pub fn apply(shared: &Shared, received: ReceivedSignals<'_>) {
    let ReceivedSignals { start, signals, .. } = received;
    for signal in signals.unusable_names() {
        shared.metrics.unusable_signal(signal);
    }
    apply_limit(shared, received);
    if signals.leaving == LeavingSignal::Leaving && record_leaving(shared, start) {
        shared.report(ReportEvent::SignalsChanged(start.upstream.clone()));
    }
    match signals.backoff {
        BackoffSignal::For(backoff) if !backoff.is_zero() => record_backoff(shared, start, backoff),
        _ => shared
            .upstreams()
            .record_no_backoff(&start.upstream, received.sent_at),
    }
}

fn apply_limit(shared: &Shared, received: ReceivedSignals<'_>) {
    let per_s = match received.signals.limit {
        LimitSignal::PerSecond(per_s) => Some(per_s),
        // A missing limit only means that there is none if the upstream vouches for the answer.
        LimitSignal::Absent if received.is_authenticated => None,
        LimitSignal::Absent | LimitSignal::Unusable => return,
    };
    let limit = ObservedLimit {
        per_s,
        sent_at: received.sent_at,
        received_at: clock::now(),
    };
    if record_limit(shared, received.start, limit) {
        shared.report(ReportEvent::SignalsChanged(received.start.upstream.clone()));
    }
}

/// Records that a start of an upstream is leaving, as signalled to this or another instance.
/// Returns whether that was unknown before.
fn record_leaving(shared: &Shared, start: &UpstreamStart) -> bool {
    let now = clock::now();
    let mut upstreams = shared.upstreams();
    let is_new = upstreams.record_leaving(&start.upstream, start.started_at_ms, now);
    drop(upstreams);
    if is_new {
        log::info!(target: DECISION_TARGET, upstream:% = start.upstream; "an upstream announces that it is leaving");
        shared.notify_upstreams_changed();
    }
    is_new
}

/// Records that an upstream asked this instance to back off.
fn record_backoff(shared: &Shared, start: &UpstreamStart, backoff: Duration) {
    let backoff = backoff.min(Duration::from_millis(MAX_BACKOFF_MS));
    let instances = u32::try_from(shared.instance_count()).unwrap_or(u32::MAX);
    let spread = BACKOFF_SPREAD_PER_INSTANCE
        .saturating_mul(instances)
        .min(MAX_BACKOFF_SPREAD);
    let until = clock::now() + backoff + spread.mul_f64(rand::random());
    let mut upstreams = shared.upstreams();
    if upstreams.started_at_ms(&start.upstream) != start.started_at_ms {
        return;
    }
    upstreams.record_backoff(&start.upstream, until);
    drop(upstreams);
    shared.notify_upstreams_changed();
    shared.report(ReportEvent::SignalsChanged(start.upstream.clone()));
    shared.metrics.backoff_requested();
    log::info!(target: DECISION_TARGET, upstream:% = start.upstream, rest_ms = millis(backoff); "an upstream requests backoff");
}

/// Records the limit that a start of an upstream signalled to this or another instance. Returns
/// whether the limit changed.
pub fn record_limit(shared: &Shared, start: &UpstreamStart, limit: ObservedLimit) -> bool {
    let mut upstreams = shared.upstreams();
    // A signal of another start of the upstream does not apply to this one.
    let is_current_start = upstreams.started_at_ms(&start.upstream) == start.started_at_ms;
    let has_changed = is_current_start && upstreams.record_limit(&start.upstream, limit);
    drop(upstreams);
    if has_changed {
        log::info!(target: DECISION_TARGET, upstream:% = start.upstream, per_s:? = limit.per_s; "an upstream changed its advertised limit");
        if limit.per_s.is_none() {
            shared.limits.retain(shared);
        }
        shared.notify_upstreams_changed();
    }
    has_changed
}

/// Encodes the limits and leaving state of the named upstreams, or of all that sent signals.
pub fn encode(shared: &Shared, named: Option<&[UpstreamId]>) -> KnownSignals {
    if named.is_some_and(<[UpstreamId]>::is_empty) {
        return KnownSignals::default();
    }
    let now = clock::now();
    let upstreams = shared.upstreams();
    let is_named = |id: &UpstreamId| named.is_none_or(|named| named.contains(id));
    let limits = upstreams.observed_limits().filter(|(id, ..)| is_named(id));
    let limits = limits.map(|(id, started_at_ms, limit)| UpstreamLimit {
        upstream: id.to_string(),
        started_at_ms,
        requests_per_s: limit.per_s,
        sent_ms_ago: millis_since(limit.sent_at, now),
        received_ms_ago: millis_since(limit.received_at, now),
    });
    let leaving = upstreams.leaving().filter(|(id, _)| is_named(id));
    let leaving = leaving.map(|(id, started_at_ms)| LeavingUpstream {
        upstream: id.to_string(),
        started_at_ms,
    });
    KnownSignals {
        limits: limits.collect(),
        leaving: leaving.collect(),
        backing_off: Vec::new(),
    }
}

/// Encodes what this instance reports to the holder about the named upstreams, or about all:
/// limits, leaving state, and which of them asked this instance to back off.
pub fn encode_for_holder(shared: &Shared, named: Option<&[UpstreamId]>) -> KnownSignals {
    let now = clock::now();
    let mut message = encode(shared, named);
    let upstreams = shared.upstreams();
    let is_named = |id: &UpstreamId| named.is_none_or(|named| named.contains(id));
    let backing_off = upstreams.backing_off(now).filter(|(id, _)| is_named(id));
    let backing_off = backing_off.map(|(id, until)| BackingOffUpstream {
        upstream: id.to_string(),
        started_at_ms: upstreams.started_at_ms(id),
        remaining_ms: millis(until.saturating_duration_since(now)),
    });
    message.backing_off = backing_off.collect();
    message
}

/// Merges what another instance sent. Returns the upstreams that are concerned.
pub fn merge(shared: &Shared, received: KnownSignals) -> Vec<UpstreamId> {
    let now = clock::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    let mut concerned = Vec::new();
    for received_limit in received.limits {
        let start = UpstreamStart {
            upstream: UpstreamId::from(received_limit.upstream),
            started_at_ms: received_limit.started_at_ms,
        };
        if shared.upstreams().started_at_ms(&start.upstream) != start.started_at_ms {
            continue;
        }
        let limit = ObservedLimit {
            per_s: received_limit
                .requests_per_s
                .filter(|per_s| per_s.is_finite() && *per_s >= 0.0),
            sent_at: ago(received_limit.sent_ms_ago),
            received_at: ago(received_limit.received_ms_ago),
        };
        record_limit(shared, &start, limit);
        concerned.push(start.upstream);
    }
    for leaving in received.leaving {
        let start = UpstreamStart {
            upstream: UpstreamId::from(leaving.upstream),
            started_at_ms: leaving.started_at_ms,
        };
        record_leaving(shared, &start);
        concerned.push(start.upstream);
    }
    concerned
}
