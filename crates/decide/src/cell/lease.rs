//! The lease of a term: until when the lease can be relied on and when to renew it.

use passway_types::prelude::*;

/// The lease is renewed after this fraction of its duration.
const RENEWAL_DIVISOR: u32 = 3;

/// A granted lease.
#[derive(Debug)]
pub(super) struct HeldLease {
    valid_until: Instant,
    renew_at: Instant,
    /// When the renewal in flight was requested; `None` if no renewal is in flight.
    renewing_since: Option<Instant>,
    /// When the last renewal that has ended was requested, if it got no answer.
    unanswered_since: Option<Instant>,
}

impl HeldLease {
    /// Returns a lease that can be relied on until `valid_until`.
    pub(super) fn new(now: Instant, valid_until: Instant) -> Self {
        Self {
            valid_until,
            renew_at: now + valid_until.saturating_duration_since(now) / RENEWAL_DIVISOR,
            renewing_since: None,
            unanswered_since: None,
        }
    }

    /// Returns the time until which the lease can be relied on.
    pub(super) fn valid_until(&self) -> Instant {
        self.valid_until
    }

    /// Returns when the renewal in flight was requested, if one is.
    pub(super) fn renewing_since(&self) -> Option<Instant> {
        self.renewing_since
    }

    /// Returns when the last renewal that has ended was requested, if it got no answer.
    pub(super) fn unanswered_since(&self) -> Option<Instant> {
        self.unanswered_since
    }

    /// Whether a renewal is due. If so, the renewal counts as started.
    pub(super) fn begin_renewal(&mut self, now: Instant) -> bool {
        let is_due = now >= self.renew_at && self.renewing_since.is_none();
        if is_due {
            self.renewing_since = Some(now);
        }
        is_due
    }

    /// Records a renewal until `valid_until`.
    pub(super) fn renewed(&mut self, valid_until: Instant) {
        let renewal_due_at = self.renew_at;
        self.renewing_since = None;
        self.unanswered_since = None;
        self.valid_until = self.valid_until.max(valid_until);
        self.renew_at = renewal_due_at
            + valid_until.saturating_duration_since(renewal_due_at) / RENEWAL_DIVISOR;
    }

    /// Records that a renewal got no answer, and schedules the next attempt after `delay`.
    pub(super) fn renewal_failed(&mut self, delay: Duration) {
        self.unanswered_since = self.renewing_since.take();
        self.renew_at += delay;
    }
}
