//! The share of the fleet's retry budget that one instance may spend.
//!
//! All instances together may send a service a limited number of retries in a window: a fixed
//! allowance and a ratio of its requests, of those in the window, in the one before it or in the one
//! that begins half a window earlier. Each instance spends the ratio on the requests that it
//! received itself, and its share of the fixed allowance. So instances need no agreement and
//! borrow nothing.
//!
//! Why each window stays within the allowance, whatever the order of requests and retries, if each
//! retry arrives at most [`MAX_DELAY_WINDOWS`] after it was spent:
//!
//! * A request earns half of the ratio. What it earns can be spent for [`EARNED_WINDOWS`] only, so
//!   that the retries arriving in a window were earned in that window or in the one before it. Half
//!   of the ratio for the requests of both is at most the whole ratio for those of one.
//! * The fixed share is refilled over a window. The retries arriving in a window were spent in that
//!   window or in the delay before it, so the fixed share has paid at most for what it held and what
//!   was refilled in that time: [`SLACK_FRACTION`] of the allowance times 1 + 1 + [`MAX_DELAY_WINDOWS`].
//! * A process that starts has no retries, so that the previous process and the new one spend no more
//!   than one process.

mod earned;

use earned::{Credit, EarnedRetries};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Fraction of the allowed ratio that a request earns.
const EARNED_RATIO_FRACTION: f64 = 0.5;
/// Longest time from the spend of a retry to its arrival, and from the sending of a request to its
/// record, for which the allowance is kept, in windows. Upstreams and instances may stand still for
/// some seconds.
const MAX_DELAY_WINDOWS: f64 = 0.25;
/// How long an earned retry can be spent, in windows.
const EARNED_WINDOWS: f64 = 1.0 - MAX_DELAY_WINDOWS;
/// Fraction of the fixed allowance that all instances together hold.
const SLACK_FRACTION: f64 = 1.0 / (2.0 + MAX_DELAY_WINDOWS);
/// What sums of parts of a retry may differ from the whole.
const ROUNDING: f64 = 1e-9;
/// For this many windows the allowance is shared among the largest recent number of instances: a
/// window may see what those spent and what they had earned in the previous window.
const INSTANCE_COUNT_WINDOWS: f64 = 2.0;
/// Time in which instances connect to a new holder: one retry of their connections, and some time
/// for those that relied on the previous holder until it became silent.
const RECONNECT_DURATION: Duration = Duration::from_secs(3);
/// A service without requests for this many windows is removed: its share is full again after one
/// window, and what it earned has expired.
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
#[derive(Debug, Clone)]
struct Bucket {
    /// What is left of the instance's share of the fixed allowance.
    share: f64,
    earned: EarnedRetries,
    /// The time up to which the other values are computed.
    at: Instant,
}

impl Bucket {
    fn available(&self) -> f64 {
        self.share + self.earned.total()
    }
}

/// One retry that was spent, with what has paid for it.
#[derive(Debug, Clone, PartialEq)]
#[must_use]
pub struct SpentRetry {
    earned: Vec<Credit>,
    share: f64,
}

impl SpentRetry {
    /// The part of the retry that was taken from the share of the fixed allowance.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// When the oldest request arrived that has paid for a part of the retry; `None` if the share has
    /// paid for all of it.
    pub fn earned_at(&self) -> Option<Instant> {
        self.earned.iter().map(|credit| credit.earned_at).min()
    }
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
        let known_s = self.first_report_at.map_or(0.0, |at| {
            let elapsed = now.saturating_duration_since(at);
            elapsed.as_secs_f64()
        });
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            share: share * (known_s / window_s).min(1.0),
            earned: EarnedRetries::default(),
            at: now,
        });
        let passed_s = clock::advance(&mut bucket.at, now).as_secs_f64();
        bucket.share = (bucket.share + share * passed_s / window_s).min(share);
        let lifetime = Duration::from_secs_f64(EARNED_WINDOWS * window_s);
        bucket.earned.expire(bucket.at, lifetime);
        bucket
    }

    /// Records a request for the service that arrived at `arrived_at`.
    pub fn record_request(&mut self, service: &ServiceName, arrived_at: Instant, now: Instant) {
        let window = Duration::from_secs_f64(self.allowance.window_s);
        let credit = Credit {
            earned_at: arrived_at,
            amount: self.allowance.ratio * EARNED_RATIO_FRACTION,
        };
        self.bucket(service, now).earned.add(credit, window);
    }

    /// Whether a retry could be spent.
    pub fn can_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.available(service, now) >= 1.0 - ROUNDING
    }

    /// The retries that are left.
    pub fn available(&mut self, service: &ServiceName, now: Instant) -> f64 {
        self.bucket(service, now).available()
    }

    /// Spends one retry if one is left. What was earned first is spent first, and the fixed share last.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> Option<SpentRetry> {
        if !self.can_spend(service, now) {
            return None;
        }
        let bucket = self.bucket(service, now);
        let earned = bucket.earned.take(1.0);
        let paid: f64 = earned.iter().map(|credit| credit.amount).sum();
        let share = (1.0 - paid).clamp(0.0, bucket.share);
        bucket.share -= share;
        Some(SpentRetry { earned, share })
    }

    /// Returns a retry that was spent for an attempt of which nothing was sent.
    pub fn refund(&mut self, service: &ServiceName, spent: SpentRetry) {
        // A bucket that was removed meanwhile is created with its whole share.
        if let Some(bucket) = self.buckets.get_mut(service) {
            bucket.share += spent.share;
            let window = Duration::from_secs_f64(self.allowance.window_s);
            for credit in spent.earned {
                bucket.earned.add(credit, window);
            }
        }
    }
}

/// A number of instances as a divisor; at least one.
fn divisor(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
