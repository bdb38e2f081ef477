//! How many engines the holder asks for their state.
//!
//! A term begins with a question to each engine. A thousand of them at one moment take two seconds of a
//! quarter of a core, in which the holder's lease runs out; its successor would do the same. So they are spread.

use passway_types::prelude::*;

/// QueryBudget a second: each takes half a millisecond of a core.
const QUERIES_PER_S: f64 = 100.0;
/// QueryBudget at once, so that a small fleet is known at once.
const BURST: f64 = 32.0;
/// Pause after which there is room for another question.
const REFILL_INTERVAL: Duration = Duration::from_millis(10);

/// Room for questions that nothing but a new term asks for.
#[derive(Debug)]
pub(super) struct QueryBudget {
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Whether there was none for an engine when it was looked for last.
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
    /// A pass begins.
    pub(super) fn refill(&mut self, now: Instant) {
        let last_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(last_at).as_secs_f64();
        self.tokens = (self.tokens + QUERIES_PER_S * elapsed_s).min(BURST);
        self.was_exhausted = false;
    }

    /// Whether an engine may be asked now.
    pub(super) fn try_take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        self.was_exhausted |= !is_available;
        is_available
    }

    /// When an engine can be asked that could not be.
    pub(super) fn next_available_at(&self) -> Option<Instant> {
        let refilled_at = self.refilled_at.filter(|_| self.was_exhausted)?;
        Some(refilled_at + REFILL_INTERVAL)
    }
}
