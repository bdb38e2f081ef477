//! The decisions of one router: admission, waiting, routing and retries.
//!
//! A [`RouterCore`] is sent_demands what happens and returns [`RouterAction`]s. Every
//! request that arrives ends in exactly one `Refuse`, or in a `Start` whose end
//! the caller reports with [`RouterCore::ended`].
//!
//! * [`events`]: what goes in and comes out.
//! * `admission`: whether a request is taken in at all.
//! * `waiters`: the queues of all models, each a [`queue`], and the [`fair_share`] of
//!   tokens that each workspace has had.
//! * `replicas`: the routes, and which upstream has a slot free.
//! * `attempts`: starting requests at upstreams, and what follows their end;
//!   [`budget`] is how many retries may be added to the traffic.
//! * `forecast`: when a model's requests can start; `refusals` gives up those
//!   that would start too late.
//! * `reports`: demands and use, as controllers are sent_demands of them.

mod admission;
mod attempts;
pub mod budget;
pub mod events;
pub mod fair_share;
mod forecast;
pub mod queue;
mod refusals;
mod replicas;
mod reports;
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

/// Time for a refusal to travel to the caller before its deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Priority of a request that policy gives none.
const DEFAULT_PRIORITY: u32 = 100;
/// Retry hint when a queue is full or a cap is reached.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides for one router.
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
    draining: bool,
    /// Until when the configuration counts as current; `None` without a bound.
    config_current_until: Option<Instant>,
}

impl RouterCore {
    /// A router that knows a catalog and no routes.
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
            draining: false,
            config_current_until: None,
        }
    }

    /// Takes over a newer catalog.
    pub fn use_catalog(&mut self, catalog: Arc<Catalog>) {
        if catalog.revision >= self.catalog.revision {
            self.catalog = catalog;
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// So many routers are listed_count, and may share the upstreams before controllers know them.
    /// Until a moment they are taken to be there: routers of a fleet that starts would each
    /// take an upstream for their own, be turned away by the other routers' requests, and
    /// spend their retries on that.
    pub fn assume_listed_routers(&mut self, listed_count: u32, until: Instant) {
        self.replicas.assume_listed_routers(listed_count, until);
    }

    /// How many routers share the upstreams, as controllers know them.
    pub fn set_router_count(&mut self, known_count: u32, now: Instant) {
        self.replicas.set_router_count(known_count, now);
    }

    /// Stops taking new requests; those that wait or run go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Records until when the configuration counts as current.
    pub fn set_config_current_until(&mut self, until: Instant) {
        self.config_current_until = Some(until);
    }

    /// Requests that wait or run.
    pub fn in_progress(&self) -> usize {
        self.attempts.len() + self.waiting()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Takes a request in: it starts, waits, or is refused.
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

    /// When a request that joins the model's queue now is expected to start.
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

    /// The caller of a waiting request went away.
    pub fn abandon(&mut self, request: RequestId) {
        self.waiters.remove_request(request);
    }

    /// Takes in where requests may be sent.
    ///
    /// `cell_models` tells which models a whole table speaks for.
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
            // A new table may come from a new holder, which knows no demand yet.
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

    /// Takes in the controller's answer to a demand.
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
            // The answer to a demand of before the route was known_count.
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

    /// Does what time brings: refusals, retries after a block, repeated demands, reports of use.
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

/// Takes one off a count and removes it at zero.
fn decrement(counts: &mut HashMap<Arc<str>, u32>, key: &Arc<str>) {
    if let Some(count) = counts.get_mut(key) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(key);
        }
    }
}
