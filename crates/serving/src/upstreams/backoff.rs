//! The backoff that an upstream has asked this instance for.
//!
//! The upstream receives no request before the backoff ends, and then one at a time until an
//! answer shows that it accepts requests again. Otherwise all requests that have waited for it
//! would arrive at once.

use passway_types::prelude::*;

/// Interval between two requests to an upstream that has not yet shown that it accepts them again.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// An upstream's backoff as known to this instance.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    /// The latest end of the requested backoffs; `None` without one, or once an answer has shown
    /// that it is over.
    until: Option<Instant>,
    /// When the last request was sent after the backoff.
    last_trial_at: Option<Instant>,
}

impl Backoff {
    /// Extends the backoff to a time. Of several requested backoffs the one that ends last counts.
    pub(super) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(Some(until));
        self.last_trial_at = None;
    }

    /// Records an answer without backoff to a request that was sent at `sent_at`. Returns whether
    /// the backoff is over: an answer to a request from before its end says nothing about it.
    pub(super) fn record_no_backoff(&mut self, sent_at: Instant) -> bool {
        let is_over = self.until.is_none_or(|until| sent_at >= until);
        if is_over {
            *self = Self::default();
        }
        is_over
    }

    /// Until when no request may be sent; `None` if a request may be sent now.
    pub(super) fn blocked_until(&self, now: Instant) -> Option<Instant> {
        let until = self.until?;
        let admits_at = self
            .last_trial_at
            .map_or(until, |at| until.max(at + TRIAL_INTERVAL));
        Some(admits_at).filter(|at| now < *at)
    }

    /// Whether the requested backoff has not ended yet.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Admits a request if one may be sent now.
    pub(super) fn try_admit(&mut self, now: Instant) -> bool {
        let is_admitted = self.blocked_until(now).is_none();
        if is_admitted && self.until.is_some() {
            self.last_trial_at = Some(now);
        }
        is_admitted
    }
}
