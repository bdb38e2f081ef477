//! Ways to keep upstreams in need to their limits.

use super::cases::State;
use super::ways::{Decision, Way, address};
use super::{Asking, Plan};
use passway_serving::allotment::{QuotaCoordinator, QuotaDecision};
use passway_serving::limits::{FallbackLimits, NO_OVERAGE};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// A refused request comes back after this where a way knows no better.
const BACK: Duration = Duration::from_millis(400);

/// One instance counts for all and is asked for each request; without it, a quarter of the limit,
/// shared by all. What the product does.
#[derive(Debug)]
pub struct AskedCounter {
    keeper: QuotaCoordinator,
    term: u64,
    shares: HashMap<(usize, u64), FallbackLimits>,
    rng: ChaCha8Rng,
    messages: u64,
}

impl AskedCounter {
    /// Before anything was asked.
    pub fn new(plan: &Plan) -> Self {
        Self {
            keeper: QuotaCoordinator::new(NO_OVERAGE, passway_types::clock::now()),
            term: 0,
            shares: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            messages: 0,
        }
    }
}

impl Way for AskedCounter {
    fn pass_time(&mut self, state: &State, now: Instant) {
        if state.term != self.term {
            self.term = state.term;
            self.keeper = QuotaCoordinator::new(NO_OVERAGE, now);
        }
    }

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        cost: f64,
        now: Instant,
    ) -> Decision {
        if state.is_cut(instance) || state.holder_lost {
            let life = state.life(instance);
            let shares = self.shares.entry((instance, life)).or_default();
            let per_s = asking.allotment.rate_per_s;
            let (all, drawn) = (state.instances(), self.rng.random());
            return if shares.try_take(&asking.name, per_s, all, drawn, now) {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        }
        self.messages += 4;
        let from = address(instance);
        match self
            .keeper
            .decide(&asking.name, asking.allotment, from, cost, now)
        {
            QuotaDecision::Granted { .. } => Decision::Granted,
            QuotaDecision::Refused { retry_after } => Decision::Refused(retry_after),
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Buckets by instance and its life.
type Buckets = HashMap<(usize, u64, UpstreamId), (f64, Instant)>;

fn take(
    buckets: &mut Buckets,
    key: (usize, u64, UpstreamId),
    rate_per_s: f64,
    burst: f64,
    now: Instant,
) -> Decision {
    let (level, at) = buckets.entry(key).or_insert((0.0, now));
    let passed = now.saturating_duration_since(*at).as_secs_f64();
    *level = (*level + rate_per_s * passed).min(burst);
    *at = now;
    if *level < 1.0 {
        return Decision::Refused(BACK);
    }
    *level -= 1.0;
    Decision::Granted
}

/// Each instance has an equal part of the limit.
#[derive(Debug, Default)]
pub struct EqualParts(Buckets);

impl Way for EqualParts {
    fn pass_time(&mut self, _state: &State, _now: Instant) {}

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        _cost: f64,
        now: Instant,
    ) -> Decision {
        let key = (instance, state.life(instance), asking.name.clone());
        let part = asking.allotment.rate_per_s / super::count(state.instances() as u64);
        take(&mut self.0, key, part, 1.0, now)
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// One instance alone sends to an upstream in need.
#[derive(Debug, Default)]
pub struct OneSender(Buckets);

impl Way for OneSender {
    fn pass_time(&mut self, _state: &State, _now: Instant) {}

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        _cost: f64,
        now: Instant,
    ) -> Decision {
        let drawn = passway_serving::hash::mixed(0, &asking.name);
        let sender = drawn % u64::try_from(state.instances()).unwrap_or(1);
        if u64::try_from(instance) != Ok(sender) {
            return Decision::Refused(BACK);
        }
        let key = (instance, state.life(instance), asking.name.clone());
        let allotment = asking.allotment;
        take(&mut self.0, key, allotment.rate_per_s, allotment.burst, now)
    }

    fn messages(&self) -> u64 {
        0
    }
}
