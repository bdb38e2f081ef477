//! The share of the fleet's retry budget that one instance may spend.
//!
//! All instances together may send a service a limited number of retries in a window: a fixed
//! allowance and a ratio of its requests, of those in the window, in the one before it or in the one
//! that begins half a window earlier. Each instance spends the ratio on the requests that it
//! received itself, and its share of the fixed allowance. So instances need no agreement and
//! borrow nothing.
//!
//! Each window stays within the allowance, whatever the order of requests, retries and restarts, if each
//! attempt arrives at most [`MAX_DELAY`] after it was sent. Until an attempt is answered, its arrival is
//! unknown, and it may arrive after a retry of the same request. A retry is settled when the arrivals of all
//! attempts of its request are known.
//!
//! * A request earns half of the ratio, as a credit. It pays for arrivals until one window after the
//!   request: half of the ratio for the requests of a window and of the one before it is at most the whole
//!   ratio for those of one. A young credit can be spent as it is, since even the latest arrival is in
//!   time. An older one needs as much of the fixed share as a guarantee, which is released when the retry
//!   is settled in time.
//! * A part of the fixed share returns one window after its retry was settled, so it pays for at most one
//!   arrival in a window. All shares together are [`SLACK_FRACTION`] of the fixed allowance.
//! * A process that starts has no retries, and its share grows over [`START_WINDOWS`]. So the processes of an
//!   instance that restarts repeatedly spend less than the other half of its allowance in a window and the delay before it.

mod earned;

use earned::{Credit, EarnedRetries};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Fraction of the allowed ratio that a request earns.
const EARNED_RATIO_FRACTION: f64 = 0.5;
/// Longest time from the sending of an attempt to its arrival for which the allowance is kept. The entry of an
/// upstream that stands still expires after some four seconds.
const MAX_DELAY: Duration = Duration::from_secs(8);
/// Upper limit of that time, in windows: young credits must remain.
const MAX_DELAY_WINDOWS: f64 = 0.8;
/// How long an earned retry can be spent, in windows.
const EARNED_WINDOWS: f64 = 0.75;
/// Fraction of the fixed allowance that all instances together hold. The rest covers the previous
/// processes of instances that restart.
const SLACK_FRACTION: f64 = 0.5;
/// Time in which the share of a process that starts grows to its whole size, in windows.
const START_WINDOWS: f64 = 2.0;
/// What sums of parts of a retry may differ from the whole.
const ROUNDING: f64 = 1e-9;
/// For this many windows the allowance is shared among the largest recent number of instances: a
/// window may see what those spent and what they had earned in the previous window.
const INSTANCE_COUNT_WINDOWS: f64 = 2.0;
/// Time in which instances connect to a new holder: one retry of their connections, and some time
/// for those that relied on the previous holder until it became silent.
const RECONNECT_DURATION: Duration = Duration::from_secs(3);
/// A service without requests for this many windows is removed: all of its share has returned,
/// and what it earned has expired.
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
#[derive(Debug, Clone, Default)]
struct Bucket {
    /// Parts of the share that pay for attempts, or guarantee them, which are not known to have arrived.
    pending: f64,
    /// Parts of the share that have paid for an arrival, in the order of the times at which they return.
    returning: VecDeque<Returning>,
    earned: EarnedRetries,
    /// The time up to which the other values are computed; `None` before the first call.
    at: Option<Instant>,
}

/// A part of the share that returns at a time.
#[derive(Debug, Clone, Copy)]
struct Returning {
    at: Instant,
    amount: f64,
}

impl Bucket {
    /// Moves the time forward: parts of the share return, and credits expire.
    fn advance(&mut self, now: Instant, lifetime: Duration) -> Instant {
        let at = self.at.get_or_insert(now);
        clock::advance(at, now);
        let at = *at;
        while self.returning.front().is_some_and(|part| part.at <= at) {
            self.returning.pop_front();
        }
        self.earned.expire(at, lifetime);
        at
    }

    /// What is left of a share.
    fn free_share(&self, share: f64) -> f64 {
        let returning: f64 = self.returning.iter().map(|part| part.amount).sum();
        (share - self.pending - returning).max(0.0)
    }

    fn return_at(&mut self, at: Instant, amount: f64) {
        if amount > 0.0 {
            let index = self.returning.partition_point(|part| part.at <= at);
            self.returning.insert(index, Returning { at, amount });
        }
    }
}

/// What is known of the arrivals of a request's attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// All have been answered, or their connections were closed by the upstream.
    Known,
    /// At least one was given up without an answer. The last of these was sent at this time.
    Unknown {
        /// When it was sent.
        sent_at: Instant,
    },
}

/// One retry that was spent, with what has paid for it. It must be settled or refunded.
#[derive(Debug, Clone, PartialEq)]
#[must_use]
pub struct SpentRetry {
    /// Older credits, for which the share is the guarantee.
    guaranteed: Vec<Credit>,
    /// Young credits: even the latest arrival is in time.
    young: Vec<Credit>,
    share: f64,
}

impl SpentRetry {
    /// The part of the retry that was taken from the share of the fixed allowance.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The part of the share that is needed until the arrivals are known.
    fn guarantee(&self) -> f64 {
        self.guaranteed.iter().map(|credit| credit.amount).sum()
    }

