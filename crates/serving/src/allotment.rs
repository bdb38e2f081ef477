//! Counts what workspaces have used of their allotments, over all instances.
//!
//! A workspace may use little beyond its allotment in a window, a tenth and some twenty requests,
//! so instances cannot each have a bucket of their own. One instance, the *coordinator*, has a
//! [`QuotaCoordinator`] with the bucket of each workspace. The others ask it about each request, a
//! round trip of some milliseconds. The holder of the leadership is the coordinator: its lease
//! ensures that there is at most one, and every instance knows it.
//!
//! A coordinator that terminates loses its buckets, and its successor begins with nearly empty
//! ones, because what was used before counts in the same window. The store lists which buckets
//! were at least half full ([`QuotaCoordinator::half_full`]); those begin half full, once. Until
//! there is a successor, each instance uses [`FallbackQuotas`] for a short time: a fraction of the
//! workspace's rate equal to the instance's fraction of the workspace's use. The fractions of all
//! instances add up to the rate.
//!
//! This module uses no I/O and no clock.

use crate::workspaces::Allotment;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Fraction of the overage that the coordinator grants beyond the allotment: callers' requests
/// arrive a little closer together than they were sent.
const OVERAGE_FRACTION: f64 = 0.1;
/// Fraction of the slack that the coordinator grants at once beyond that, for the same reason.
const SLACK_FRACTION: f64 = 0.25;
/// Fraction of the slack with which a coordinator begins. Three coordinators may begin with it in
/// one window without exceeding the slack, and the first request of each workspace passes at once.
const START_SLACK_FRACTION: f64 = 0.15;
/// A coordinator begins with what a workspace may use in this time. Two that begin in a window of
/// eight seconds, plus the fallback quotas used before each, stay below the overage of a tenth.
const START_DURATION: Duration = Duration::from_millis(200);
/// A bucket that was at least this full under the previous coordinator begins this full: a
/// twentieth of all that a workspace may use in a window, where the overage is a tenth.
const HALF_FULL: f64 = 0.5;
/// Time constant of the decay: an instance's use counts less by the factor e for each such time.
const USE_DECAY_DURATION: Duration = Duration::from_secs(2);
/// How long an instance that cannot reach the coordinator uses its fallback quota. A third of the
/// instances, if cut off, use half a second's worth of the rate in this time, which the
/// coordinator grants to others as well; the overage of a window of eight seconds is nearly one
/// second's worth.
const FALLBACK_TTL: Duration = Duration::from_millis(1_500);
/// Capacity of a fallback bucket, as time at its rate. An empty bucket is full again after a
/// window.
const FALLBACK_BURST_DURATION: Duration = Duration::from_millis(200);
/// Maximum time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What workspaces may use beyond their allotments: in any window at most (rate x window + burst)
/// x (1 + overage) + slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window's length.
    pub window: Duration,
    /// Ratio of the allotment that may be used beyond it.
    pub overage: f64,
    /// Units that may be used in addition to the overage.
    pub slack: f64,
}

/// The coordinator's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Granted {
        /// The asking instance's share of the workspace's rate, in units a second.
        instance_rate_per_s: f64,
    },
    /// The workspace has used up its allotment.
    Refused {
        /// When there will be enough free units, after all requests refused before.
        retry_after: Duration,
    },
}

/// A count that decays exponentially with time.
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    count: f64,
    at: Instant,
}

impl DecayingCount {
    fn at(self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.count * (-passed.as_secs_f64() / USE_DECAY_DURATION.as_secs_f64()).exp()
    }

    fn add(&mut self, count: f64, now: Instant) {
        self.count = (self.at(now) + count).max(0.0);
        clock::advance(&mut self.at, now);
    }
}

/// What a workspace may use now, in two buckets. Requests within the allotment take only from the
/// first, so that other requests never reduce it; others may take from the second.
#[derive(Debug)]
struct Bucket {
    /// Available units of the allotment.
    level: f64,
    /// Available units beyond the allotment.
    extra: f64,
    at: Instant,
    /// The retry time of the last refused request.
    next_retry_at: Instant,
    /// Recent use by each instance.
    use_by_instance: HashMap<SocketAddr, DecayingCount>,
    cleanup_at: Instant,
}

impl Bucket {
    fn new(level: f64, extra: f64, now: Instant) -> Self {
        Self {
            level,
            extra,
            at: now,
            next_retry_at: now,
            use_by_instance: HashMap::new(),
            cleanup_at: now + USE_DECAY_DURATION,
        }
    }

