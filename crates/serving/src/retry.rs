//! The share of the fleet's retry budget that one instance may spend.
//!
//! All instances together may send a service a limited number of retries in a window: a fixed
//! allowance and a ratio of its requests. Each instance spends the ratio on the requests that it
//! received itself, and its share of the fixed allowance. So instances need no agreement and
//! borrow nothing.

use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Fraction of the allowed ratio that is earned. What was earned in one window may be spent in the
/// next, so half of the ratio keeps each window within the whole ratio.
const EARNED_RATIO_FRACTION: f64 = 0.5;
/// Fraction of the fixed allowance that is spent. It is refilled over one window, so a window may
/// see it twice.
const SLACK_FRACTION: f64 = 0.45;
/// For this many windows the allowance is shared among the largest recent number of instances: a
/// window may see what those spent and what they had earned in the previous window.
const INSTANCE_COUNT_WINDOWS: f64 = 2.0;
/// Time in which instances connect to a new holder: one retry of their connections, and some time
/// for those that relied on the previous holder until it became silent.
const RECONNECT_DURATION: Duration = Duration::from_secs(3);
/// A service without requests for this many windows is removed: its share is full again after one
/// window, and what it earned has decayed to 2% after four.
const IDLE_WINDOWS: f64 = 4.0;
/// Number of services before the first check for idle ones.
const MIN_CLEANUP_THRESHOLD: usize = 16;

/// The retry allowance of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window independent of the number of requests.
    pub slack: f64,
    /// The length of the window, in seconds.
    pub window_s: f64,
}

/// The retries that one service may still be sent.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    available: f64,
    /// Requests of about the last window, as a decaying count.
    recent_requests: f64,
    /// The time up to which the other values are computed.
    at: Instant,
}

/// What one service may still be sent, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBalance {
    /// Retries that may be spent now.
    pub available: f64,
    /// Requests of about the last window, which earned a part of these retries.
    pub recent_requests: f64,
}

/// How many instances share the allowance, as a holder sees them connect.
///
/// While a fleet moves to a new holder, the instances connect one after another. If each were
/// assigned a share among only the few connected so far, all shares together would be many times
/// the allowance.
///
/// If consecutive terms of one holder are each too short for all instances to connect, they count
/// as one.
#[derive(Debug, Clone, Copy)]
pub struct InstanceCount {
    known_at: Instant,
    /// Until then more instances may still connect than are connected.
    settled_at: Instant,
    /// The highest number connected at one time, until the instances had time to connect.
    max_instances: usize,
}

impl InstanceCount {
    /// Starts a term.
    pub fn start_term(now: Instant) -> Self {
        let known_at = now + RECONNECT_DURATION;
        Self {
            known_at,
            settled_at: known_at,
            max_instances: 0,
        }
    }

    /// Starts the holder's next term when no other instance held one in between: the same
    /// instances connect again.
    pub fn continue_term(&mut self, now: Instant) {
        self.settled_at = now + RECONNECT_DURATION;
    }

    /// The number of instances to share among when this many are connected; `None` while others
    /// may still connect.
    pub fn sharing_instances(&mut self, instances: usize, now: Instant) -> Option<usize> {
        let is_settled = now >= self.settled_at;
        self.max_instances = if is_settled {
            instances
        } else {
            self.max_instances.max(instances)
        };
        (now >= self.known_at).then_some(self.max_instances)
    }
}

/// A reported number of instances, and until when it counts although fewer are connected.
#[derive(Debug, Clone, Copy)]
struct ReportedCount {
    instances: f64,
    counts_until: Instant,
}

/// Retries that may still be sent, by service.
///
/// A process starts with no retries and accumulates its share of the fixed allowance over a
/// window: the previous process may have spent that share, and the fleet's size is unknown until
/// it is reported. What the process earns by its own requests it may spend at once.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// The reported numbers that still count, the largest first; empty until the first report.
    instances: Vec<ReportedCount>,
    /// When the first number was reported.
    first_report_at: Option<Instant>,
    buckets: HashMap<ServiceName, Bucket>,
    /// The number of services at which idle ones are removed.
    cleanup_threshold: usize,
}

