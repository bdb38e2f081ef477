//! Limits the rate of state queries to engines.
//!
//! A term begins with a query to each engine. A thousand queries at once take two seconds on a
//! quarter of a core; meanwhile the holder's lease expires, and its successor would fail in the
//! same way. A token bucket spreads these queries.

use passway_types::prelude::*;

/// Queries per second; each takes half a millisecond of CPU time.
const QUERIES_PER_S: f64 = 100.0;
/// Maximum number of queries at once; lets a small fleet be queried at once.
const BURST: f64 = 32.0;
/// Time after which a token is available again.
const REFILL_INTERVAL: Duration = Duration::from_millis(10);

/// Token bucket for queries whose only reason is an unknown order count, as after the start of a
/// term.
#[derive(Debug)]
pub(super) struct QueryBudget {
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Whether an engine found no token in the current pass.
    was_exhausted: bool,
}

impl Default for QueryBudget {
    fn default() -> Self {
        Self {
            tokens: BURST,
            refilled_at: None,
            was_exhausted: false,
        }
    }
}

impl QueryBudget {
    /// Begins a pass and refills the bucket.
    pub(super) fn refill(&mut self, now: Instant) {
        let last_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(last_at).as_secs_f64();
        self.tokens = (self.tokens + QUERIES_PER_S * elapsed_s).min(BURST);
        self.was_exhausted = false;
    }

    /// Takes a token; returns whether one was available.
    pub(super) fn try_take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        self.was_exhausted |= !is_available;
        is_available
    }

    /// When to try again; `None` if every engine found a token.
    pub(super) fn next_available_at(&self) -> Option<Instant> {
        let refilled_at = self.refilled_at.filter(|_| self.was_exhausted)?;
        Some(refilled_at + REFILL_INTERVAL)
    }
}
