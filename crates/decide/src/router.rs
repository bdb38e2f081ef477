//! The decisions of one router: admission, waiting, routing and retries.
//!
//! A [`RouterCore`] is told what happens and returns [`RouterAction`]s. Every
//! request that arrives ends in exactly one `Refuse`, or in a `Start` whose end
//! the caller reports with [`RouterCore::ended`].
//!
//! * [`events`]: what goes in and comes out.
//! * [`queue`]: requests that wait for one model, by workspace.
//! * [`share`]: fair sharing of tokens between workspaces.
//! * [`budget`]: how many retries may be added to the traffic.

pub mod budget;
pub mod events;
pub mod queue;
mod reports;
pub mod share;

use crate::messages::{DemandVerdict, RouteChange};
use budget::RetryBudget;
pub use events::{Arrival, Ended, RouterAction};
use passway_config::Catalog;
use passway_config::policy::Attributes;
use passway_types::prelude::*;
use queue::{ModelQueue, Place, Waiting};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reports::Told;
use share::ShareClock;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Time for a refusal to travel to the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// First guess of the time that a warm engine needs for a whole request.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Weight of the newest service time in the moving average, as a divisor.
const SERVICE_TIME_DIVISOR: u32 = 8;
/// Time for which an upstream that refused a connection gets nothing.
const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Time for which an upstream that had no slot free gets nothing.
const BUSY_TIME: Duration = Duration::from_millis(50);
/// Time for which a refusal by the controller answers new arrivals too.
const REFUSAL_MEMORY: Duration = Duration::from_millis(250);
/// Priority of a request that policy gives none.
const DEFAULT_PRIORITY: u32 = 100;
/// Tokens assumed for a request until its answer is counted.
const ASSUMED_TOKENS: u32 = 64;
/// Retry hint when a queue is full or a cap is reached.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// A request that an upstream works on.
#[derive(Debug)]
struct Running {
    waiting: Waiting,
    model: ModelName,
    upstream: UpstreamId,
    started_at: Instant,
}