    /// When the oldest request arrived that has paid for a part of the retry; `None` if the share has
    /// paid for all of it.
    pub fn earned_at(&self) -> Option<Instant> {
        let credits = self.guaranteed.iter().chain(&self.young);
        credits.map(|credit| credit.earned_at).min()
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
/// A process starts with no retries and accumulates its share of the fixed allowance over two
/// windows: the previous process may have spent that share, and the fleet's size is unknown until
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
        self.buckets.retain(|_, bucket| {
            bucket.pending > 0.0 || bucket.at.is_some_and(|at| idle_s(at) < max_idle_s)
        });
        self.cleanup_threshold = 2 * self.buckets.len() + MIN_CLEANUP_THRESHOLD;
    }

    /// The window of the allowance.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.allowance.window_s)
    }

    /// Longest delay of an arrival for which the allowance is kept.
    fn max_delay(&self) -> Duration {
        MAX_DELAY.min(self.window().mul_f64(MAX_DELAY_WINDOWS))
    }

    /// What the share has grown to since the first report of the fleet's size.
    fn grown_share(&self, now: Instant) -> f64 {
        let known_s = self.first_report_at.map_or(0.0, |at| {
            let elapsed = now.saturating_duration_since(at);
            elapsed.as_secs_f64()
        });
        let grown = known_s / (START_WINDOWS * self.allowance.window_s);
        self.slack_share(now) * grown.min(1.0)
    }

    fn bucket(&mut self, service: &ServiceName, now: Instant) -> (&mut Bucket, Instant) {
        if self.buckets.len() >= self.cleanup_threshold {
            self.remove_idle(now);
        }
        let lifetime = self.window().mul_f64(EARNED_WINDOWS);
        let bucket = self.buckets.entry(service.clone()).or_default();
        let at = bucket.advance(now, lifetime);
        (bucket, at)
    }

    /// Records a request for the service that arrived at `arrived_at`.
    pub fn record_request(&mut self, service: &ServiceName, arrived_at: Instant, now: Instant) {
        let window = self.window();
        let credit = Credit {
            earned_at: arrived_at,
            amount: self.allowance.ratio * EARNED_RATIO_FRACTION,
        };
        self.bucket(service, now).0.earned.add(credit, window);
    }

    /// Whether a retry could be spent.
    pub fn can_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.available(service, now) >= 1.0 - ROUNDING
    }

    /// The retries that could be spent at once.
    pub fn available(&mut self, service: &ServiceName, now: Instant) -> f64 {
        let young_age = self.window().saturating_sub(self.max_delay());
        let share = self.grown_share(now);
        let (bucket, at) = self.bucket(service, now);
        bucket.free_share(share) + bucket.earned.total_since(at.checked_sub(young_age))
    }

    /// Spends one retry if one is left: older credits first, as far as the share guarantees them, then young ones, and the
    /// share last. The retry is settled once the arrivals are known.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> Option<SpentRetry> {
        if !self.can_spend(service, now) {
            return None;
        }
        let young_age = self.window().saturating_sub(self.max_delay());
        let share = self.grown_share(now);
        let (bucket, at) = self.bucket(service, now);
        let young_from = at.checked_sub(young_age);
        let free = bucket.free_share(share);
        let guaranteed = bucket.earned.take_before(young_from, free.min(1.0));
        let mut spent = SpentRetry {
            guaranteed,
            young: Vec::new(),
            share: 0.0,
        };
        let guarantee = spent.guarantee();
        spent.young = bucket.earned.take_since(young_from, 1.0 - guarantee);
        let young: f64 = spent.young.iter().map(|credit| credit.amount).sum();
        spent.share = (1.0 - guarantee - young).clamp(0.0, (free - guarantee).max(0.0));
        bucket.pending += guarantee + spent.share;
        Some(spent)
    }

    /// Settles a retry: the request's attempts have arrived, or at least one was given up.
    pub fn settle(
        &mut self,
        service: &ServiceName,
        spent: SpentRetry,
        arrival: Arrival,
        now: Instant,
    ) {
        let (window, max_delay) = (self.window(), self.max_delay());
        // A bucket that was removed meanwhile had nothing pending.
        let Some(bucket) = self.buckets.get_mut(service) else {
            return;
        };
        let arrived_at = match arrival {
            Arrival::Known => now,
            Arrival::Unknown { sent_at } => now.max(sent_at + max_delay),
        };
        bucket.pending = (bucket.pending - spent.guarantee() - spent.share).max(0.0);
        let mut returning = spent.share;
        for credit in spent.guaranteed {
            if arrived_at > credit.earned_at + window {
                returning += credit.amount;
            }
        }
        bucket.return_at(arrived_at + window, returning);
    }

    /// Returns a retry that was spent for an attempt of which nothing was sent.
    pub fn refund(&mut self, service: &ServiceName, spent: SpentRetry) {
        let window = self.window();
        if let Some(bucket) = self.buckets.get_mut(service) {
            bucket.pending = (bucket.pending - spent.guarantee() - spent.share).max(0.0);
            for credit in spent.guaranteed.into_iter().chain(spent.young) {
                bucket.earned.add(credit, window);
            }
        }
    }
}

/// A number of instances as a divisor; at least one.
fn divisor(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
