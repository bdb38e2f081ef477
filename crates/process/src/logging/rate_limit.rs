//! How many lines may be written.

use std::time::Instant;

/// Part of the bound that only lines about the end of a request may use.
const REQUEST_END_RESERVED_RATIO: f64 = 0.5;
/// Lines may gather for this long while fewer are written, in seconds.
const BURST_S: f64 = 2.0;
/// Lines about decisions, as a part of the bound on all others, which they do not use: the
/// holder before 256 engines gives 250 orders a second on a calm day, at some 200 bytes each;
/// any other instance writes a few in all.
const DECISION_RATE_RATIO: f64 = 4.0;

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineClass {
    /// A decision that changes an engine, the right to order, or the configuration in force.
    Decision,
    /// The end of a request.
    RequestEnd,
    /// Anything else.
    Other,
}

/// Lines that may be written, as they come back with time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    lines_per_s: f64,
    tokens: f64,
}

impl Bucket {
    fn full(lines_per_s: f64) -> Self {
        Self {
            lines_per_s,
            tokens: lines_per_s * BURST_S,
        }
    }

    fn capacity(&self) -> f64 {
        self.lines_per_s * BURST_S
    }

    fn refill(&mut self, quiet_s: f64) {
        self.tokens = (self.tokens + self.lines_per_s * quiet_s).min(self.capacity());
    }

    /// Takes a line, if that leaves what is reserved for others.
    fn try_take(&mut self, reserved: f64) -> bool {
        let has_room = self.tokens - 1.0 >= reserved;
        if has_room {
            self.tokens -= 1.0;
        }
        has_room
    }
}

/// A bound on lines a second: lines about decisions never give way to those of requests, and
/// the ends of requests come before all that is left.
#[derive(Debug)]
pub struct LogRateLimit {
    decisions: Bucket,
    others: Bucket,
    refilled_at: Instant,
}

impl LogRateLimit {
    /// A full bound.
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        let lines_per_s = f64::from(lines_per_s);
        Self {
            decisions: Bucket::full(lines_per_s * DECISION_RATE_RATIO),
            others: Bucket::full(lines_per_s),
            refilled_at: now,
        }
    }

    /// Whether a line may be written now.
    pub fn admit(&mut self, class: LineClass, now: Instant) -> bool {
        let quiet_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.decisions.refill(quiet_s);
        self.others.refill(quiet_s);
        self.refilled_at = self.refilled_at.max(now);
        match class {
            LineClass::Decision => self.decisions.try_take(0.0),
            LineClass::RequestEnd => self.others.try_take(0.0),
            LineClass::Other => self
                .others
                .try_take(self.others.capacity() * REQUEST_END_RESERVED_RATIO),
        }
    }
}
