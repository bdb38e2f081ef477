//! The decisions of one router: admission, waiting, routing and retries.
//!
//! A [`RouterCore`] is told what happens and returns [`RouterAction`]s. Every
//! request that arrives ends in exactly one `Refuse`, or in a `Start` whose end
//! the caller reports with [`RouterCore::ended`].
//!
//! * [`events`]: what goes in and comes out.
//! * `admission`: whether a request is taken in at all.
//! * `waiters`: the queues of all models, each a [`queue`], and the [`share`] of
//!   tokens that each workspace has had.
//! * `replicas`: the routes, and which upstream has a slot free.
//! * `attempts`: starting requests at upstreams, and what follows their end;
//!   [`budget`] is how many retries may be added to the traffic.
//! * `forecast`: when a model's requests can start; `refusals` gives up those
//!   that would start too late.
//! * `reports`: demands and use, as controllers are told of them.

mod admission;
mod attempts;
pub mod budget;
pub mod events;
mod forecast;
pub mod queue;
mod refusals;
mod replicas;
mod reports;
pub mod share;
mod waiters;

use crate::messages::{DemandVerdict, RouteChange};
use attempts::Attempts;
use budget::RetryBudget;
pub use events::{Arrival, Ended, RouterAction};
use forecast::Forecast;
use passway_config::Catalog;
use passway_types::prelude::*;
use queue::Waiting;
use replicas::Replicas;
use reports::Told;
use std::collections::{HashMap, HashSet};
use waiters::Waiters;

/// Time for a refusal to travel to the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Priority of a request that policy gives none.
const DEFAULT_PRIORITY: u32 = 100;
/// Retry hint when a queue is full or a cap is reached.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Decides for one router.
#[derive(Debug)]
pub struct RouterCore {
    me: Incarnation,
    catalog: Arc<Catalog>,
    replicas: Replicas,
    waiters: Waiters,
    attempts: Attempts,
    budget: RetryBudget,
    forecast: Forecast,
    told: HashMap<ModelName, Told>,
    used: HashSet<ModelName>,
    usage_at: Instant,
    draining: bool,
    /// Until when the configuration counts as current; `None` without a bound.
    current_until: Option<Instant>,
}

impl RouterCore {
    /// A router that knows a catalog and no routes.
    pub fn new(me: Incarnation, catalog: Arc<Catalog>, now: Instant) -> Self {
        Self {
            me,
            catalog,
            replicas: Replicas::new(me),
            waiters: Waiters::default(),
            attempts: Attempts::default(),
            budget: RetryBudget::default(),
            forecast: Forecast::default(),
            told: HashMap::new(),
            used: HashSet::new(),
            usage_at: now,
            draining: false,
            current_until: None,
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

    /// So many routers are listed, and may share the upstreams before controllers know them.
    /// Until a moment they are taken to be there: routers of a fleet that starts would each
    /// take an upstream for their own, be turned away by the other routers' requests, and
    /// spend their retries on that.
    pub fn expect_routers(&mut self, listed: u32, until: Instant) {
        self.replicas.expect_routers(listed, until);
    }

    /// How many routers share the upstreams, as controllers know them.
    pub fn set_routers(&mut self, known: u32, now: Instant) {
        self.replicas.set_routers(known, now);
    }

    /// Stops taking new requests; those that wait or run go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Records until when the configuration counts as current.
    pub fn set_current_until(&mut self, until: Instant) {
        self.current_until = Some(until);
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
    pub fn arrive(&mut self, now: Instant, arrival: &Arrival) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let request = arrival.request;
        match self.admit(now, arrival) {
            Ok((model, waiting)) => {
                self.enqueue(model, waiting);
                self.dispatch(now, &mut actions);
                self.tell_demands(now, &mut actions);
            }
            Err(refusal) => actions.push(RouterAction::Refuse { request, refusal }),
        }
        actions
    }

    /// When a request that joins the model's queue now is expected to start.
    fn expected_start(&self, now: Instant, model: &str) -> Instant {
        let slots = self.replicas.slots_of(&self.catalog, model);
        let ahead = self.waiters.of_model(model);
        self.forecast.start(now, model, slots, ahead)
    }

    fn enqueue(&mut self, model: ModelName, waiting: Waiting) {
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
    pub fn routes_changed(
        &mut self,
        now: Instant,
        change: &RouteChange,
        cell: &str,
    ) -> Vec<RouterAction> {
        if change.whole {
            let catalog = self.catalog.clone();
            self.replicas
                .remove_models(|model| catalog.models.get(model).is_none_or(|m| &*m.cell == cell));
            // A new table may come from a new holder, which knows no demand yet.
            self.told.clear();
        }
        for (model, upstream) in &change.removed {
            self.replicas.remove_route(model, upstream);
        }
        for (model, upstream) in &change.added {
            self.replicas.add_route(model, upstream);
            self.forecast.routed(model);
        }
        let mut actions = Vec::new();
        self.dispatch(now, &mut actions);
        self.tell_demands(now, &mut actions);
        actions
    }

    /// Takes in the controller's answer to a demand.
    pub fn verdict(
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
            // The answer to a demand of before the route was known.
            DemandVerdict::Refused { .. } if self.replicas.has_route(model) => {}
            DemandVerdict::Refused { code, retry_at } => {
                let refusal = Refusal::new(code, "the model is asleep and cannot be woken")
                    .retry_after(retry_at.saturating_duration_since(now));
                self.told.remove(model);
                self.forecast.refuse(now, model, refusal.clone());
                self.refuse_where(model, |_| true, &refusal, &mut actions);
            }
        }
        actions
    }

    /// Does what time brings: refusals, retries after a block, repeated demands, reports of use.
    pub fn tick(&mut self, now: Instant) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        for model in self.waiters.models() {
            self.refuse_overdue(now, &model, &mut actions);
            self.refuse_unreachable(now, &model, &mut actions);
        }
        self.replicas.expire(now);
        self.dispatch(now, &mut actions);
        self.tell_demands(now, &mut actions);
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
