//! Limits the rate of log lines.

use std::time::Instant;

/// Ratio of the burst that is reserved for lines about the end of a request.
const REQUEST_END_RESERVED_RATIO: f64 = 0.5;
/// Size of the burst, as the time in which it refills, in seconds.
const BURST_S: f64 = 2.0;
/// Rate limit of lines about decisions, as a ratio of the rate limit of all other lines. The two
/// limits are independent. With 256 engines, the holder sends 250 orders per second in normal
/// operation and logs a line of about 200 bytes for each; any other instance logs only a few decisions
/// in total.
const DECISION_RATE_RATIO: f64 = 4.0;

/// The subject of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineClass {
    /// A decision that changes an engine, the leadership or the active configuration.
    Decision,
    /// The end of a request.
    RequestEnd,
    /// Any other subject.
    Other,
}

/// A token bucket with one token per line.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    lines_per_s: f64,
    tokens: f64,
}

impl Bucket {
    /// Creates a full bucket.
    fn full(lines_per_s: f64) -> Self {
        Self {
            lines_per_s,
            tokens: lines_per_s * BURST_S,
        }
    }

    /// The size of the burst.
    fn capacity(&self) -> f64 {
        self.lines_per_s * BURST_S
    }

    /// Adds the tokens of an elapsed time.
    fn refill(&mut self, elapsed_s: f64) {
        self.tokens = (self.tokens + self.lines_per_s * elapsed_s).min(self.capacity());
    }

    /// Takes a token if at least `reserved` tokens remain. Returns whether it was taken.
    fn try_take(&mut self, reserved: f64) -> bool {
        let has_capacity = self.tokens - 1.0 >= reserved;
        if has_capacity {
            self.tokens -= 1.0;
        }
        has_capacity
    }
}

/// A rate limit for log lines.
///
/// Lines about decisions have a limit of their own, so that lines about requests never displace
/// them. Lines about the end of a request take precedence over other lines.
#[derive(Debug)]
pub struct LogRateLimit {
    decisions: Bucket,
    others: Bucket,
    refilled_at: Instant,
}

impl LogRateLimit {
    /// Creates a rate limit with a full burst.
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        let lines_per_s = f64::from(lines_per_s);
        Self {
            decisions: Bucket::full(lines_per_s * DECISION_RATE_RATIO),
            others: Bucket::full(lines_per_s),
            refilled_at: now,
        }
    }

    /// Returns whether a line may be written now.
    pub fn admit(&mut self, class: LineClass, now: Instant) -> bool {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.decisions.refill(elapsed_s);
        self.others.refill(elapsed_s);
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
