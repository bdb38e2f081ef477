//! How long upstreams usually take to the first byte of an answer, by route.
//!
//! An upstream that is silent for less than that is at work, not gone. In a large fleet an
//! instance has one run at an engine, so that nothing else tells it that the engine lives: of
//! the calm day's lost answers most had been left after 1.2 s, which is usual for a request
//! that waits in an engine's queue.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Weight of the newest time in the mean, and in the mean deviation (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that are still usual (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// So few times tell nothing yet.
const FEWEST: u32 = 8;
/// Times of a route's goal that are usual until enough is known.
const UNKNOWN_GOALS: f64 = 4.0;
/// Routes that are kept; those of a configuration, and some that are gone from it.
const MOST_ROUTES: usize = 1_024;

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
    count: u32,
}

/// Times to the first byte, by route.
#[derive(Debug, Default)]
pub struct FirstByteTimes {
    routes: HashMap<Arc<str>, Estimate>,
}

impl FirstByteTimes {
    /// An answer to a request of a route began after some time.
    pub fn observe(&mut self, route: &Arc<str>, after: Duration) {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let after_s = after.as_secs_f64();
        let estimate = self.routes.entry(route.clone()).or_default();
        estimate.count = estimate.count.saturating_add(1);
        if estimate.count == 1 {
            estimate.mean_s = after_s;
            estimate.deviation_s = after_s / 2.0;
            return;
        }
        let off_s = after_s - estimate.mean_s;
        estimate.deviation_s += DEVIATION_WEIGHT * (off_s.abs() - estimate.deviation_s);
        estimate.mean_s += MEAN_WEIGHT * off_s;
    }

    /// The longest usual time to the first byte on a route with a goal.
    pub fn usual_max(&self, route: &str, goal: Duration) -> Duration {
        let known = self.routes.get(route).filter(|e| e.count >= FEWEST);
        match known {
            Some(estimate) => {
                let longest_s = estimate.mean_s + DEVIATIONS * estimate.deviation_s;
                Duration::from_secs_f64(longest_s)
            }
            None => goal.mul_f64(UNKNOWN_GOALS),
        }
    }
}
