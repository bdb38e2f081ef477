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
/// For so many windows the allowance is shared as among the most instances that were there: a
/// window may see what they had, and what they had earned in the one before.
const COUNTED_WINDOWS: f64 = 2.0;
/// Instances come to a new holder within this: a retry of their dialers, and some for those
/// that had relied on the holder before until it was silent.
const COMING_TIME: Duration = Duration::from_secs(3);
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

/// How many instances share the allowance, as a holder of the right to order sees them come.
///
/// While a fleet comes to a new holder that sees one after the other. To tell each that it
/// shares with few would give all of them together many times the allowance.
///
/// Where terms of one holder follow each other, each too short for that, they count together.
#[derive(Debug, Clone, Copy)]
pub struct InstanceCount {
    known_from: Instant,
    /// Until then more instances may be on their way than are there.
    coming_until: Instant,
    /// The most that were there at one time since those before were known to have gone.
    most: usize,
}

impl InstanceCount {
    /// A term begins.
    pub fn start_term(now: Instant) -> Self {
        let known_from = now + COMING_TIME;
        Self {
            known_from,
            coming_until: known_from,
            most: 0,
        }
    }

    /// The holder's next term begins, and nobody else had one in between: who was there comes again.
    pub fn continue_term(&mut self, now: Instant) {
        self.coming_until = now + COMING_TIME;
    }

    /// The number to share among, where so many are there now; `None` while others may be on
    /// their way.
    pub fn sharing_instances(&mut self, instances: usize, now: Instant) -> Option<usize> {
        let is_settled = now >= self.coming_until;
        self.most = if is_settled {
            instances
        } else {
            self.most.max(instances)
        };
        (now >= self.known_from).then_some(self.most)
    }
}

/// A number of instances that was told, and until when it counts although fewer are there.
#[derive(Debug, Clone, Copy)]
struct Told {
    instances: f64,
    until: Instant,
}

/// Repeats that may still be sent, by service.
///
/// A process begins with none, and comes to its part of the fixed allowance over a window:
/// the one before it may have spent that part, and it knows the fleet's size only once that
/// is told. What it earns by its own requests it may spend at once.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// The numbers that count, the largest first; empty until one is told.
    instances: Vec<Told>,
    /// When the first of them was told.
    told_at: Option<Instant>,
    buckets: HashMap<ServiceName, Bucket>,
    /// With so many services it is looked whether some are gone from the configuration.
    look_at_services: usize,
}

impl RetryBudget {
    /// An empty budget for an instance that does not know how many there are.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            instances: Vec::new(),
            told_at: None,
            buckets: HashMap::new(),
            look_at_services: SPARE_SERVICES,
        }
    }

    /// Sets the allowance of the whole fleet.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// So many instances share the fixed allowance now. More count at once, fewer once no
    /// window sees the others any more.
    pub fn set_instances(&mut self, instances: usize, now: Instant) {
        let instances = count(instances);
        self.told_at.get_or_insert(now);
        let counted_s = COUNTED_WINDOWS * self.allowance.window_s;
        let until = now + Duration::from_secs_f64(counted_s);
        self.instances
            .retain(|told| told.instances > instances && told.until > now);
        self.instances.push(Told { instances, until });
    }

    /// The part of the fixed allowance of one instance.
    fn part(&self, now: Instant) -> f64 {
        let slack = self.allowance.slack * SLACK_PART;
        // The newest counts until another one is told.
        let newest = self.instances.last();
        let mut counted = self.instances.iter().filter(|told| told.until > now);
        let most = counted.next().or(newest);
        most.map_or(0.0, |most| slack / most.instances)
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
        let part = self.part(now);
        let window_s = self.allowance.window_s;
        let earned = self.allowance.ratio * RATIO_PART;
        let told_s = self.told_at.map_or(0.0, |at| {
            let passed = now.saturating_duration_since(at);
            passed.as_secs_f64()
        });
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            left: part * (told_s / window_s).min(1.0),
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
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let earned = self.allowance.ratio * RATIO_PART;
        let bucket = self.bucket(service, now);
        bucket.recent += 1.0;
        bucket.left += earned;
    }

    /// Whether a repeat could be spent.
    pub fn can_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.bucket(service, now).left >= 1.0
    }

    /// Spends one repeat if there is one left.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> bool {
        let has_spare = self.can_spend(service, now);
        if has_spare {
            self.bucket(service, now).left -= 1.0;
        }
        has_spare
    }
}

/// A count as a divisor; at least one.
fn count(instances: usize) -> f64 {
    f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}
