//! Decision logic of one router: admission, queueing, routing and retries.
//!
//! A [`RouterCore`] is notified of events and returns [`RouterAction`]s. Every request that arrives
//! gets exactly one final answer: a `Refuse`, or a `Start` whose outcome the caller reports with
//! [`RouterCore::attempt_ended`].
//!
//! * [`events`]: the inputs and outputs of the router.
//! * `admission`: whether a request is accepted.
//! * `waiters`: one [`queue`] per model and the [`token_counters`] for fair sharing
//!   between workspaces.
//! * `replicas`: the routes, and which upstreams have a free slot.
//! * `attempts`: starting requests at upstreams and handling their outcomes. [`budget`] limits the
//!   retries added to the traffic.
//! * `forecast`: when requests for a model can start. `refusals` refuses requests that would start
//!   too late.
//! * `reports`: demand and usage reports to controllers.

mod admission;
mod attempts;
pub mod budget;
pub mod events;
mod forecast;
pub mod queue;
mod refusals;
mod replicas;
mod reports;
pub mod token_counters;
mod waiters;

use crate::messages::{DemandVerdict, RouteChange};
use attempts::Attempts;
use budget::RetryBudget;
pub use events::{Arrival, AttemptOutcome, RouterAction};
use forecast::Forecast;
use passway_config::Catalog;
use passway_types::prelude::*;
use queue::WaitingRequest;
use replicas::Replicas;
use reports::SentDemand;
use std::collections::{HashMap, HashSet};
use waiters::Waiters;

/// Time before a request's deadline that is reserved for the answer to reach the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Priority used where the caller or the policy sets none.
const DEFAULT_PRIORITY: u32 = 100;
/// Retry-after hint when a queue is full or a cap is reached.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decision state of one router.
#[derive(Debug)]
pub struct RouterCore {
    router: Incarnation,
    catalog: Arc<Catalog>,
    replicas: Replicas,
    waiters: Waiters,
    attempts: Attempts,
    budget: RetryBudget,
    forecast: Forecast,
    sent_demands: HashMap<ModelName, SentDemand>,
    models_in_use: HashSet<ModelName>,
    next_usage_report_at: Instant,
    is_draining: bool,
    /// The time until which the configuration counts as current; `None` means forever.
    config_current_until: Option<Instant>,
}

impl RouterCore {
    /// Returns a router with this catalog and without routes. `router` also seeds its random
    /// choices.
    pub fn new(router: Incarnation, catalog: Arc<Catalog>, now: Instant) -> Self {
        Self {
            router,
            catalog,
            replicas: Replicas::new(router),
            waiters: Waiters::default(),
            attempts: Attempts::default(),
            budget: RetryBudget::default(),
            forecast: Forecast::default(),
            sent_demands: HashMap::new(),
            models_in_use: HashSet::new(),
            next_usage_report_at: now,
            is_draining: false,
            config_current_until: None,
        }
    }

    /// Replaces the catalog unless the new one has an older revision.
    pub fn use_catalog(&mut self, catalog: Arc<Catalog>) {
        if catalog.revision >= self.catalog.revision {
            self.catalog = catalog;
        }
    }

    /// Returns the catalog in use.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Assumes until `until` that at least `listed_count` routers share the upstreams, even if
    /// controllers know fewer.
    ///
    /// When a fleet starts, controllers do not know all routers yet. Without the assumption each
    /// router would use all slots of an upstream, be turned away because of the other routers'
    /// requests and spend its retry budget on that.
    pub fn assume_listed_routers(&mut self, listed_count: u32, until: Instant) {
        self.replicas.assume_listed_routers(listed_count, until);
    }

    /// Sets how many routers share the upstreams, as reported by controllers.
    pub fn set_router_count(&mut self, known_count: u32, now: Instant) {
        self.replicas.set_router_count(known_count, now);
    }

    /// Stops accepting new requests. Waiting and running requests continue.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Sets the time until which the configuration counts as current.
    pub fn set_config_current_until(&mut self, until: Instant) {
        self.config_current_until = Some(until);
    }