    fn refill(&mut self, allotment: Allotment, extra: Allotment, now: Instant) {
        self.level = self.level_at(allotment, now);
        let passed_s = clock::advance(&mut self.at, now).as_secs_f64();
        self.extra = (self.extra + extra.rate_per_s * passed_s).min(extra.burst);
    }

    /// Available units of the allotment at a time.
    fn level_at(&self, allotment: Allotment, now: Instant) -> f64 {
        let passed_s = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + allotment.rate_per_s * passed_s).min(allotment.burst)
    }

    /// Takes the cost of a request if it fits.
    fn take(&mut self, cost: f64) -> bool {
        let from = if self.level >= cost {
            &mut self.level
        } else {
            &mut self.extra
        };
        let fits = *from >= cost;
        if fits {
            *from -= cost;
        }
        fits
    }

    /// Records an instance's use. Returns the instance's fraction of the workspace's use.
    fn record_use(&mut self, instance: SocketAddr, cost: f64, now: Instant) -> f64 {
        let unused = DecayingCount {
            count: 0.0,
            at: now,
        };
        let own_use = self.use_by_instance.entry(instance).or_insert(unused);
        own_use.add(cost, now);
        let own_use = own_use.count;
        if now >= self.cleanup_at {
            self.cleanup_at = now + USE_DECAY_DURATION;
            self.use_by_instance
                .retain(|_, recent| recent.at(now) >= 1.0);
        }
        let total: f64 = self
            .use_by_instance
            .values()
            .map(|recent| recent.at(now))
            .sum();
        if total > 0.0 { own_use / total } else { 0.0 }
    }

    /// The time after which a request that does not fit may be retried.
    fn retry_after(&mut self, cost: f64, rate_per_s: f64, now: Instant) -> Duration {
        if rate_per_s <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let refill_duration =
            |units: f64| Duration::from_secs_f64((units / rate_per_s).clamp(0.0, 3_600.0));
        let fits_at = now + refill_duration(cost - self.level);
        self.next_retry_at = fits_at.max(self.next_retry_at + refill_duration(cost));
        let delay = self.next_retry_at.saturating_duration_since(now);
        if delay > MAX_RETRY_AFTER {
            // Requests refused later reserve no retry time of their own.
            self.next_retry_at = now + MAX_RETRY_AFTER;
        }
        delay.min(MAX_RETRY_AFTER)
    }
}

/// The buckets of all workspaces at the coordinator.
#[derive(Debug)]
pub struct QuotaCoordinator {
    bounds: QuotaBounds,
    /// All use since this time is counted by this coordinator.
    started_at: Instant,
    /// Workspaces without a request yet whose buckets begin half full.
    begin_half_full: BTreeSet<WorkspaceName>,
    buckets: HashMap<WorkspaceName, Bucket>,
}

impl QuotaCoordinator {
    /// Creates a coordinator whose term begins now. It does not know what was used before.
    pub fn new(bounds: QuotaBounds, now: Instant) -> Self {
        Self {
            bounds,
            started_at: now,
            begin_half_full: BTreeSet::new(),
            buckets: HashMap::new(),
        }
    }

    /// Adds half a bucket for each workspace whose bucket was at least half full in the previous
    /// coordinator's last report. The caller ensures that no other coordinator has used that
    /// report.
    pub fn start_half_full(
        &mut self,
        names: impl IntoIterator<Item = WorkspaceName>,
        allotment: impl Fn(&str) -> Option<Allotment>,
    ) {
        for name in names {
            if let Some(bucket) = self.buckets.get_mut(&name) {
                let burst = allotment(&name).map_or(0.0, |allotment| allotment.burst);
                bucket.level = (bucket.level + burst * HALF_FULL).min(burst);
            } else {
                self.begin_half_full.insert(name);
            }
        }
    }

    /// Workspaces whose buckets are at least half full.
    pub fn half_full(
        &self,
        allotment: impl Fn(&str) -> Option<Allotment>,
        now: Instant,
    ) -> BTreeSet<WorkspaceName> {
        let names = self.buckets.iter().filter(|(name, bucket)| {
            let allotment = allotment(name);
            allotment.is_some_and(|allotment| {
                bucket.level_at(allotment, now) >= allotment.burst * HALF_FULL
            })
        });
        let names = names.map(|(name, _)| name);
        names.chain(&self.begin_half_full).cloned().collect()
    }

