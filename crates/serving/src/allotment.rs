//! What workspaces have used of their allotments, over all instances.
//!
//! What a workspace may use beyond its allotment in a window is little: a tenth and some twenty
//! requests, so instances cannot each have a bucket of their own. One instance, the *keeper*, has
//! one [`QuotaCoordinator`] with the bucket of each workspace and is asked for each request, a round trip of
//! some milliseconds. The holder of the right to order is the keeper: there is never more than one,
//! by its lease, and everybody knows it.
//!
//! A keeper that goes takes its buckets with it, and its successor begins with nearly empty ones: what
//! was used before counts in the same window. For that it is known which buckets were at least half
//! full ([`QuotaCoordinator::half_full`]): those begin half full, once. Until there is a successor, each instance goes on with
//! [`FallbackQuotas`]: a part of the workspace's rate as large as its part of the workspace's use was, for a
//! short time. The parts of all instances together are the rate.
//!
//! There is no I/O and no clock here.

use crate::workspaces::Allotment;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Part of the overage that the keeper grants beyond the allotment: callers' requests come a little
/// closer together here than they were sent.
const OVERAGE_PART: f64 = 0.1;
/// Part of the slack that it grants at once beyond that, for the same reason.
const SLACK_PART: f64 = 0.25;
/// Part of the slack with which a keeper begins. Three keepers in one window may begin with as much,
/// and a request of each workspace passes at once.
const START_PART: f64 = 0.15;
/// A keeper begins with what a workspace may use in this time: two that begin in a window of eight
/// seconds, and the parts used before each, are less than the overage of a tenth.
const START_TIME: Duration = Duration::from_millis(200);
/// The part of a full bucket with which one begins that was at least so full: of all that a workspace may
/// use in a window it is a twentieth, and the overage a tenth.
const HALF: f64 = 0.5;
/// An instance's use counts by the factor e less for each of these that have passed.
const USE_TIME: Duration = Duration::from_secs(2);
/// An instance that does not hear the keeper goes on with its part for so long. A third of the
/// instances that are cut off use half a second's worth of the rate meanwhile, which the keeper
/// gives to others; the overage of a window of eight seconds is nearly one second's.
const PART_TIME: Duration = Duration::from_millis(1_500);
/// What a part may save up, as time at its rate. It is there again after a window.
const SAVED_TIME: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// What workspaces may use beyond their allotments: in any window at most
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window.
    pub window: Duration,
    /// Part of the allotment that may be used beyond it.
    pub overage: f64,
    /// Units that may be used beyond it besides.
    pub slack: f64,
}

/// What the keeper decides on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// It may go.
    Granted {
        /// The asking instance's part of the rate, in units a second.
        instance_rate_per_s: f64,
    },
    /// The workspace has used what it may.
    Refused {
        /// When there is room for it, behind those that were refused before.
        retry_after: Duration,
    },
}

/// A count that fades with time.
#[derive(Debug, Clone, Copy)]
struct Faded {
    count: f64,
    at: Instant,
}

impl Faded {
    fn at(self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.count * (-passed.as_secs_f64() / USE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, count: f64, now: Instant) {
        self.count = (self.at(now) + count).max(0.0);
        self.at = now;
    }
}

/// What a workspace may use now, in two buckets. Requests inside the allotment take from the first
/// alone, so that whatever else passes takes nothing from them; others may take from the second.
#[derive(Debug)]
struct Bucket {
    /// Units of the allotment.
    level: f64,
    /// Units beyond it.
    extra: f64,
    at: Instant,
    /// When the last of those that were told to come back has its turn.
    turn_at: Instant,
    /// Use of each instance.
    used: HashMap<SocketAddr, Faded>,
    forget_at: Instant,
}

impl Bucket {
    fn new(level: f64, extra: f64, now: Instant) -> Self {
        Self {
            level,
            extra,
            at: now,
            turn_at: now,
            used: HashMap::new(),
            forget_at: now + USE_TIME,
        }
    }

    fn refill(&mut self, allotted: Allotment, extra: Allotment, now: Instant) {
        let passed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = self.level_at(allotted, now);
        self.extra = (self.extra + extra.rate_per_s * passed_s).min(extra.burst);
        self.at = now;
    }

    /// Units of the allotment that may be used at a moment.
    fn level_at(&self, allotted: Allotment, now: Instant) -> f64 {
        let passed_s = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + allotted.rate_per_s * passed_s).min(allotted.burst)
    }

    /// Takes what a request counts, if it fits.
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

    /// An instance uses so many units; its part of all use.
    fn record_use(&mut self, instance: SocketAddr, cost: f64, now: Instant) -> f64 {
        let none = Faded {
            count: 0.0,
            at: now,
        };
        let own = self.used.entry(instance).or_insert(none);
        own.add(cost, now);
        let own = own.count;
        if now >= self.forget_at {
            self.forget_at = now + USE_TIME;
            self.used.retain(|_, used| used.at(now) >= 1.0);
        }
        let all: f64 = self.used.values().map(|used| used.at(now)).sum();
        if all > 0.0 { own / all } else { 0.0 }
    }

    /// When a request that finds no room may come back.
    fn retry_after(&mut self, cost: f64, rate_per_s: f64, now: Instant) -> Duration {
        if rate_per_s <= 0.0 {
            return LONGEST_RETRY;
        }
        let time = |units: f64| Duration::from_secs_f64((units / rate_per_s).clamp(0.0, 3_600.0));
        let fits_at = now + time(cost - self.level);
        self.turn_at = fits_at.max(self.turn_at + time(cost));
        let left = self.turn_at.saturating_duration_since(now);
        if left > LONGEST_RETRY {
            // Whoever comes later has no turn that can be told, and takes none.
            self.turn_at = now + LONGEST_RETRY;
        }
        left.min(LONGEST_RETRY)
    }
}