    /// Returns the number of requests that wait or run.
    pub fn in_progress(&self) -> usize {
        self.attempts.len() + self.waiting()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Accepts a request, which starts or waits, or refuses it.
    pub fn handle_arrival(&mut self, now: Instant, arrival: &Arrival) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let request = arrival.request;
        match self.admit(now, arrival) {
            Ok((model, waiting)) => {
                self.enqueue(model, waiting);
                self.dispatch(now, &mut actions);
                self.send_demands(now, &mut actions);
            }
            Err(refusal) => actions.push(RouterAction::Refuse { request, refusal }),
        }
        actions
    }

    /// Returns when a request that joins the model's queue now is expected to start.
    fn expected_start(&self, now: Instant, model: &str) -> Instant {
        let slots = self.replicas.total_slots(&self.catalog, model);
        let ahead = self.waiters.count_for_model(model);
        self.forecast.expected_start(now, model, slots, ahead)
    }

    fn enqueue(&mut self, model: ModelName, waiting: WaitingRequest) {
        let workspace = self.catalog.workspaces.get(&waiting.workspace);
        let share = workspace.map_or(1, |workspace| workspace.share);
        self.waiters.add(model, waiting, share);
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn abandon(&mut self, request: RequestId) {
        self.waiters.remove_request(request);
    }

    /// Applies a change of the routing table of `cell`.
    ///
    /// A snapshot replaces the routes of all models of `cell`.
    pub fn apply_route_change(
        &mut self,
        now: Instant,
        change: &RouteChange,
        cell: &str,
    ) -> Vec<RouterAction> {
        if change.is_snapshot {
            let catalog = self.catalog.clone();
            self.replicas.remove_routes_where(|model| {
                catalog.models.get(model).is_none_or(|m| &*m.cell == cell)
            });
            // The snapshot may come from a new holder, which has not received any demand.
            self.sent_demands.clear();
        }
        for (model, upstream) in &change.removed {
            self.replicas.remove_route(model, upstream);
        }
        for (model, upstream) in &change.added {
            self.replicas.add_route(model, upstream);
            self.forecast.clear(model);
        }
        let mut actions = Vec::new();
        self.dispatch(now, &mut actions);
        self.send_demands(now, &mut actions);
        actions
    }

    /// Handles the controller's answer to a demand.
    pub fn handle_verdict(
        &mut self,
        now: Instant,
        model: &ModelName,
        verdict: DemandVerdict,
    ) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        match verdict {
            DemandVerdict::ReadyAt(ready_at) => {
                self.forecast.set_ready_at(model, ready_at);
                self.refuse_unreachable(now, model, &mut actions);
            }
            // Ignored: the refusal answers a demand that was sent before the route was known.
            DemandVerdict::Refused { .. } if self.replicas.has_route(model) => {}
            DemandVerdict::Refused { code, retry_at } => {
                let refusal = Refusal::new(code, "the model is asleep and cannot be woken")
                    .retry_after(retry_at.saturating_duration_since(now));
                self.sent_demands.remove(model);
                self.forecast.set_refusal(now, model, refusal.clone());
                self.refuse_matching(model, |_| true, &refusal, &mut actions);
            }
        }
        actions
    }

    /// Does what is due: refusals, retries after a backoff, repeated demands and usage reports.
    pub fn tick(&mut self, now: Instant) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        for model in self.waiters.models() {
            self.refuse_expired(now, &model, &mut actions);
            self.refuse_unreachable(now, &model, &mut actions);
        }
        self.replicas.remove_expired_blocks(now);
        self.dispatch(now, &mut actions);
        self.send_demands(now, &mut actions);
        self.report_usage(now, &mut actions);
        actions
    }
}

/// Decrements the count of a key and removes the key at zero.
fn decrement(counts: &mut HashMap<Arc<str>, u32>, key: &Arc<str>) {
    if let Some(count) = counts.get_mut(key) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(key);
        }
    }
}