impl RetryBudget {
    /// Creates an empty budget for an instance that does not know the fleet's size.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            instances: Vec::new(),
            first_report_at: None,
            buckets: HashMap::new(),
            cleanup_threshold: MIN_CLEANUP_THRESHOLD,
        }
    }

    /// Sets the allowance of the whole fleet.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// Records how many instances share the fixed allowance now. A higher number counts at once, a
    /// lower one only when no window includes the other instances any more.
    pub fn set_instances(&mut self, instances: usize, now: Instant) {
        let instances = divisor(instances);
        self.first_report_at.get_or_insert(now);
        let window_s = INSTANCE_COUNT_WINDOWS * self.allowance.window_s;
        let counts_until = now + Duration::from_secs_f64(window_s);
        self.instances
            .retain(|report| report.instances > instances && report.counts_until > now);
        self.instances.push(ReportedCount {
            instances,
            counts_until,
        });
    }

    /// One instance's share of the fixed allowance.
    fn slack_share(&self, now: Instant) -> f64 {
        let slack = self.allowance.slack * SLACK_FRACTION;
        // The latest report counts until the next one.
        let newest = self.instances.last();
        let mut counted = self
            .instances
            .iter()
            .filter(|report| report.counts_until > now);
        let largest = counted.next().or(newest);
        largest.map_or(0.0, |largest| slack / largest.instances)
    }

    /// Removes services without recent requests. If such a service receives requests again, it
    /// begins with its share, which it would have accumulated by then.
    fn remove_idle(&mut self, now: Instant) {
        let max_idle_s = IDLE_WINDOWS * self.allowance.window_s;
        let idle_s = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        self.buckets
            .retain(|_, bucket| idle_s(bucket.at) < max_idle_s);
        self.cleanup_threshold = 2 * self.buckets.len() + MIN_CLEANUP_THRESHOLD;
    }

    fn bucket(&mut self, service: &ServiceName, now: Instant) -> &mut Bucket {
        if self.buckets.len() >= self.cleanup_threshold {
            self.remove_idle(now);
        }
        let share = self.slack_share(now);
        let window_s = self.allowance.window_s;
        let earned_per_request = self.allowance.ratio * EARNED_RATIO_FRACTION;
        let known_s = self.first_report_at.map_or(0.0, |at| {
            let elapsed = now.saturating_duration_since(at);
            elapsed.as_secs_f64()
        });
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            available: share * (known_s / window_s).min(1.0),
            recent_requests: 0.0,
            at: now,
        });
        let idle_s = clock::advance(&mut bucket.at, now).as_secs_f64();
        bucket.recent_requests *= (-idle_s / window_s).exp();
        // The fixed share is refilled over a window; the earned retries decay with the requests.
        let capacity = share + earned_per_request * bucket.recent_requests;
        bucket.available = (bucket.available + share * idle_s / window_s).min(capacity);
        bucket
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let earned_per_request = self.allowance.ratio * EARNED_RATIO_FRACTION;
        let bucket = self.bucket(service, now);
        bucket.recent_requests += 1.0;
        bucket.available += earned_per_request;
    }

    /// Whether a retry could be spent.
    pub fn can_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.bucket(service, now).available >= 1.0
    }

    /// Spends one retry if one is left.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        let can_spend = self.can_spend(service, now);
        if can_spend {
            self.bucket(service, now).available -= 1.0;
        }
        can_spend
    }

    /// What is left for the service, as last computed; `None` if no request or retry has been recorded.
    pub fn balance(&self, service: &ServiceName) -> Option<RetryBalance> {
        let bucket = self.buckets.get(service)?;
        Some(RetryBalance {
            available: bucket.available,
            recent_requests: bucket.recent_requests,
        })
    }

    /// Returns a retry that was spent for an attempt of which nothing was sent.
    pub fn refund(&mut self, service: &ServiceName) {
        // A bucket that was removed meanwhile is created with its whole share.
        if let Some(bucket) = self.buckets.get_mut(service) {
            bucket.available += 1.0;
        }
    }
}

/// A number of instances as a divisor; at least one.
fn divisor(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
