//! Strategies for enforcing allotments.

use super::cases::FleetState;
use super::{Plan, WorkspaceDemand};
use passway_serving::allotment::{FallbackQuotas, QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Decision of a strategy about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may pass.
    Granted,
    /// The workspace has used up its allotment. Holds the time until the caller should retry.
    Refused(Duration),
    /// The instance cannot decide now.
    Unknown,
}

impl Decision {
    /// Returns `Granted` if the request fits, otherwise `Refused`.
    fn if_fits(fits: bool) -> Self {
        if fits {
            Self::Granted
        } else {
            Self::Refused(SYNC_INTERVAL)
        }
    }
}

/// A strategy for enforcing the allotments of workspaces or the limits of upstreams.
pub trait Strategy {
    /// Does the periodic work that is due at `now`.
    fn advance(&mut self, state: &FleetState, now: Instant);
    /// Decides whether an instance lets a request of `cost` units pass.
    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        cost: f64,
        now: Instant,
    ) -> Decision;
    /// Returns the number of messages of all instances so far. Each message counts twice: at its
    /// sender and at its receiver.
    fn messages(&self) -> u64;
}

/// Interval at which the coordinator checks whether its state in the store needs an update.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns a distinct address for each instance.
pub(super) fn address(instance: usize) -> SocketAddr {
    let port = u16::try_from(instance).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A coordinator holds the buckets of all workspaces, and instances query it for each request.
/// Instances that do not reach the coordinator use a share of the rate for a short time. passway
/// uses this strategy.
#[derive(Debug)]
pub struct CoordinatorQuotas {
    bounds: QuotaBounds,
    coordinator: QuotaCoordinator,
    term: u64,
    fallback: HashMap<(usize, u64), FallbackQuotas>,
    /// Workspaces whose buckets are at least half full, as last written to the store for a
    /// successor.
    stored_half_full: BTreeSet<WorkspaceName>,
    sync_at: Option<Instant>,
    allotments: HashMap<WorkspaceName, Allotment>,
    rng: ChaCha8Rng,
    messages: u64,
}

impl CoordinatorQuotas {
    /// Creates the strategy without any recorded request.
    pub fn new(plan: &Plan) -> Self {
        let allotment = |demand: &WorkspaceDemand| (demand.name.clone(), demand.allotment);
        Self {
            bounds: plan.bounds,
            coordinator: QuotaCoordinator::new(plan.bounds, passway_types::clock::now()),
            term: 0,
            fallback: HashMap::new(),
            stored_half_full: BTreeSet::new(),
            sync_at: None,
            allotments: plan.workspaces.iter().map(allotment).collect(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            messages: 0,
        }
    }
}

impl Strategy for CoordinatorQuotas {
    fn advance(&mut self, state: &FleetState, now: Instant) {
        let allotment = |name: &str| self.allotments.get(name).copied();
        if state.term != self.term {
            self.term = state.term;
            self.coordinator = QuotaCoordinator::new(self.bounds, now);
            let half_full = std::mem::take(&mut self.stored_half_full);
            self.coordinator.start_half_full(half_full, allotment);
            self.sync_at = Some(now + STORE_INTERVAL);
        } else if self.sync_at.is_none_or(|at| now >= at) && !state.is_holder_lost {
            self.sync_at = Some(now + STORE_INTERVAL);
            self.stored_half_full = self.coordinator.half_full(allotment, now);
        }
    }

    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        cost: f64,
        now: Instant,
    ) -> Decision {
        let fallback = self
            .fallback
            .entry((instance, state.incarnation(instance)))
            .or_default();
        if state.is_partitioned(instance) || state.is_holder_lost {
            let fits = fallback.try_take(&demand.name, cost, self.rng.random(), now);
            return if fits {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        }
        self.messages += 4;
        match self
            .coordinator
            .decide(&demand.name, demand.allotment, address(instance), cost, now)
        {
            QuotaDecision::Granted {
                instance_rate_per_s,
            } => {
                fallback.set_rate(&demand.name, instance_rate_per_s, self.bounds.window, now);
                Decision::Granted
            }
            QuotaDecision::Refused { retry_after } => Decision::Refused(retry_after),
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Interval at which the holder sends leases or bucket levels.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which the lease of a rate expires.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// The share of a workspace's rate that one instance may use, with its own token bucket.
#[derive(Debug, Clone, Copy)]
struct LeasedRate {
    rate_per_s: f64,
    level: f64,
    updated_at: Instant,
    expires_at: Instant,
    incarnation: u64,
}

/// The holder leases a share of each workspace's rate to each instance, in proportion to the recent
/// requests at that instance. Each lease has its own token bucket.
#[derive(Debug)]
pub struct LeasedRates {
    workspaces: Vec<WorkspaceDemand>,
    leases: HashMap<(usize, WorkspaceName), LeasedRate>,
    /// Requested units by instance and workspace; older requests count less.
    recent_units: HashMap<(usize, WorkspaceName), f64>,
    sync_at: Option<Instant>,
    messages: u64,
}

impl LeasedRates {
    /// Creates the strategy without any recorded request.
    pub fn new(plan: &Plan) -> Self {
        Self {
            workspaces: plan.workspaces.clone(),
            leases: HashMap::new(),
            recent_units: HashMap::new(),
            sync_at: None,
            messages: 0,
        }
    }

    /// Renews the leases of all reachable instances.
    fn lease(&mut self, state: &FleetState, now: Instant) {
        for demand in &self.workspaces {
            let recent_units = |instance: usize| {
                let units = self.recent_units.get(&(instance, demand.name.clone()));
                units.copied().unwrap_or(0.0)
            };
            let reachable =
                (0..state.instance_count()).filter(|instance| !state.is_partitioned(*instance));
            let reachable: Vec<usize> = reachable.collect();
            // Each instance gets a small share, so that an instance without recent requests can
            // admit its first ones.
            let min_units =
                demand.allotment.rate_per_s / super::count_f64(state.instance_count() as u64) / 4.0;
            let total: f64 = reachable
                .iter()
                .map(|instance| recent_units(*instance) + min_units)
                .sum();
            for instance in reachable {
                let ratio = (recent_units(instance) + min_units) / total;
                let rate_per_s = ratio * demand.allotment.rate_per_s;
                let incarnation = state.incarnation(instance);
                let key = (instance, demand.name.clone());
                let previous = self
                    .leases
                    .get(&key)
                    .filter(|lease| lease.incarnation == incarnation);
                let level = previous.map_or(0.0, |lease| lease.level);
                let renewed = LeasedRate {
                    rate_per_s,
                    level: level.min(ratio * demand.allotment.burst),
                    updated_at: previous.map_or(now, |lease| lease.updated_at),
                    expires_at: now + LEASE_TTL,
                    incarnation,
                };
                self.leases.insert(key, renewed);
            }
        }
        for units in self.recent_units.values_mut() {
            *units *= 0.8;
        }
        self.messages += 4 * state.instance_count() as u64;
    }
}

impl Strategy for LeasedRates {
    fn advance(&mut self, state: &FleetState, now: Instant) {
        if self.sync_at.is_none_or(|at| now >= at) && !state.is_holder_lost {
            self.sync_at = Some(now + SYNC_INTERVAL);
            self.lease(state, now);
        }
    }

    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        cost: f64,
        now: Instant,
    ) -> Decision {
        let key = (instance, demand.name.clone());
        *self.recent_units.entry(key.clone()).or_default() += cost;
        let incarnation = state.incarnation(instance);
        let lease = self.leases.get_mut(&key);
        let Some(lease) =
            lease.filter(|lease| now < lease.expires_at && lease.incarnation == incarnation)
        else {
            return Decision::Unknown;
        };
        let elapsed = now
            .saturating_duration_since(lease.updated_at)
            .as_secs_f64();
        let max_level = lease.rate_per_s.max(cost);
        lease.level = (lease.level + lease.rate_per_s * elapsed).min(max_level);
        lease.updated_at = now;
        let fits = lease.level >= cost;
        if fits {
            lease.level -= cost;
        }
        Decision::if_fits(fits)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The holder broadcasts the bucket levels to all instances. Each instance admits a request if the
/// last level minus its own use since then is positive.
#[derive(Debug)]
pub struct BroadcastLevels {
    workspaces: Vec<WorkspaceDemand>,
    /// Bucket levels at the holder, in units.
    levels: HashMap<WorkspaceName, f64>,
    /// Bucket levels of the last broadcast, in units.
    published: HashMap<WorkspaceName, f64>,
    /// Units that each instance admitted and the holder has not received yet.
    local_units: HashMap<(usize, WorkspaceName), f64>,
    counted_at: Option<Instant>,
    sync_at: Option<Instant>,
    /// Incarnations of the instances that have received a broadcast.
    informed: HashMap<usize, u64>,
    messages: u64,
}

impl BroadcastLevels {
    /// Creates the strategy without any recorded request.
    pub fn new(plan: &Plan) -> Self {
        let full_level = |demand: &WorkspaceDemand| (demand.name.clone(), demand.allotment.burst);
        Self {
            workspaces: plan.workspaces.clone(),
            levels: plan.workspaces.iter().map(full_level).collect(),
            published: HashMap::new(),
            local_units: HashMap::new(),
            counted_at: None,
            sync_at: None,
            informed: HashMap::new(),
            messages: 0,
        }
    }
}

impl Strategy for BroadcastLevels {
    fn advance(&mut self, state: &FleetState, now: Instant) {
        let last_counted_at = self.counted_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last_counted_at).as_secs_f64();
        for demand in &self.workspaces {
            let level = self.levels.entry(demand.name.clone()).or_default();
            let rate = demand.allotment.rate_per_s;
            *level = (*level + rate * elapsed).min(demand.allotment.burst);
        }
        if self.sync_at.is_none_or(|at| now >= at) && !state.is_holder_lost {
            self.sync_at = Some(now + SYNC_INTERVAL);
            for ((instance, name), units) in &mut self.local_units {
                if !state.is_partitioned(*instance) {
                    *self.levels.entry(name.clone()).or_default() -= std::mem::take(units);
                }
            }
            self.published.clone_from(&self.levels);
            let reachable =
                (0..state.instance_count()).filter(|instance| !state.is_partitioned(*instance));
            self.informed
                .extend(reachable.map(|instance| (instance, state.incarnation(instance))));
            self.messages += 4 * state.instance_count() as u64;
        }
    }

    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        cost: f64,
        _now: Instant,
    ) -> Decision {
        if self.informed.get(&instance) != Some(&state.incarnation(instance)) {
            return Decision::Unknown;
        }
        let published = self.published.get(&demand.name).copied().unwrap_or(0.0);
        let local_units = self
            .local_units
            .entry((instance, demand.name.clone()))
            .or_default();
        let fits = published - *local_units > 0.0;
        if fits {
            *local_units += cost;
        }
        Decision::if_fits(fits)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