/// The buckets of all workspaces, at the instance that is asked.
#[derive(Debug)]
pub struct QuotaCoordinator {
    bounds: QuotaBounds,
    /// Since then nothing was used that is not counted here.
    begun_at: Instant,
    /// Workspaces that were not asked for yet and whose buckets begin half full.
    begin_half_full: BTreeSet<WorkspaceName>,
    buckets: HashMap<WorkspaceName, Bucket>,
}

impl QuotaCoordinator {
    /// A keeper from now on, that knows nothing of what was used before.
    pub fn new(bounds: QuotaBounds, now: Instant) -> Self {
        Self {
            bounds,
            begun_at: now,
            begin_half_full: BTreeSet::new(),
            buckets: HashMap::new(),
        }
    }

    /// These workspaces' buckets were at least half full when the keeper before told so last, and
    /// nobody else was told that: what they may use at once is there again.
    pub fn start_half_full(
        &mut self,
        names: impl IntoIterator<Item = WorkspaceName>,
        allotment: impl Fn(&str) -> Option<Allotment>,
    ) {
        for name in names {
            if let Some(bucket) = self.buckets.get_mut(&name) {
                let burst = allotment(&name).map_or(0.0, |allotment| allotment.burst);
                bucket.level = (bucket.level + burst * HALF).min(burst);
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
        let asked = self.buckets.iter().filter(|(name, bucket)| {
            let allotment = allotment(name);
            allotment.is_some_and(|one| bucket.level_at(one, now) >= one.burst * HALF)
        });
        let asked = asked.map(|(name, _)| name);
        asked.chain(&self.begin_half_full).cloned().collect()
    }

    /// What is granted beyond an allotment.
    fn extra(&self, allotment: Allotment) -> Allotment {
        let part = self.bounds.overage * OVERAGE_PART;
        Allotment {
            rate_per_s: allotment.rate_per_s * part,
            burst: allotment.burst * part + self.bounds.slack * SLACK_PART,
        }
    }

    /// Whether a request that counts so much may go, which an instance asks.
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
            allotment.burst * HALF
        } else {
            allotment.rate_per_s * START_TIME.as_secs_f64()
        };
        let start = self.bounds.slack * START_PART;
        let bucket = self.buckets.entry(workspace.clone());
        // It has filled since the keeper began, whether or not anybody asked.
        let bucket = bucket.or_insert_with(|| Bucket::new(level, start, self.begun_at));
        bucket.refill(allotment, extra, now);
        if !bucket.take(cost) {
            return QuotaDecision::Refused {
                retry_after: bucket.retry_after(cost, allotment.rate_per_s, now),
            };
        }
        let part = bucket.record_use(instance, cost, now);
        QuotaDecision::Granted {
            instance_rate_per_s: part * allotment.rate_per_s,
        }
    }

    /// A request that was granted did not run and never will.
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

    /// Forgets workspaces that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.begin_half_full.retain(|name| is_there(name));
        self.buckets.retain(|name, _| is_there(name));
    }

    /// Units that a workspace may use now, as far as was counted.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        Some(self.buckets.get(workspace)?.level)
    }
}

#[derive(Debug, Clone, Copy)]
struct Part {
    rate_per_s: f64,
    level: f64,
    /// Up to when the level counts.
    at: Instant,
    told_at: Instant,
}

/// What an instance may use while it does not hear the keeper.
#[derive(Debug, Default)]
pub struct FallbackQuotas {
    by_workspace: HashMap<WorkspaceName, Part>,
}

impl FallbackQuotas {
    /// The keeper tells this instance's part of a workspace's rate.
    pub fn set_rate(
        &mut self,
        workspace: &WorkspaceName,
        rate_per_s: f64,
        window: Duration,
        now: Instant,
    ) {
        let most = rate_per_s * SAVED_TIME.as_secs_f64();
        let part = self.by_workspace.entry(workspace.clone());
        let part = part.or_insert(Part {
            rate_per_s,
            level: most,
            at: now,
            told_at: now,
        });
        let passed = now.saturating_duration_since(part.at).as_secs_f64();
        let saved = most * passed / window.as_secs_f64().max(1.0);
        part.level = (part.level + saved).min(most);
        (part.rate_per_s, part.at, part.told_at) = (rate_per_s, now, now);
    }

    /// Whether a request that counts so much may go without asking the keeper.
    ///
    /// A part of one three-hundredth of a rate seldom holds a request. So one that does not fit goes
    /// with the chance that the part is of it, by a number drawn from 0 to 1, and takes the part in
    /// either case: all instances together use what their parts are, up to a request or two.
    pub fn try_take(&mut self, workspace: &str, cost: f64, drawn: f64, now: Instant) -> bool {
        let Some(part) = self.by_workspace.get_mut(workspace) else {
            return false;
        };
        if now.saturating_duration_since(part.told_at) > PART_TIME {
            return false;
        }
        let passed = now.saturating_duration_since(part.at).as_secs_f64();
        part.level += part.rate_per_s * passed;
        part.at = now;
        let chance = part.level / cost;
        part.level = (part.level - cost).max(0.0);
        drawn < chance
    }

    /// Forgets workspaces that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.by_workspace.retain(|name, _| is_there(name));
    }
}
