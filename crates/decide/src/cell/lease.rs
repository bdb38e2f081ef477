//! The lease of a term: how long it can be relied on and when it is renewed.

use passway_types::prelude::*;

/// The lease is renewed after this part of its time.
const RENEW_DIVISOR: u32 = 3;

/// A lease that was granted.
#[derive(Debug)]
pub(super) struct HeldLease {
    until: Instant,
    renew_at: Instant,
    renewing: bool,
}

impl HeldLease {
    /// A lease that can be relied on until a moment.
    pub(super) fn new(now: Instant, until: Instant) -> Self {
        Self {
            until,
            renew_at: now + until.saturating_duration_since(now) / RENEW_DIVISOR,
            renewing: false,
        }
    }

    /// The moment until which it can be relied on.
    pub(super) fn until(&self) -> Instant {
        self.until
    }

    /// Whether it is to be renewed now; then a renewal counts as begun.
    pub(super) fn begin_renewal(&mut self, now: Instant) -> bool {
        let due = now >= self.renew_at && !self.renewing;
        self.renewing |= due;
        due
    }

    /// It was renewed until a moment.
    pub(super) fn renewed(&mut self, until: Instant) {
        let granted_at = self.renew_at;
        self.renewing = false;
        self.until = self.until.max(until);
        self.renew_at = granted_at + until.saturating_duration_since(granted_at) / RENEW_DIVISOR;
    }

    /// The renewal was not answered; it is tried again after a pause.
    pub(super) fn renewal_failed(&mut self, pause: Duration) {
        self.renewing = false;
        self.renew_at += pause;
    }
}
