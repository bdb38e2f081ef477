//! What upstreams say that they take a second.
//!
//! An upstream in need names in its answers how many requests a second it takes from all instances
//! together, for as long as it says so. Answers overtake each other, and many instances hear them, so
//! words have an order of their own ([`ObservedLimit::replaces`]). They live and die with the start of
//! the upstream that said them.
//!
//! There is no I/O and no clock here.

use crate::allotment::QuotaBounds;
use crate::workspaces::Allotment;
use passway_types::prelude::*;
use std::collections::HashMap;

/// What the head of an answer says about how much its upstream takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSignal {
    /// Nothing: the upstream is in no need.
    Absent,
    /// So many requests a second, from all instances together; finite and not below 0.
    PerSecond(f64),
    /// It says something that cannot be read, so that what was known before stays.
    Unusable,
}

/// A limit that an upstream named, or that it names none, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedLimit {
    /// Requests a second; `None` if the upstream is in no need.
    pub per_s: Option<f64>,
    /// When the request was sent whose answer says so: the upstream said it after that.
    pub sent_at: Instant,
    /// When the answer's head was there: the upstream said it before that.
    pub received_at: Instant,
}

impl ObservedLimit {
    /// Whether this is what holds now, with another word known.
    ///
    /// A word whose request was sent after the other was heard is the newer one for certain. Of two
    /// that may have overtaken each other the one that allows less counts, until the next.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.sent_at >= known.received_at {
            return true;
        }
        if known.sent_at >= self.received_at {
            return false;
        }
        let allowed = |word: &Self| word.per_s.unwrap_or(f64::INFINITY);
        allowed(self) < allowed(known)
    }
}

/// The least that an upstream gets that takes nothing: a request in ten seconds, whose answer tells
/// whether it still does.
const LEAST_PER_S: f64 = 0.1;
/// What may go at once, as time at the limit; at least one request. Callers come by chance, and an
/// upstream that takes ten a second is not hurt by three at a time.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Part of the limit that all instances together send while nobody counts. With what the counter
/// before and the one after let pass it stays below one and a half times the limit over four seconds.
const UNCOUNTED_PART: f64 = 0.25;
/// What an instance may save up of its share, as time: all of them may send what they have saved in the
/// moment when the counter is lost.
const SAVED_TIME: Duration = Duration::from_secs(1);

/// What an upstream with a limit may get: exactly that, over all instances.
pub fn allotment(per_s: f64) -> Allotment {
    let rate_per_s = per_s.max(LEAST_PER_S);
    Allotment {
        rate_per_s,
        burst: (rate_per_s * BURST_TIME.as_secs_f64()).max(1.0),
    }
}

/// Nothing may be sent beyond the limit: the margin that upstreams have is for what is on its way
/// and for changes of the counter.
pub const NO_OVERAGE: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(4),
    overage: 0.0,
    slack: 0.0,
};

#[derive(Debug, Clone, Copy)]
struct Share {
    level: f64,
    at: Instant,
}

/// What one instance sends to limited upstreams while it cannot ask the counter.
#[derive(Debug, Default)]
pub struct FallbackLimits(HashMap<UpstreamId, Share>);

impl FallbackLimits {
    /// Whether a request may go without being counted, in a fleet of so many instances.
    ///
    /// A share of one three-hundredth of a request a second never holds a request. So a request goes
    /// with the chance that the share is of one, by a number drawn from 0 to 1, and takes the share in either
    /// case: all instances together send what their shares are, up to a request or two.
    pub fn try_take(
        &mut self,
        upstream: &UpstreamId,
        per_s: f64,
        instances: usize,
        drawn: f64,
        now: Instant,
    ) -> bool {
        let Some(instances) = u32::try_from(instances).ok().filter(|count| *count > 0) else {
            return false;
        };
        let rate_per_s = allotment(per_s).rate_per_s * UNCOUNTED_PART / f64::from(instances);
        let share = self.0.entry(upstream.clone());
        let share = share.or_insert(Share {
            level: 0.0,
            at: now,
        });
        let passed = now.saturating_duration_since(share.at).min(SAVED_TIME);
        let chance = share.level + rate_per_s * passed.as_secs_f64();
        *share = Share {
            level: (chance - 1.0).max(0.0),
            at: now,
        };
        drawn < chance
    }

    /// Forgets upstreams that name no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.0.retain(|upstream, _| is_limited(upstream));
    }
}
