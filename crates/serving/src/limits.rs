//! Rate limits that upstreams advertise.
//!
//! A limited upstream names in its answers how many requests a second it accepts from all
//! instances together, until an answer names no limit. Answers overtake each other and reach many
//! instances, so advertised limits have an order of their own ([`ObservedLimit::replaces`]). They
//! apply only to the start of the upstream that sent them.
//!
//! This module uses no I/O and no clock.

use crate::allotment::QuotaBounds;
use crate::workspaces::Allotment;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;

/// The limit that the head of an answer advertises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSignal {
    /// No limit.
    Absent,
    /// Requests a second from all instances together; finite and not below 0.
    PerSecond(f64),
    /// The value cannot be parsed, so the limit known before stays.
    Unusable,
}

/// A limit that an upstream advertised, or that it advertised none, with the time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedLimit {
    /// Requests a second; `None` if the upstream is not limited.
    pub per_s: Option<f64>,
    /// When the request was sent whose answer carries the limit: a lower bound for the time at
    /// which the upstream advertised it.
    pub sent_at: Instant,
    /// When the head of the answer was received: an upper bound for that time.
    pub received_at: Instant,
}

impl ObservedLimit {
    /// Whether this limit replaces another known one.
    ///
    /// A limit whose request was sent after the other was received is certainly newer. If the two
    /// may have overtaken each other, the lower limit applies until the next one.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.sent_at >= known.received_at {
            return true;
        }
        if known.sent_at >= self.received_at {
            return false;
        }
        let allowed = |limit: &Self| limit.per_s.unwrap_or(f64::INFINITY);
        allowed(self) < allowed(known)
    }
}

/// Minimum rate for an upstream that accepts nothing: one request in ten seconds, whose answer
/// shows whether that is still so.
const MIN_PER_S: f64 = 0.1;
/// Burst as time at the limit; at least one request. Callers arrive at random, and three requests
/// at a time do not harm an upstream that accepts ten a second.
const BURST_DURATION: Duration = Duration::from_millis(250);
/// Fraction of the limit that all instances together send while there is no coordinator. With what
/// the previous and the next coordinator grant, the total stays below one and a half times the
/// limit over four seconds.
const UNCOORDINATED_FRACTION: f64 = 0.25;
/// Maximum time for which an instance accumulates its share: all instances may send what they have
/// accumulated at the instant when the coordinator is lost.
const MAX_ACCUMULATION: Duration = Duration::from_secs(1);

/// The allotment of an upstream with this limit, exactly the limit over all instances.
pub fn allotment(per_s: f64) -> Allotment {
    let rate_per_s = per_s.max(MIN_PER_S);
    Allotment {
        rate_per_s,
        burst: (rate_per_s * BURST_DURATION.as_secs_f64()).max(1.0),
    }
}

/// Allows nothing beyond the limit: the margin of upstreams is reserved for requests in flight and
/// for changes of the coordinator.
pub const NO_OVERAGE: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(4),
    overage: 0.0,
    slack: 0.0,
};

#[derive(Debug, Clone, Copy)]
struct FallbackBucket {
    level: f64,
    at: Instant,
}

/// What one instance sends to limited upstreams while it cannot ask the coordinator.
#[derive(Debug, Default)]
pub struct FallbackLimits(HashMap<UpstreamId, FallbackBucket>);

impl FallbackLimits {
    /// Whether a request may be sent without the coordinator, in a fleet of this many instances.
    ///
    /// A share of one three-hundredth of a request a second never covers a whole request. So a
    /// request passes with a probability equal to the accumulated fraction, compared with `random`
    /// between 0 and 1, and uses up that fraction in either case. All instances together send what
    /// their shares add up to, give or take a request or two.
    pub fn try_take(
        &mut self,
        upstream: &UpstreamId,
        per_s: f64,
        instances: usize,
        random: f64,
        now: Instant,
    ) -> bool {
        let Some(instances) = u32::try_from(instances).ok().filter(|count| *count > 0) else {
            return false;
        };
        let rate_per_s =
            allotment(per_s).rate_per_s * UNCOORDINATED_FRACTION / f64::from(instances);
        let bucket = self.0.entry(upstream.clone());
        let bucket = bucket.or_insert(FallbackBucket {
            level: 0.0,
            at: now,
        });
        let elapsed = clock::advance(&mut bucket.at, now).min(MAX_ACCUMULATION);
        let available = bucket.level + rate_per_s * elapsed.as_secs_f64();
        bucket.level = (available - 1.0).max(0.0);
        random < available
    }

    /// Removes upstreams that advertise no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.0.retain(|upstream, _| is_limited(upstream));
    }
}
