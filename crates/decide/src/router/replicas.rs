//! The replicas that a router can send requests to, and the router's own load on their upstreams.

use passway_config::Catalog;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// The routes of one router and the state that decides which of them can take a request.
#[derive(Debug)]
pub(super) struct Replicas {
    rng: ChaCha8Rng,
    routes: HashMap<ModelName, Vec<UpstreamId>>,
    /// This router's running requests per upstream.
    running: HashMap<UpstreamId, u32>,
    upstream_blocked_until: HashMap<UpstreamId, Instant>,
    /// Replicas that their upstreams reported as not loaded. The controller learns of a missing
    /// replica from the upstream's status and withdraws the route if the model stays absent.
    replica_blocked_until: HashMap<(ModelName, UpstreamId), Instant>,
    /// Number of routers that share the slots of each upstream.
    router_count: u32,
    /// Number of listed routers and the time until which all of them are assumed to run.
    assumed_routers: Option<(u32, Instant)>,
}

impl Replicas {
    /// Returns a state without routes in which this router uses all slots of every upstream.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            routes: HashMap::new(),
            running: HashMap::new(),
            upstream_blocked_until: HashMap::new(),
            replica_blocked_until: HashMap::new(),
            router_count: 1,
            assumed_routers: None,
        }
    }

    /// Assumes until `until` that at least `listed_count` routers share the upstreams.
    pub(super) fn assume_listed_routers(&mut self, listed_count: u32, until: Instant) {
        self.assumed_routers = Some((listed_count, until));
        self.router_count = self.router_count.max(listed_count);
    }

    /// Sets the number of routers known to controllers; an assumption in effect is the minimum.
    pub(super) fn set_router_count(&mut self, known_count: u32, now: Instant) {
        let assumed = self.assumed_routers.filter(|(_, until)| now < *until);
        let listed_count = assumed.map_or(1, |(listed_count, _)| listed_count);
        self.router_count = known_count.max(listed_count).max(1);
    }

    /// Whether the model has a route.
    pub(super) fn has_route(&self, model: &str) -> bool {
        self.routes.contains_key(model)
    }

    /// Adds a route if it does not exist yet.
    pub(super) fn add_route(&mut self, model: &ModelName, upstream: &UpstreamId) {
        let upstreams = self.routes.entry(model.clone()).or_default();
        if !upstreams.contains(upstream) {
            upstreams.push(upstream.clone());
        }
    }

    /// Removes a route if it exists.
    pub(super) fn remove_route(&mut self, model: &ModelName, upstream: &UpstreamId) {
        if let Some(upstreams) = self.routes.get_mut(model) {
            upstreams.retain(|id| id != upstream);
            if upstreams.is_empty() {
                self.routes.remove(model);
            }
        }
    }

    /// Removes all routes of the models that match.
    pub(super) fn remove_routes_where(&mut self, matches: impl Fn(&ModelName) -> bool) {
        self.routes.retain(|model, _| !matches(model));
    }

    /// Returns this router's slots for a model on all its upstreams; `None` without a route.
    pub(super) fn total_slots(&self, catalog: &Catalog, model: &str) -> Option<u32> {
        let upstreams = self.routes.get(model)?;
        Some(upstreams.iter().map(|id| self.slots_on(catalog, id)).sum())
    }

    /// Returns this router's part of an upstream's slots, at least one.
    fn slots_on(&self, catalog: &Catalog, upstream: &str) -> u32 {
        catalog
            .upstreams
            .get(upstream)
            .map_or(0, |entry| (entry.slots / self.router_count).max(1))
    }

    fn running_on(&self, upstream: &str) -> u32 {
        self.running.get(upstream).copied().unwrap_or(0)
    }

    fn can_take_request(
        &self,
        now: Instant,
        catalog: &Catalog,
        model: &ModelName,
        upstream: &UpstreamId,
    ) -> bool {
        let is_past = |until: &Instant| now >= *until;
        let is_upstream_blocked = !self
            .upstream_blocked_until
            .get(upstream)
            .is_none_or(is_past);
        let replica = (model.clone(), upstream.clone());
        let is_replica_blocked = !self.replica_blocked_until.get(&replica).is_none_or(is_past);
        !is_upstream_blocked
            && !is_replica_blocked
            && self.running_on(upstream) < self.slots_on(catalog, upstream)
    }

    /// Whether any replica of the model can take a request.
    pub(super) fn has_free_slot(&self, now: Instant, catalog: &Catalog, model: &ModelName) -> bool {
        let upstreams = self.routes.get(model);
        upstreams.is_some_and(|upstreams| {
            upstreams
                .iter()
                .any(|id| self.can_take_request(now, catalog, model, id))
        })
    }

    /// Chooses the less loaded of two random free replicas, by this router's own load.
    pub(super) fn choose_upstream(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        model: &ModelName,
    ) -> Option<UpstreamId> {
        let upstreams = self.routes.get(model)?;
        let free_upstreams: Vec<&UpstreamId> = upstreams
            .iter()
            .filter(|upstream| self.can_take_request(now, catalog, model, upstream))
            .collect();
        if free_upstreams.is_empty() {
            return None;
        }
        let first = free_upstreams[self.rng.random_range(0..free_upstreams.len())];
        let second = free_upstreams[self.rng.random_range(0..free_upstreams.len())];
        let chosen = if self.running_on(second) < self.running_on(first) {
            second
        } else {
            first
        };
        Some(chosen.clone())
    }

    /// Counts a request that was sent to the upstream.
    pub(super) fn request_started(&mut self, upstream: &UpstreamId) {
        *self.running.entry(upstream.clone()).or_default() += 1;
    }

    /// Removes a request to the upstream that has ended.
    pub(super) fn request_ended(&mut self, upstream: &UpstreamId) {
        super::decrement(&mut self.running, upstream);
    }

    /// Blocks an upstream: no request is sent to it until `until`.
    pub(super) fn block_upstream(&mut self, upstream: &UpstreamId, until: Instant) {
        self.upstream_blocked_until.insert(upstream.clone(), until);
    }

    /// Blocks one replica: no request is sent to it until `until`.
    pub(super) fn block_replica(
        &mut self,
        model: &ModelName,
        upstream: &UpstreamId,
        until: Instant,
    ) {
        let replica = (model.clone(), upstream.clone());
        self.replica_blocked_until.insert(replica, until);
    }

    /// Removes the blocks that have expired.
    pub(super) fn remove_expired_blocks(&mut self, now: Instant) {
        self.upstream_blocked_until.retain(|_, until| now < *until);
        self.replica_blocked_until.retain(|_, until| now < *until);
    }
}
