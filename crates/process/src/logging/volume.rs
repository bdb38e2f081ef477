//! How many lines may be written.

use std::time::Instant;

/// Part of the bound that only lines about the end of a request may use.
const RESERVED_PART: f64 = 0.5;
/// Lines may gather for this long while fewer are written, in seconds.
const BURST_S: f64 = 2.0;

/// A bound on lines a second, in which the ends of requests come first.
#[derive(Debug)]
pub struct VolumeBound {
    lines_per_s: f64,
    left: f64,
    at: Instant,
}

impl VolumeBound {
    /// A full bound.
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        let lines_per_s = f64::from(lines_per_s);
        Self {
            lines_per_s,
            left: lines_per_s * BURST_S,
            at: now,
        }
    }

    /// Whether a line may be written now.
    pub fn admit(&mut self, ends_request: bool, now: Instant) -> bool {
        let quiet_s = now.saturating_duration_since(self.at).as_secs_f64();
        let most = self.lines_per_s * BURST_S;
        self.left = (self.left + self.lines_per_s * quiet_s).min(most);
        self.at = self.at.max(now);
        let reserved = if ends_request {
            0.0
        } else {
            most * RESERVED_PART
        };
        if self.left - 1.0 < reserved {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