/// Decides for one router.
#[derive(Debug)]
pub struct RouterCore {
    me: Incarnation,
    catalog: Arc<Catalog>,
    rng: ChaCha8Rng,
    routes: HashMap<ModelName, Vec<UpstreamId>>,
    queues: BTreeMap<ModelName, ModelQueue>,
    running: HashMap<RequestId, Running>,
    upstream_running: HashMap<UpstreamId, u32>,
    workspace_running: HashMap<WorkspaceName, u32>,
    workspace_waiting: HashMap<WorkspaceName, u32>,
    model_running: HashMap<ModelName, u32>,
    blocked_until: HashMap<UpstreamId, Instant>,
    /// Replicas that upstreams denied to hold; the controller hears of it from
    /// the upstream itself and takes the route back if that lasts.
    denied_until: HashMap<(ModelName, UpstreamId), Instant>,
    shares: ShareClock,
    budget: RetryBudget,
    service_time: Duration,
    ready_at: HashMap<ModelName, Instant>,
    refused: HashMap<ModelName, (Instant, Refusal)>,
    told: HashMap<ModelName, Told>,
    used: HashSet<ModelName>,
    usage_at: Instant,
    routers: u32,
    /// Routers that are listed, and until when they count as there.
    expected: Option<(u32, Instant)>,
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
            rng: ChaCha8Rng::seed_from_u64(me),
            routes: HashMap::new(),
            queues: BTreeMap::new(),
            running: HashMap::new(),
            upstream_running: HashMap::new(),
            workspace_running: HashMap::new(),
            workspace_waiting: HashMap::new(),
            model_running: HashMap::new(),
            blocked_until: HashMap::new(),
            denied_until: HashMap::new(),
            shares: ShareClock::default(),
            budget: RetryBudget::default(),
            service_time: FIRST_SERVICE_TIME,
            ready_at: HashMap::new(),
            refused: HashMap::new(),
            told: HashMap::new(),
            used: HashSet::new(),
            usage_at: now,
            routers: 1,
            expected: None,
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
        self.expected = Some((listed, until));
        self.routers = self.routers.max(listed);
    }

    /// How many routers share the upstreams, as controllers know them.
    pub fn set_routers(&mut self, known: u32, now: Instant) {
        let expected = self.expected.filter(|(_, until)| now < *until);
        let listed = expected.map_or(1, |(listed, _)| listed);
        self.routers = known.max(listed).max(1);
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
        self.running.len() + self.waiting()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ModelQueue::len).sum()
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

    /// Whether this instance takes new work at all.
    ///
    /// # Errors
    /// The refusal that any new request gets.
    pub fn check_serving(&self, now: Instant) -> Result<(), Refusal> {
        if self.draining {
            let refusal = Refusal::new(ResultCode::Draining, "this instance is leaving");
            return Err(refusal.retry_after(Duration::ZERO));
        }
        let bounded = self.current_until;
        if bounded.is_some_and(|until| now >= until || self.catalog.revision == 0) {
            let refusal = Refusal::new(ResultCode::ConfigStale, "no word of the configuration");
            return Err(refusal.retry_after(BUSY_RETRY));
        }
        Ok(())
    }

    fn admit(&mut self, now: Instant, arrival: &Arrival) -> Result<(ModelName, Waiting), Refusal> {
        self.check_serving(now)?;
        let unknown = || Refusal::new(ResultCode::UnknownModel, arrival.model.clone());
        let model = self
            .catalog
            .resolve(&arrival.model)
            .ok_or_else(unknown)?
            .name
            .clone();
        let unknown = || Refusal::new(ResultCode::UnknownWorkspace, arrival.workspace.clone());
        let workspace = self
            .catalog
            .workspaces
            .get(arrival.workspace.as_str())
            .ok_or_else(unknown)?;
        let waiting_now = self
            .workspace_waiting
            .get(&workspace.name)
            .copied()
            .unwrap_or(0);
        if waiting_now >= workspace.max_waiting {
            return Err(Refusal::new(
                ResultCode::QueueFull,
                "too many requests of the workspace wait",
            )
            .retry_after(BUSY_RETRY));
        }
        let asked_priority = arrival.priority.unwrap_or(DEFAULT_PRIORITY);
        let ruling = self.catalog.policy.rule(&Attributes {
            workspace: &workspace.name,
            model: &model,
            kind: &arrival.kind,
            priority: asked_priority,
        });
        let deadline_at = arrival
            .deadline_at
            .unwrap_or(now + workspace.default_deadline);
        let may_wait_until = ruling.may_wait.map(|may_wait| now + may_wait);
        let waiting = Waiting {
            request: arrival.request,
            workspace: workspace.name.clone(),
            asked_priority,
            priority: ruling.priority.unwrap_or(DEFAULT_PRIORITY),
            deadline_at,
            give_up_at: may_wait_until.map_or(deadline_at, |at| at.min(deadline_at)),
            max_running: ruling.max_running,
            may_have_run: false,
        };
        self.check_reachable(now, &model, &waiting)?;
        Ok((model, waiting))
    }

    /// Refuses at once what is known not to be served in time.
    fn check_reachable(
        &mut self,
        now: Instant,
        model: &ModelName,
        waiting: &Waiting,
    ) -> Result<(), Refusal> {
        self.refused.retain(|_, (until, _)| *until > now);
        if let Some((_, refusal)) = self.refused.get(model) {
            return Err(refusal.clone());
        }
        let ready_at = self.expected_start(now, model);
        if ready_at + ANSWER_MARGIN > waiting.give_up_at {
            return Err(deadline_unreachable(now, ready_at));
        }
        Ok(())
    }

    /// When a request that joins the model's queue now is expected to start.
    fn expected_start(&self, now: Instant, model: &str) -> Instant {
        let Some(upstreams) = self.routes.get(model) else {
            return self.ready_at.get(model).copied().unwrap_or(now).max(now);
        };
        let slots: u32 = upstreams.iter().map(|upstream| self.slots(upstream)).sum();
        let ahead = self.queues.get(model).map_or(0, ModelQueue::len);
        let rounds = u32::try_from(ahead).unwrap_or(u32::MAX) / slots.max(1);
        now + self.service_time.saturating_mul(rounds)
    }

    fn enqueue(&mut self, model: ModelName, waiting: Waiting) {
        *self
            .workspace_waiting
            .entry(waiting.workspace.clone())
            .or_default() += 1;
        let share = self
            .catalog
            .workspaces
            .get(&waiting.workspace)
            .map_or(1, |workspace| workspace.share);
        self.shares.join(&waiting.workspace, share);
        self.queues.entry(model).or_default().push(waiting);
    }

    fn dequeue(&mut self, model: &ModelName, place: &Place) -> Option<Waiting> {
        let queue = self.queues.get_mut(model)?;
        let waiting = queue.remove(place)?;
        if queue.is_empty() {
            self.queues.remove(model);
        }
        if let Some(count) = self.workspace_waiting.get_mut(&waiting.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.shares.leave(&waiting.workspace);
            }
        }
        Some(waiting)
    }

    /// Starts whatever has a free slot, in the order that policy and shares give.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        while let Some((model, place, upstream)) = self.next_start(now) {
            let Some(waiting) = self.dequeue(&model, &place) else {
                return;
            };
            actions.push(self.start(now, model, waiting, upstream));
        }
    }

    fn next_start(&mut self, now: Instant) -> Option<(ModelName, Place, UpstreamId)> {
        let mut best: Option<(ModelName, Place)> = None;
        for (model, queue) in &self.queues {
            if !self.has_free_slot(now, model) {
                continue;
            }
            let may_run = |waiting: &Waiting| self.workspace_may_run(waiting);
            let Some(place) = queue.first(&self.shares, may_run) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, first)| place < *first) {
                best = Some((model.clone(), place));
            }
        }
        let (model, place) = best?;
        let upstream = self.choose(now, &model)?;
        Some((model, place, upstream))
    }

    fn workspace_may_run(&self, waiting: &Waiting) -> bool {
        let running = self
            .workspace_running
            .get(&waiting.workspace)
            .copied()
            .unwrap_or(0);
        waiting.max_running.is_none_or(|most| running < most)
    }

    /// This router's part of an upstream's slots.
    fn slots(&self, upstream: &str) -> u32 {
        self.catalog
            .upstreams
            .get(upstream)
            .map_or(0, |entry| (entry.slots / self.routers).max(1))
    }

    fn is_free(&self, now: Instant, model: &ModelName, upstream: &UpstreamId) -> bool {
        let is_over = |until: &Instant| now >= *until;
        let blocked = !self.blocked_until.get(upstream).is_none_or(is_over);
        let replica = (model.clone(), upstream.clone());
        let denied = !self.denied_until.get(&replica).is_none_or(is_over);
        let running = self.upstream_running.get(upstream).copied().unwrap_or(0);
        !blocked && !denied && running < self.slots(upstream)
    }

    fn has_free_slot(&self, now: Instant, model: &ModelName) -> bool {
        let upstreams = self.routes.get(model);
        upstreams.is_some_and(|all| {
            all.iter()
                .any(|upstream| self.is_free(now, model, upstream))
        })
    }

    /// Power of two choices over the free replicas, by this router's own load.
    fn choose(&mut self, now: Instant, model: &ModelName) -> Option<UpstreamId> {
        let upstreams = self.routes.get(model)?;
        let free: Vec<&UpstreamId> = upstreams
            .iter()
            .filter(|upstream| self.is_free(now, model, upstream))
            .collect();
        if free.is_empty() {
            return None;
        }
        let first = free[self.rng.random_range(0..free.len())];
        let second = free[self.rng.random_range(0..free.len())];
        let load = |id: &UpstreamId| self.upstream_running.get(id).copied().unwrap_or(0);
        let chosen = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some(chosen.clone())
    }

    fn start(
        &mut self,
        now: Instant,
        model: ModelName,
        waiting: Waiting,
        upstream: UpstreamId,
    ) -> RouterAction {
        *self.upstream_running.entry(upstream.clone()).or_default() += 1;
        *self
            .workspace_running
            .entry(waiting.workspace.clone())
            .or_default() += 1;
        *self.model_running.entry(model.clone()).or_default() += 1;
        self.shares
            .charge(&waiting.workspace, i64::from(ASSUMED_TOKENS));
        self.budget.started();
        self.used.insert(model.clone());
        let action = RouterAction::Start {
            request: waiting.request,
            upstream: upstream.clone(),
            model: model.clone(),
            deadline_at: waiting.deadline_at,
            priority: waiting.priority,
        };
        let running = Running {
            waiting,
            model,
            upstream,
            started_at: now,
        };
        self.running.insert(running.waiting.request, running);
        action
    }

    /// Records how an attempt ended; a failed one waits again if the budget allows.
    pub fn ended(&mut self, now: Instant, request: RequestId, ended: Ended) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(running) = self.running.remove(&request) else {
            return actions;
        };
        decrement(&mut self.upstream_running, &running.upstream);
        decrement(&mut self.workspace_running, &running.waiting.workspace);
        decrement(&mut self.model_running, &running.model);
        self.used.insert(running.model.clone());
        match ended {
            Ended::Served { tokens } => {
                let spent = i64::from(tokens) - i64::from(ASSUMED_TOKENS);
                self.shares.charge(&running.waiting.workspace, spent);
                let took = now.saturating_duration_since(running.started_at);
                let kept = self.service_time / SERVICE_TIME_DIVISOR * (SERVICE_TIME_DIVISOR - 1);
                self.service_time = kept + took / SERVICE_TIME_DIVISOR;
            }
            Ended::Abandoned => {}
            Ended::Unreachable | Ended::Failed => {
                self.blocked_until
                    .insert(running.upstream.clone(), now + BLOCK_TIME);
                self.retry(now, running, ended, &mut actions);
            }
            Ended::NotLoaded => {
                let replica = (running.model.clone(), running.upstream.clone());
                self.denied_until.insert(replica, now + BLOCK_TIME);
                self.retry(now, running, ended, &mut actions);
            }
            Ended::Busy => {
                self.blocked_until
                    .insert(running.upstream.clone(), now + BUSY_TIME);
                self.retry(now, running, ended, &mut actions);
            }
        }
        self.dispatch(now, &mut actions);
        self.tell_demands(now, &mut actions);
        actions
    }

    fn retry(
        &mut self,
        now: Instant,
        mut running: Running,
        ended: Ended,
        actions: &mut Vec<RouterAction>,
    ) {
        self.shares
            .charge(&running.waiting.workspace, -i64::from(ASSUMED_TOKENS));
        running.waiting.may_have_run |= ended == Ended::Failed;
        let in_time = now + ANSWER_MARGIN < running.waiting.give_up_at;
        if in_time && self.budget.take() {
            self.enqueue(running.model, running.waiting);
            return;
        }
        let detail = format!("retries are spent; the last attempt ended as {ended:?}");
        let refusal = Refusal::new(ResultCode::NotStarted, detail);
        let refusal = refusal.retry_after(BUSY_RETRY);
        actions.push(RouterAction::Refuse {
            request: running.waiting.request,
            refusal: running.waiting.final_answer(refusal),
        });
    }

    /// The caller of a waiting request went away.
    pub fn abandon(&mut self, request: RequestId) {
        let found = self
            .queues
            .iter()
            .find_map(|(model, queue)| queue.find(request).map(|place| (model.clone(), place)));
        if let Some((model, place)) = found {
            self.dequeue(&model, &place);
        }
    }

    fn remove_route(&mut self, model: &ModelName, upstream: &UpstreamId) {
        if let Some(upstreams) = self.routes.get_mut(model) {
            upstreams.retain(|id| id != upstream);
            if upstreams.is_empty() {
                self.routes.remove(model);
            }
        }
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
            let of_cell =
                |model: &ModelName| catalog.models.get(model).is_none_or(|m| &*m.cell == cell);
            self.routes.retain(|model, _| !of_cell(model));
            // A new table may come from a new holder, which knows no demand yet.
            self.told.clear();
        }
        for (model, upstream) in &change.removed {
            self.remove_route(model, upstream);
        }
        for (model, upstream) in &change.added {
            let upstreams = self.routes.entry(model.clone()).or_default();
            if !upstreams.contains(upstream) {
                upstreams.push(upstream.clone());
            }
            self.ready_at.remove(model);
            self.refused.remove(model);
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
                self.ready_at.insert(model.clone(), ready_at);
                self.refuse_unreachable(now, model, &mut actions);
            }
            // The answer to a demand of before the route was known.
            DemandVerdict::Refused { .. } if self.routes.contains_key(model) => {}
            DemandVerdict::Refused { code, retry_at } => {
                let refusal = Refusal::new(code, "the model is asleep and cannot be woken")
                    .retry_after(retry_at.saturating_duration_since(now));
                self.ready_at.remove(model);
                self.told.remove(model);
                let until = now + REFUSAL_MEMORY;
                self.refused.insert(model.clone(), (until, refusal.clone()));
                self.refuse_where(model, |_| true, &refusal, &mut actions);
            }
        }
        actions
    }

    /// Refuses at once every waiting request whose deadline lies before the expected start.
    fn refuse_unreachable(
        &mut self,
        now: Instant,
        model: &ModelName,
        actions: &mut Vec<RouterAction>,
    ) {
        if self.routes.contains_key(model) {
            return;
        }
        let Some(ready_at) = self.ready_at.get(model).copied() else {
            return;
        };
        let refusal = deadline_unreachable(now, ready_at);
        let too_late = |waiting: &Waiting| ready_at + ANSWER_MARGIN > waiting.give_up_at;
        self.refuse_where(model, too_late, &refusal, actions);
    }

    fn refuse_where(
        &mut self,
        model: &ModelName,
        matches: impl Fn(&Waiting) -> bool,
        refusal: &Refusal,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(queue) = self.queues.get(model) else {
            return;
        };
        for place in queue.places(matches) {
            if let Some(waiting) = self.dequeue(model, &place) {
                let refusal = waiting.final_answer(refusal.clone());
                actions.push(RouterAction::Refuse {
                    request: waiting.request,
                    refusal,
                });
            }
        }
    }

    /// Does what time brings: refusals, retries after a block, repeated demands, reports of use.
    pub fn tick(&mut self, now: Instant) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let models: Vec<ModelName> = self.queues.keys().cloned().collect();
        for model in models {
            let ready_at = self.expected_start(now, &model);
            let wait = ready_at.saturating_duration_since(now).max(BUSY_RETRY);
            let refusal = Refusal::new(ResultCode::DeadlinePassed, "waited until the deadline")
                .retry_after(wait);
            let due = |waiting: &Waiting| now + ANSWER_MARGIN >= waiting.give_up_at;
            self.refuse_where(&model, due, &refusal, &mut actions);
            self.refuse_unreachable(now, &model, &mut actions);
        }
        self.blocked_until.retain(|_, until| now < *until);
        self.denied_until.retain(|_, until| now < *until);
        self.dispatch(now, &mut actions);
        self.tell_demands(now, &mut actions);
        self.report_usage(now, &mut actions);
        actions
    }
}

fn deadline_unreachable(now: Instant, ready_at: Instant) -> Refusal {
    let wait = ready_at.saturating_duration_since(now);
    let detail = format!("expected to start in {} ms", wait.as_millis());
    Refusal::new(ResultCode::DeadlineUnreachable, detail).retry_after(wait)
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
