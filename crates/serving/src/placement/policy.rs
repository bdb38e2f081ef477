//! Placement policies: the trait and the implementations that ship.
//!
//! The planner enforces the limits on memory, adapter slots and loads from the weight store under
//! any policy; a policy decides which loads are worthwhile. The simple policies are baselines for
//! comparisons in the fleet model (`passway-experiment`) and on the users' bench.

use super::demand::Usage;
use passway_types::prelude::*;
use std::fmt;
use std::str::FromStr;

/// From this request rate on a model gets a second replica, in case the first one is lost.
const SECOND_REPLICA_RATE_PER_S: f64 = 1.5;
/// Maximum fraction of an engine's slots that the running requests of a busy model should fill.
/// Instances see only their own load, so requests are distributed unevenly over engines.
const MAX_SLOT_RATIO: f64 = 0.4;
/// Concurrent loads from the weight store for models without waiting requests. An engine cannot
/// swap other models during such a load.
const MAX_CONCURRENT_PREFETCHES: usize = 2;
/// Request rate that one replica serves, for the policy that scales by rate.
const REQUESTS_PER_REPLICA_PER_S: f64 = 6.0;
/// Minimum time that a request waits for an engine that has its model cached in memory or on disk;
/// the exact time under `short-homes`.
const MIN_CACHED_WAIT: Duration = Duration::from_millis(1_500);

/// How waiting requests count in the benefit of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitScoring {
    /// Whether each waiting request counts; otherwise all requests that wait for a model or adapter
    /// count as one.
    pub should_count_requests: bool,
    /// Whether the benefit grows with the time that requests have waited.
    pub should_count_wait_time: bool,
}

impl WaitScoring {
    const ALL: Self = Self {
        should_count_requests: true,
        should_count_wait_time: true,
    };
}

/// Decides which loads are worthwhile.
pub trait PlacementPolicy: fmt::Debug + Send {
    /// Target number of replicas of a model with a request rate of `rate_per_s`.
    fn replicas(&self, rate_per_s: f64, usage: Usage) -> usize;

    /// How waiting requests count in the benefit of a replica.
    fn wait_scoring(&self) -> WaitScoring;

    /// Maximum number of concurrent loads from the weight store for models without waiting
    /// requests.
    fn max_prefetches(&self) -> usize;

    /// How long a request waits for an engine that has its model cached before another engine
    /// fetches the model from the weight store; the fetch takes `fetch_time`.
    fn max_wait_for_cached(&self, fetch_time: Duration) -> Duration;
}

/// The policies by name. A "home" in these names is an engine that has the model cached in memory
/// or on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyName {
    /// The default: replicas by measured demand, prefetching, and a wait for engines that have the
    /// model cached.
    #[default]
    Balanced,
    /// One replica of each requested model, loaded when a request arrives.
    OnDemand,
    /// Two replicas of each requested model, without prefetching.
    FixedReplicas,
    /// As `balanced`, but any engine fetches a model at once.
    NoHomes,
    /// As `balanced`, without prefetching.
    NoPrefetch,
    /// As `balanced`, but requests wait 1.5 s for an engine that has the model cached, however long
    /// a fetch takes.
    ShortHomes,
    /// As `balanced`, with one replica for every six requests per second.
    ByRate,
    /// As `balanced`, but all requests that wait for a model count as one.
    NoCounts,
    /// As `balanced`, but the time that requests have waited does not count.
    NoAgeing,
}

impl PolicyName {
    /// All policy names.
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

    /// Creates the policy.
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
            format!(
                "unknown placement policy; expected one of {}",
                names.join(", ")
            )
        })
    }
}

/// How the target number of replicas is computed.
#[derive(Debug, Clone, Copy)]
enum ReplicaTarget {
    /// By the number of running and waiting requests.
    ByDemand,
    /// By the request rate.
    ByRate,
    Fixed(usize),
}

/// How long a request waits for an engine that has its model cached.
#[derive(Debug, Clone, Copy)]
enum CachedWait {
    /// As long as a fetch takes, and at least [`MIN_CACHED_WAIT`].
    FetchTime,
    /// For [`MIN_CACHED_WAIT`].
    FixedTime,
    NoWait,
}

/// A policy composed of independent settings.
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

    /// `balanced` waits as long as a fetch takes, because the fetching engine loads nothing else
    /// meanwhile. With 1.5 s, four of nine engines each fetched a model for a single request while
    /// the engines that had it cached had a growing queue: 358 of 498 requests for rare models were
    /// in time instead of 462.
    fn max_wait_for_cached(&self, fetch_time: Duration) -> Duration {
        match self.cached_wait {
            CachedWait::FetchTime => MIN_CACHED_WAIT.max(fetch_time),
            CachedWait::FixedTime => MIN_CACHED_WAIT,
            CachedWait::NoWait => Duration::ZERO,
        }
    }
}

/// One replica per [`REQUESTS_PER_REPLICA_PER_S`], and at least two for a busy model.
fn replicas_by_rate(rate_per_s: f64) -> usize {
    if rate_per_s < SECOND_REPLICA_RATE_PER_S {
        return 1;
    }
    ceil_to_replicas(rate_per_s / REQUESTS_PER_REPLICA_PER_S).max(2)
}

/// Enough replicas for a model's running and waiting requests: one for a rare model, at least two
/// for any other. Counting requests works for any model speed and prompt length; a fixed rate per
/// replica took a third of all replicas from rare models, or starved slow ones.
fn replicas_by_demand(rate_per_s: f64, usage: Usage) -> usize {
    if rate_per_s < SECOND_REPLICA_RATE_PER_S {
        return 1;
    }
    let active = f64::from(usage.running + usage.waiters);
    ceil_to_replicas(active / (f64::from(usage.slots.max(1)) * MAX_SLOT_RATIO)).max(2)
}

/// Rounds up to a whole number of replicas, at least one.
fn ceil_to_replicas(min_replicas: f64) -> usize {
    let mut replicas = 1;
    while f64::from(u32::try_from(replicas).unwrap_or(u32::MAX)) < min_replicas {
        replicas += 1;
    }
    replicas
}