    /// The rate and burst that are granted beyond an allotment.
    fn extra(&self, allotment: Allotment) -> Allotment {
        let fraction = self.bounds.overage * OVERAGE_FRACTION;
        Allotment {
            rate_per_s: allotment.rate_per_s * fraction,
            burst: allotment.burst * fraction + self.bounds.slack * SLACK_FRACTION,
        }
    }

    /// Decides whether an instance may send a request of this cost.
    pub fn decide(
        &mut self,
        workspace: &WorkspaceName,
        allotment: Allotment,
        instance: SocketAddr,
        cost: f64,
        now: Instant,
    ) -> QuotaDecision {
        let extra = self.extra(allotment);
        let level = if self.begin_half_full.remove(workspace) {
            allotment.burst * HALF_FULL
        } else {
            allotment.rate_per_s * START_DURATION.as_secs_f64()
        };
        let start_extra = self.bounds.slack * START_SLACK_FRACTION;
        let bucket = self.buckets.entry(workspace.clone());
        // The bucket has been refilled since the coordinator began, even without requests.
        let bucket = bucket.or_insert_with(|| Bucket::new(level, start_extra, self.started_at));
        bucket.refill(allotment, extra, now);
        if !bucket.take(cost) {
            return QuotaDecision::Refused {
                retry_after: bucket.retry_after(cost, allotment.rate_per_s, now),
            };
        }
        let fraction = bucket.record_use(instance, cost, now);
        QuotaDecision::Granted {
            instance_rate_per_s: fraction * allotment.rate_per_s,
        }
    }

    /// Returns the units of a granted request that did not run and never will.
    pub fn release(
        &mut self,
        workspace: &str,
        allotment: Allotment,
        instance: SocketAddr,
        cost: f64,
        now: Instant,
    ) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level = (bucket.level + cost).min(allotment.burst);
            bucket.record_use(instance, -cost, now);
        }
    }

    /// Removes workspaces that do not exist any more.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.begin_half_full.retain(|name| exists(name));
        self.buckets.retain(|name, _| exists(name));
    }

    /// The available units of a workspace, as last counted.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        Some(self.buckets.get(workspace)?.level)
    }
}

#[derive(Debug, Clone, Copy)]
struct FallbackBucket {
    rate_per_s: f64,
    level: f64,
    /// The time up to which `level` is computed.
    at: Instant,
    updated_at: Instant,
}

/// What an instance may use while it cannot reach the coordinator.
#[derive(Debug, Default)]
pub struct FallbackQuotas {
    by_workspace: HashMap<WorkspaceName, FallbackBucket>,
}

impl FallbackQuotas {
    /// Sets this instance's share of a workspace's rate, as received from the coordinator.
    pub fn set_rate(
        &mut self,
        workspace: &WorkspaceName,
        rate_per_s: f64,
        window: Duration,
        now: Instant,
    ) {
        let capacity = rate_per_s * FALLBACK_BURST_DURATION.as_secs_f64();
        let bucket = self.by_workspace.entry(workspace.clone());
        let bucket = bucket.or_insert(FallbackBucket {
            rate_per_s,
            level: capacity,
            at: now,
            updated_at: now,
        });
        let passed = clock::advance(&mut bucket.at, now).as_secs_f64();
        let saved = capacity * passed / window.as_secs_f64().max(1.0);
        bucket.level = (bucket.level + saved).min(capacity);
        bucket.rate_per_s = rate_per_s;
        clock::advance(&mut bucket.updated_at, now);
    }

    /// Whether a request of this cost may be sent without asking the coordinator.
    ///
    /// A share of one three-hundredth of a rate seldom covers a whole request. So a request that
    /// does not fit passes with a probability equal to the fraction that is available, compared
    /// with `random` between 0 and 1, and uses up that fraction in either case. All instances
    /// together use what their shares add up to, give or take a request or two.
    pub fn try_take(&mut self, workspace: &str, cost: f64, random: f64, now: Instant) -> bool {
        let Some(bucket) = self.by_workspace.get_mut(workspace) else {
            return false;
        };
        if now.saturating_duration_since(bucket.updated_at) > FALLBACK_TTL {
            return false;
        }
        let passed = clock::advance(&mut bucket.at, now).as_secs_f64();
        bucket.level += bucket.rate_per_s * passed;
        let chance = bucket.level / cost;
        bucket.level = (bucket.level - cost).max(0.0);
        random < chance
    }

    /// Removes workspaces that do not exist any more.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_workspace.retain(|name, _| exists(name));
    }
}
