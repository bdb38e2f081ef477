//! What upstreams say of themselves in their answers: taking it in, and telling it on.
//!
//! Each instance tells the holder of the right to order what it hears, and the holder all: how much an
//! upstream takes, and that it leaves. What an upstream wants from this instance alone stays here.

use crate::relay::{millis, millis_since};
use crate::shared::{ReportEvent, Shared};
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::limits::{LimitWord, NamedLimit};
use passway_serving::poison::UpstreamStart;
use passway_serving::words::{NamedLeaving, NamedRest, UpstreamWords};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{LeavingUpstream, RestingUpstream, UpstreamLimit, Words};

/// Longest rest that is kept: one request in this time finds out whether the upstream still wants it, so
/// that a figure that is wrong does not take an upstream away for good.
pub const LONGEST_REST_MS: u64 = 600_000;

/// Instances that were turned away at one time come back this long after each other, in the mean.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Longest time by which an instance comes back later than it may.
const MOST_SPREAD: Duration = Duration::from_millis(500);

/// An answer that was heard.
#[derive(Debug, Clone, Copy)]
pub struct Heard<'a> {
    /// The start of the upstream that was asked.
    pub start: &'a UpstreamStart,
    /// What the answer says of it.
    pub words: &'a UpstreamWords,
    /// Whether the upstream vouches for the answer.
    pub vouched: bool,
    /// When the question was sent.
    pub sent_at: Instant,
}

/// Takes in what an answer says of its upstream.
pub fn hear(shared: &Shared, heard: Heard<'_>) {
    let Heard { start, words, .. } = heard;
    for word in words.unusable() {
        shared.metrics.unusable_signal(word);
    }
    hear_limit(shared, heard);
    if words.leaving == NamedLeaving::Leaves && leaves(shared, start) {
        shared.report(ReportEvent::SignalsChanged(start.upstream.clone()));
    }
    match words.rest {
        NamedRest::For(rest) if !rest.is_zero() => rests(shared, start, rest),
        _ => shared
            .upstreams()
            .note_no_rest(&start.upstream, heard.sent_at),
    }
}

fn hear_limit(shared: &Shared, heard: Heard<'_>) {
    let per_s = match heard.words.limit {
        NamedLimit::PerSecond(per_s) => Some(per_s),
        // Only an answer that the upstream vouches for is its word that it is in no need.
        NamedLimit::Absent if heard.vouched => None,
        NamedLimit::Absent | NamedLimit::Unusable => return,
    };
    let word = LimitWord {
        per_s,
        sent_at: heard.sent_at,
        heard_at: clock::now(),
    };
    if note_limit(shared, heard.start, word) {
        shared.report(ReportEvent::SignalsChanged(heard.start.upstream.clone()));
    }
}

/// A start of an upstream leaves, as it said here or to another instance. Returns whether that is news.
fn leaves(shared: &Shared, start: &UpstreamStart) -> bool {
    let now = clock::now();
    let mut upstreams = shared.upstreams();
    let is_news = upstreams.note_leaving(&start.upstream, start.started_at_ms, now);
    drop(upstreams);
    if is_news {
        log::info!(target: DECISION_TARGET, upstream:% = start.upstream; "an upstream says that it leaves");
        shared.notify_upstreams_changed();
    }
    is_news
}

/// An upstream wants nothing from this instance for some time.
fn rests(shared: &Shared, start: &UpstreamStart, rest: Duration) {
    let rest = rest.min(Duration::from_millis(LONGEST_REST_MS));
    let instances = u32::try_from(shared.instance_count()).unwrap_or(u32::MAX);
    let spread = SPREAD_PER_INSTANCE
        .saturating_mul(instances)
        .min(MOST_SPREAD);
    let until = clock::now() + rest + spread.mul_f64(rand::random());
    let mut upstreams = shared.upstreams();
    if upstreams.started_at_ms(&start.upstream) != start.started_at_ms {
        return;
    }
    upstreams.note_rest(&start.upstream, until);
    drop(upstreams);
    shared.notify_upstreams_changed();
    shared.report(ReportEvent::SignalsChanged(start.upstream.clone()));
    shared.metrics.backoff_requested();
    log::info!(target: DECISION_TARGET, upstream:% = start.upstream, rest_ms = millis(rest); "an upstream asks for rest");
}

