//! Strategies for enforcing the limits that upstreams advertise.

use super::cases::FleetState;
use super::strategies::{Decision, Strategy, address};
use super::{Plan, WorkspaceDemand};
use passway_serving::allotment::{QuotaCoordinator, QuotaDecision};
use passway_serving::limits::{FallbackLimits, NO_OVERAGE};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Time until the retry of a refused request where a strategy has no better estimate.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// A coordinator counts the requests of all instances, which query it for each request. Instances
/// that do not reach the coordinator share a quarter of the limit. passway uses this strategy.
#[derive(Debug)]
pub struct CoordinatorLimits {
    coordinator: QuotaCoordinator,
    term: u64,
    fallback: HashMap<(usize, u64), FallbackLimits>,
    rng: ChaCha8Rng,
    messages: u64,
}

impl CoordinatorLimits {
    /// Creates the strategy without any recorded request.
    pub fn new(plan: &Plan) -> Self {
        Self {
            coordinator: QuotaCoordinator::new(NO_OVERAGE, passway_types::clock::now()),
            term: 0,
            fallback: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            messages: 0,
        }
    }
}

impl Strategy for CoordinatorLimits {
    fn advance(&mut self, state: &FleetState, now: Instant) {
        if state.term != self.term {
            self.term = state.term;
            self.coordinator = QuotaCoordinator::new(NO_OVERAGE, now);
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
        if state.is_partitioned(instance) || state.is_holder_lost {
            let incarnation = state.incarnation(instance);
            let fallback = self.fallback.entry((instance, incarnation)).or_default();
            let per_s = demand.allotment.rate_per_s;
            let (instances, random) = (state.instance_count(), self.rng.random());
            return if fallback.try_take(&demand.name, per_s, instances, random, now) {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        }
        self.messages += 4;
        let sender = address(instance);
        match self
            .coordinator
            .decide(&demand.name, demand.allotment, sender, cost, now)
        {
            QuotaDecision::Granted { .. } => Decision::Granted,
            QuotaDecision::Refused { retry_after } => Decision::Refused(retry_after),
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Level and last update of each bucket, by instance, its incarnation, and upstream.
type Buckets = HashMap<(usize, u64, UpstreamId), (f64, Instant)>;

/// Takes one request from a bucket, which is empty at first.
fn try_take(
    buckets: &mut Buckets,
    key: (usize, u64, UpstreamId),
    rate_per_s: f64,
    burst: f64,
    now: Instant,
) -> Decision {
    let (level, updated_at) = buckets.entry(key).or_insert((0.0, now));
    let elapsed = now.saturating_duration_since(*updated_at).as_secs_f64();
    *level = (*level + rate_per_s * elapsed).min(burst);
    *updated_at = now;
    if *level < 1.0 {
        return Decision::Refused(RETRY_AFTER);
    }
    *level -= 1.0;
    Decision::Granted
}

/// Each instance may use an equal share of the limit.
#[derive(Debug, Default)]
pub struct EqualSplit(Buckets);

impl Strategy for EqualSplit {
    fn advance(&mut self, _state: &FleetState, _now: Instant) {}

    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        _cost: f64,
        now: Instant,
    ) -> Decision {
        let key = (instance, state.incarnation(instance), demand.name.clone());
        let rate_per_s =
            demand.allotment.rate_per_s / super::count_f64(state.instance_count() as u64);
        try_take(&mut self.0, key, rate_per_s, 1.0, now)
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// Only one instance, chosen by a hash of the upstream, sends to a limited upstream.
#[derive(Debug, Default)]
pub struct SingleSender(Buckets);

impl Strategy for SingleSender {
    fn advance(&mut self, _state: &FleetState, _now: Instant) {}

    fn decide(
        &mut self,
        state: &FleetState,
        instance: usize,
        demand: &WorkspaceDemand,
        _cost: f64,
        now: Instant,
    ) -> Decision {
        let hash = passway_serving::hash::mixed(0, &demand.name);
        let sender = hash % u64::try_from(state.instance_count()).unwrap_or(1);
        if u64::try_from(instance) != Ok(sender) {
            return Decision::Refused(RETRY_AFTER);
        }
        let key = (instance, state.incarnation(instance), demand.name.clone());
        let allotment = demand.allotment;
        try_take(&mut self.0, key, allotment.rate_per_s, allotment.burst, now)
    }

    fn messages(&self) -> u64 {
        0
    }
}
