//! What is asked for: requests that wait, and how often each model is asked for.

use crate::upstreams::ModelWish;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashSet};

/// Time over which requests are averaged, in seconds: long enough to see a rare
/// model twice, short enough to follow demand that moves within some seconds.
const RATE_TIME_S: f64 = 4.0;
/// Models asked for less often are worth one replica whatever the policy.
const BUSY_RATE_S: f64 = 0.5;

/// How much a model is used now.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Requests that run, over all engines.
    pub runs: u32,
    /// Requests that an engine runs at one time.
    pub slots: u32,
}

/// A number as a floating point one; times and counts here are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) fn as_f64(number: u64) -> f64 {
    number as f64
}

/// A wish that waits.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) service: ServiceName,
    pub(super) wish: ModelWish,
    pub(super) since: Instant,
    until: Instant,
}

/// Requests a second, as an average that fades.
#[derive(Debug, Clone, Copy)]
struct Rate {
    per_s: f64,
    at: Instant,
}

impl Rate {
    fn now(&self, now: Instant) -> f64 {
        let quiet_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_s * (-quiet_s / RATE_TIME_S).exp()
    }
}

/// What waits, and how often each model is asked for.
#[derive(Debug, Default)]
pub(super) struct Demand {
    waiting: Vec<Waiting>,
    /// Models that requests wait for.
    awaited: HashSet<(ServiceName, ModelName)>,
    rates: BTreeMap<(ServiceName, ModelName), Rate>,
}

impl Demand {
    /// A request waits for a model or adapter until a moment at most.
    pub(super) fn waits(
        &mut self,
        service: &ServiceName,
        wish: &ModelWish,
        until: Instant,
        now: Instant,
    ) {
        let known = self
            .waiting
            .iter_mut()
            .find(|w| w.service == *service && w.wish == *wish);
        if let Some(known) = known {
            known.until = known.until.max(until);
            return;
        }
        self.awaited.insert((service.clone(), wish.model.clone()));
        self.waiting.push(Waiting {
            service: service.clone(),
            wish: wish.clone(),
            since: now,
            until,
        });
    }

    /// A wish waits no more.
    pub(super) fn served(&mut self, service: &ServiceName, wish: &ModelWish) {
        self.retain(|w| w.service != *service || w.wish != *wish);
    }

    /// Drops wishes whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        self.retain(|waiting| now < waiting.until);
    }

    fn retain(&mut self, stays: impl FnMut(&Waiting) -> bool) {
        let before = self.waiting.len();
        self.waiting.retain(stays);
        if self.waiting.len() == before {
            return;
        }
        let waiting = self.waiting.iter();
        let models = waiting.map(|w| (w.service.clone(), w.wish.model.clone()));
        self.awaited = models.collect();
    }

    /// What waits, the longest wait first.
    pub(super) fn waiting(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.clone();
        waiting.sort_by_key(|waiting| waiting.since);
        waiting
    }

    /// Whether a request waits for a model.
    pub(super) fn is_awaited(&self, service: &ServiceName, model: &ModelName) -> bool {
        !self.awaited.is_empty() && self.awaited.contains(&(service.clone(), model.clone()))
    }

    /// So many requests came for a model.
    pub(super) fn taken(
        &mut self,
        service: &ServiceName,
        wish: &ModelWish,
        count: u32,
        now: Instant,
    ) {
        let key = (service.clone(), wish.model.clone());
        let rate = self.rates.entry(key).or_insert(Rate {
            per_s: 0.0,
            at: now,
        });
        rate.per_s = rate.now(now) + f64::from(count) / RATE_TIME_S;
        rate.at = now;
    }

    /// Requests a second for a model.
    pub(super) fn rate(&self, service: &ServiceName, model: &ModelName, now: Instant) -> f64 {
        let key = (service.clone(), model.clone());
        self.rates.get(&key).map_or(0.0, |rate| rate.now(now))
    }

    /// Models of a service that may be worth more than one replica, the busiest first.
    pub(super) fn busy_models(&self, service: &ServiceName, now: Instant) -> Vec<ModelName> {
        let rated = self.rates.iter().filter(|((named, _), _)| named == service);
        let mut rated: Vec<(f64, ModelName)> = rated
            .map(|((_, model), rate)| (rate.now(now), model.clone()))
            .filter(|(rate, _)| *rate >= BUSY_RATE_S)
            .collect();
        rated.sort_by(|one, other| other.0.total_cmp(&one.0));
        rated.into_iter().map(|(_, model)| model).collect()
    }
}