/// A start of an upstream has said how much it takes, here or at another instance. Returns whether that is
/// another limit than before.
pub fn note_limit(shared: &Shared, start: &UpstreamStart, word: LimitWord) -> bool {
    let mut upstreams = shared.upstreams();
    // What was said by another start of it says nothing of this one.
    let is_of_this = upstreams.started_at_ms(&start.upstream) == start.started_at_ms;
    let has_changed = is_of_this && upstreams.note_limit(&start.upstream, word);
    drop(upstreams);
    if has_changed {
        log::info!(target: DECISION_TARGET, upstream:% = start.upstream, per_s:? = word.per_s; "an upstream says what it takes");
        if word.per_s.is_none() {
            shared.limits.retain(shared);
        }
        shared.notify_upstreams_changed();
    }
    has_changed
}

/// The words of some upstreams, or of all that have said something, as they are told.
pub fn encode(shared: &Shared, named: Option<&[UpstreamId]>) -> Words {
    if named.is_some_and(<[UpstreamId]>::is_empty) {
        return Words::default();
    }
    let now = clock::now();
    let upstreams = shared.upstreams();
    let is_named = |id: &UpstreamId| named.is_none_or(|named| named.contains(id));
    let limits = upstreams.limit_words().filter(|(id, ..)| is_named(id));
    let limits = limits.map(|(id, started_at_ms, word)| UpstreamLimit {
        upstream: id.to_string(),
        started_at_ms,
        per_s: word.per_s,
        sent_ms_ago: millis_since(word.sent_at, now),
        heard_ms_ago: millis_since(word.heard_at, now),
    });
    let leaving = upstreams.leaving().filter(|(id, _)| is_named(id));
    let leaving = leaving.map(|(id, started_at_ms)| LeavingUpstream {
        upstream: id.to_string(),
        started_at_ms,
    });
    Words {
        limits: limits.collect(),
        leaving: leaving.collect(),
        resting: Vec::new(),
    }
}

/// What this instance tells the holder of some upstreams, or of all: their words, and which of them want
/// nothing from this instance.
pub fn encode_for_holder(shared: &Shared, named: Option<&[UpstreamId]>) -> Words {
    let now = clock::now();
    let mut words = encode(shared, named);
    let upstreams = shared.upstreams();
    let is_named = |id: &UpstreamId| named.is_none_or(|named| named.contains(id));
    let resting = upstreams.resting(now).filter(|(id, _)| is_named(id));
    let resting = resting.map(|(id, until)| RestingUpstream {
        upstream: id.to_string(),
        started_at_ms: upstreams.started_at_ms(id),
        left_ms: millis(until.saturating_duration_since(now)),
    });
    words.resting = resting.collect();
    words
}

/// Takes in what another instance tells. Returns the upstreams that it tells of.
pub fn join(shared: &Shared, told: Words) -> Vec<UpstreamId> {
    let now = clock::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    let mut named = Vec::new();
    for told in told.limits {
        let start = UpstreamStart {
            upstream: UpstreamId::from(told.upstream),
            started_at_ms: told.started_at_ms,
        };
        if shared.upstreams().started_at_ms(&start.upstream) != start.started_at_ms {
            continue;
        }
        let word = LimitWord {
            per_s: told
                .per_s
                .filter(|per_s| per_s.is_finite() && *per_s >= 0.0),
            sent_at: ago(told.sent_ms_ago),
            heard_at: ago(told.heard_ms_ago),
        };
        note_limit(shared, &start, word);
        named.push(start.upstream);
    }
    for told in told.leaving {
        let start = UpstreamStart {
            upstream: UpstreamId::from(told.upstream),
            started_at_ms: told.started_at_ms,
        };
        leaves(shared, &start);
        named.push(start.upstream);
    }
    named
}
