//! What a placement policy decides, and the policies that ship.
//!
//! The planner keeps memory, adapter places and the weight store's ceiling whatever the
//! policy says; a policy says what is worth loading. The simple ones are baselines to
//! measure against, in the model (`passway-experiment`) and on the users' bench.

use super::demand::Usage;
use passway_types::prelude::*;
use std::fmt;
use std::str::FromStr;

/// A model asked for this often has a second replica, against the loss of the first.
const SECOND_REPLICA_RATE_PER_S: f64 = 1.5;
/// Part of an engine's slots that the runs of a busy model may fill: instances see only
/// their own load, so the spread over engines is uneven.
const MAX_SLOT_RATIO: f64 = 0.4;
/// Loads from the weight store that serve nobody yet, at one time: each keeps its
/// engine from exchanging models.
const MAX_CONCURRENT_PREFETCHES: usize = 2;
/// Requests a second that one replica takes, for the policy that goes by them.
const REQUESTS_PER_REPLICA_PER_S: f64 = 6.0;
/// A request waits at least this long for an engine that has its model nearer than the
/// weight store.
const MIN_CACHED_WAIT: Duration = Duration::from_millis(1_500);

/// What counts in the worth of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitScoring {
    /// Each waiting request, not just that some wait.
    pub should_count_requests: bool,
    /// How long requests have waited.
    pub should_count_wait_time: bool,
}

impl WaitScoring {
    const ALL: Self = Self {
        should_count_requests: true,
        should_count_wait_time: true,
    };
}

/// What is worth loading on engines.
pub trait PlacementPolicy: fmt::Debug + Send {
    /// ReplicaTarget that a model is worth, which is asked for `rate_per_s` times a second.
    fn replicas(&self, rate_per_s: f64, usage: Usage) -> usize;

    /// What counts in the worth of a place.
    fn wait_scoring(&self) -> WaitScoring;

    /// Loads from the weight store that may run at one time although nobody waits for them.
    fn max_prefetches(&self) -> usize;

    /// How long a request waits for an engine that has its model near, before another
    /// engine fetches it from the weight store, which takes `fetch_time`.
    fn max_wait_for_cached(&self, fetch_time: Duration) -> Duration;
}

/// The policies by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyName {
    /// ReplicaTarget by measured demand, prefetch, homes. What ships.
    #[default]
    Balanced,
    /// One replica of what is asked for, when it is asked for.
    OnDemand,
    /// Two replicas of whatever is asked for at all, no prefetch.
    FixedReplicas,
    /// As `balanced`, but any engine fetches what it lacks at once.
    NoHomes,
    /// As `balanced`, without prefetch.
    NoPrefetch,
    /// As `balanced`, but a home is waited for 1.5 s, however long a fetch takes.
    ShortHomes,
    /// As `balanced`, with a replica for every six requests a second.
    ByRate,
    /// As `balanced`, but requests that wait for one model count as one.
    NoCounts,
    /// As `balanced`, but a long wait counts no more than a short one.
    NoAgeing,
}

impl PolicyName {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Balanced,
        Self::OnDemand,
        Self::FixedReplicas,
        Self::NoHomes,
        Self::NoPrefetch,
        Self::ShortHomes,
        Self::ByRate,
        Self::NoCounts,
        Self::NoAgeing,
    ];

    /// The name in settings and on command lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Balanced => "balanced",
            Self::OnDemand => "on-demand",
            Self::FixedReplicas => "fixed-replicas",
            Self::NoHomes => "no-homes",
            Self::NoPrefetch => "no-prefetch",
            Self::ShortHomes => "short-homes",
            Self::ByRate => "by-rate",
            Self::NoCounts => "no-counts",
            Self::NoAgeing => "no-ageing",
        }
    }

    /// The policy.
    pub fn build(self) -> Box<dyn PlacementPolicy> {
        let balanced = ComposedPolicy {
            replicas: ReplicaTarget::ByDemand,
            max_prefetches: MAX_CONCURRENT_PREFETCHES,
            cached_wait: CachedWait::FetchTime,
            wait_scoring: WaitScoring::ALL,
        };
        Box::new(match self {
            Self::Balanced => balanced,
            Self::OnDemand => ComposedPolicy {
                replicas: ReplicaTarget::Fixed(1),
                max_prefetches: 0,
                ..balanced
            },
            Self::FixedReplicas => ComposedPolicy {
                replicas: ReplicaTarget::Fixed(2),
                max_prefetches: 0,
                ..balanced
            },
            Self::NoHomes => ComposedPolicy {
                cached_wait: CachedWait::NoWait,
                ..balanced
            },
            Self::NoPrefetch => ComposedPolicy {
                max_prefetches: 0,
                ..balanced
            },
            Self::ShortHomes => ComposedPolicy {
                cached_wait: CachedWait::FixedTime,
                ..balanced
            },
            Self::ByRate => ComposedPolicy {
                replicas: ReplicaTarget::ByRate,
                ..balanced
            },
            Self::NoCounts | Self::NoAgeing => ComposedPolicy {
                wait_scoring: WaitScoring {
                    should_count_requests: self != Self::NoCounts,
                    should_count_wait_time: self != Self::NoAgeing,
                },
                ..balanced
            },
        })
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|name| name.as_str() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str);
            format!("no placement policy; known are {}", names.join(", "))
        })
    }
}

