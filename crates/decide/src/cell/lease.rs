//! The lease of a term: how long it can be relied on and when it is renewed.

use passway_types::prelude::*;

/// The lease is renewed after this part of its time.
const RENEWAL_DIVISOR: u32 = 3;

/// A lease that was granted.
#[derive(Debug)]
pub(super) struct HeldLease {
    valid_until: Instant,
    renew_at: Instant,
    is_renewing: bool,
}

impl HeldLease {
    /// A lease that can be relied on until a moment.
    pub(super) fn new(now: Instant, valid_until: Instant) -> Self {
        Self {
            valid_until,
            renew_at: now + valid_until.saturating_duration_since(now) / RENEWAL_DIVISOR,
            is_renewing: false,
        }
    }

    /// The moment until which it can be relied on.
    pub(super) fn valid_until(&self) -> Instant {
        self.valid_until
    }

    /// Whether it is to be renewed now; then a renewal counts as begun.
    pub(super) fn begin_renewal(&mut self, now: Instant) -> bool {
        let is_due = now >= self.renew_at && !self.is_renewing;
        self.is_renewing |= is_due;
        is_due
    }

    /// It was renewed until a moment.
    pub(super) fn renewed(&mut self, valid_until: Instant) {
        let renewal_due_at = self.renew_at;
        self.is_renewing = false;
        self.valid_until = self.valid_until.max(valid_until);
        self.renew_at = renewal_due_at
            + valid_until.saturating_duration_since(renewal_due_at) / RENEWAL_DIVISOR;
    }

    /// The renewal was not answered; it is tried again after a delay.
    pub(super) fn renewal_failed(&mut self, delay: Duration) {
        self.is_renewing = false;
        self.renew_at += delay;
    }
}
