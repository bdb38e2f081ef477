//! The part of the fleet's retry allowance that one instance may spend.
//!
//! All instances together may send a service so many repeats in a window: a fixed
//! allowance and a share of its requests. Each instance spends the share on the
//! requests it took itself, and its part of the fixed allowance, so that no
//! agreement is needed and nothing is borrowed.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Part of the allowed ratio that is earned. What was earned in one window may be
/// spent in the next, so half of the ratio keeps each window inside the whole.
const RATIO_PART: f64 = 0.5;
/// Part of the fixed allowance that is spent. It comes back over one window, so a
/// window may see it twice.
const SLACK_PART: f64 = 0.45;
/// A service without requests for so many windows is forgotten: its part is whole again after
/// one, and what it earned has faded to 2% after four.
const FORGOTTEN_WINDOWS: f64 = 4.0;
/// Services that are kept before the first look for some to forget.
const SPARE_SERVICES: usize = 16;

/// The allowance of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window whatever the requests.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

/// What one service may still be sent.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    left: f64,
    /// Requests of about one window, as a count that fades.
    recent: f64,
    at: Instant,
}

/// Repeats that may still be sent, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    instances: f64,
    buckets: HashMap<ServiceName, Bucket>,
    /// With so many services it is looked whether some are gone from the configuration.
    look_at_services: usize,
}

impl RetryBudget {
    /// A full budget for one of `instances` instances.
    pub fn new(allowance: RetryAllowance, instances: usize) -> Self {
        Self {
            allowance,
            instances: count(instances),
            buckets: HashMap::new(),
            look_at_services: SPARE_SERVICES,
        }
    }

    /// Sets the allowance of the whole fleet.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// Sets how many instances share the fixed allowance.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = count(instances);
    }

    fn part(&self) -> f64 {
        self.allowance.slack * SLACK_PART / self.instances
    }

    /// Forgets services that are not asked for any more. One that comes back begins with its
    /// part, which it would have by then.
    fn forget_quiet(&mut self, now: Instant) {
        let longest_s = FORGOTTEN_WINDOWS * self.allowance.window_s;
        let quiet_s = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        self.buckets
            .retain(|_, bucket| quiet_s(bucket.at) < longest_s);
        self.look_at_services = 2 * self.buckets.len() + SPARE_SERVICES;
    }

    fn bucket(&mut self, service: &ServiceName, now: Instant) -> &mut Bucket {
        if self.buckets.len() >= self.look_at_services {
            self.forget_quiet(now);
        }
        let part = self.part();
        let window_s = self.allowance.window_s;
        let earned = self.allowance.ratio * RATIO_PART;
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            left: part,
            recent: 0.0,
            at: now,
        });
        let quiet_s = now.saturating_duration_since(bucket.at).as_secs_f64();
        bucket.at = now;
        bucket.recent *= (-quiet_s / window_s).exp();
        // The fixed part comes back over a window; what was earned fades with its requests.
        let most = part + earned * bucket.recent;
        bucket.left = (bucket.left + part * quiet_s / window_s).min(most);
        bucket
    }

    /// A request for the service was taken.
    pub fn requested(&mut self, service: &ServiceName, now: Instant) {
        let earned = self.allowance.ratio * RATIO_PART;
        let bucket = self.bucket(service, now);
        bucket.recent += 1.0;
        bucket.left += earned;
    }

    /// Spends one repeat if there is one left.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        let bucket = self.bucket(service, now);
        if bucket.left < 1.0 {
            return false;
        }
        bucket.left -= 1.0;
        true
    }
}

/// A count as a divisor; at least one.
fn count(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