/// How many replicas a model is worth.
#[derive(Debug, Clone, Copy)]
enum ReplicaTarget {
    ByDemand,
    ByRate,
    Fixed(usize),
}

/// Whether a request waits for an engine that has its model near.
#[derive(Debug, Clone, Copy)]
enum CachedWait {
    FetchTime,
    FixedTime,
    NoWait,
}

/// A policy put together of its parts.
#[derive(Debug, Clone, Copy)]
struct ComposedPolicy {
    replicas: ReplicaTarget,
    max_prefetches: usize,
    cached_wait: CachedWait,
    wait_scoring: WaitScoring,
}

impl PlacementPolicy for ComposedPolicy {
    fn replicas(&self, rate_per_s: f64, usage: Usage) -> usize {
        match self.replicas {
            ReplicaTarget::Fixed(count) => count,
            ReplicaTarget::ByDemand => replicas_by_demand(rate_per_s, usage),
            ReplicaTarget::ByRate => replicas_by_rate(rate_per_s),
        }
    }

    fn wait_scoring(&self) -> WaitScoring {
        self.wait_scoring
    }

    fn max_prefetches(&self) -> usize {
        self.max_prefetches
    }

    /// As long as the fetch takes, during which its engine loads nothing else: with 1.5 s,
    /// four of nine engines fetched for one request each while homes had a queue, and the
    /// queues grew: 358 of 498 requests for rare models were in time where it is 462.
    fn max_wait_for_cached(&self, fetch_time: Duration) -> Duration {
        match self.cached_wait {
            CachedWait::FetchTime => MIN_CACHED_WAIT.max(fetch_time),
            CachedWait::FixedTime => MIN_CACHED_WAIT,
            CachedWait::NoWait => Duration::ZERO,
        }
    }
}

/// A replica for every so many requests a second; at least two for a model that is asked
/// for often.
fn replicas_by_rate(rate_per_s: f64) -> usize {
    if rate_per_s < SECOND_REPLICA_RATE_PER_S {
        return 1;
    }
    ceil_to_replicas(rate_per_s / REQUESTS_PER_REPLICA_PER_S).max(2)
}

/// ReplicaTarget that bear a model's requests; one for a model that is asked for seldom, at
/// least two for any other. Runs and waiting requests say how many are min_replicas whatever
/// the model's pace and prompts: a fixed rate for each replica kept a third of all places
/// from rare models, or starved slow ones.
fn replicas_by_demand(rate_per_s: f64, usage: Usage) -> usize {
    if rate_per_s < SECOND_REPLICA_RATE_PER_S {
        return 1;
    }
    let active = f64::from(usage.running + usage.waiters);
    ceil_to_replicas(active / (f64::from(usage.slots.max(1)) * MAX_SLOT_RATIO)).max(2)
}

/// The next whole number, one at least.
fn ceil_to_replicas(min_replicas: f64) -> usize {
    let mut replicas = 1;
    while f64::from(u32::try_from(replicas).unwrap_or(u32::MAX)) < min_replicas {
        replicas += 1;
    }
    replicas
}
