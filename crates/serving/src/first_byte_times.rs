//! How long upstreams usually take until the first byte of an answer, by route.
//!
//! An upstream that is silent for less than that is working, not lost. In a large fleet an
//! instance has one run on an engine and thus no other sign that the engine is alive. Most answers
//! that were lost on a day without incidents had been abandoned after 1.2 s, which is usual for a
//! request that waits in an engine's queue.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Weight of the newest time in the mean, and in the mean deviation (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that still count as usual (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 8;
/// Usual time without an estimate, in multiples of the route's latency target.
const DEFAULT_TARGETS: f64 = 4.0;
/// Maximum number of routes, enough for a configuration and some routes that were removed from it.
const MAX_ROUTES: usize = 1_024;

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
    /// Records the time until an answer to a request of a route began.
    pub fn observe(&mut self, route: &Arc<str>, elapsed: Duration) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let elapsed_s = elapsed.as_secs_f64();
        let estimate = self.routes.entry(route.clone()).or_default();
        estimate.count = estimate.count.saturating_add(1);
        if estimate.count == 1 {
            estimate.mean_s = elapsed_s;
            estimate.deviation_s = elapsed_s / 2.0;
            return;
        }
        let error_s = elapsed_s - estimate.mean_s;
        estimate.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - estimate.deviation_s);
        estimate.mean_s += MEAN_WEIGHT * error_s;
    }

    /// The longest usual time to the first byte on a route with this latency target.
    pub fn usual_max(&self, route: &str, latency_target: Duration) -> Duration {
        let known = self
            .routes
            .get(route)
            .filter(|estimate| estimate.count >= MIN_SAMPLES);
        match known {
            Some(estimate) => {
                let longest_s = estimate.mean_s + DEVIATIONS * estimate.deviation_s;
                Duration::from_secs_f64(longest_s)
            }
            None => latency_target.mul_f64(DEFAULT_TARGETS),
        }
    }
}
