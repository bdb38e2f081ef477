//! The part of the fleet's retry allowance that one instance may spend.
//!
//! All instances together may send a service so many repeats in a window: a fixed
//! allowance and a share of its requests. Each instance spends the share on the
//! requests it took itself, and its part of the fixed allowance, so that no
//! agreement is needed and nothing is borrowed.

use std::collections::HashMap;

use passway_types::prelude::*;

/// Part of the allowed ratio that is spent; the rest covers requests that are
/// counted in another window than their repeats.
const RATIO_PART: f64 = 0.7;
/// Part of the fixed allowance that is spent, for instances that restart with a full bucket.
const SLACK_PART: f64 = 0.8;

/// The allowance of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window whatever the requests.
    pub slack: f64,
}

/// Repeats that may still be sent, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    instances: f64,
    left: HashMap<ServiceName, f64>,
}

impl RetryBudget {
    /// A full budget for one of `instances` instances.
    pub fn new(allowance: RetryAllowance, instances: usize) -> Self {
        Self {
            allowance,
            instances: count(instances),
            left: HashMap::new(),
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

    fn cap(&self) -> f64 {
        self.allowance.slack * SLACK_PART / self.instances
    }

    /// A request for the service was taken.
    pub fn requested(&mut self, service: &ServiceName) {
        let cap = self.cap();
        let left = self.left.entry(service.clone()).or_insert(cap);
        *left = (*left + self.allowance.ratio * RATIO_PART).min(cap);
    }

    /// Spends one repeat if there is one left.
    pub fn try_spend(&mut self, service: &ServiceName) -> bool {
        let cap = self.cap();
        let left = self.left.entry(service.clone()).or_insert(cap);
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }
}

/// A count as a divisor; at least one.
fn count(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
