//! The rest that an upstream has asked this instance for.
//!
//! It gets nothing before the rest is over, and then one request at a time until an answer shows that it
//! takes them again: all that have waited for it would else arrive in the same moment.

use passway_types::prelude::*;

/// Pause between two requests to an upstream that has not shown yet that it takes them again.
const RETURN_STEP: Duration = Duration::from_millis(250);

/// An upstream's rest, as far as this instance has heard of one.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    /// The end of the rest that ends last; `None` without one, or once an answer has shown that it is over.
    until: Option<Instant>,
    /// When the last request went there after the rest.
    tried_at: Option<Instant>,
}

impl Backoff {
    /// It asks for rest until a moment. Of several rests the one that ends last counts.
    pub(super) fn begin(&mut self, until: Instant) {
        self.until = self.until.max(Some(until));
        self.tried_at = None;
    }

    /// An answer to what was sent at a moment asks for no rest. Returns whether the rest is over: what was
    /// sent before its end says nothing of it.
    pub(super) fn record_no_backoff_answer(&mut self, sent_at: Instant) -> bool {
        let is_over = self.until.is_none_or(|until| sent_at >= until);
        if is_over {
            *self = Self::default();
        }
        is_over
    }

    /// Until when nothing may go there; `None` if a request may go now.
    pub(super) fn blocked_until(&self, now: Instant) -> Option<Instant> {
        let until = self.until?;
        let opens_at = self
            .tried_at
            .map_or(until, |at| until.max(at + RETURN_STEP));
        Some(opens_at).filter(|at| now < *at)
    }

    /// Whether the time that it asked for is not over.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Lets a request through if one may go now.
    pub(super) fn try_admit(&mut self, now: Instant) -> bool {
        let is_open = self.blocked_until(now).is_none();
        if is_open && self.until.is_some() {
            self.tried_at = Some(now);
        }
        is_open
    }
}
