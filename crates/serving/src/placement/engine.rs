//! The holder's knowledge of one engine: its loaded models and the orders in flight. Module
//! `orders` handles orders and their answers, `reports` the engine's entries and reports.

mod capacity;
mod entry_history;
mod in_flight;
mod orders;
mod reports;

use super::speed::WeightedSpeed;
use super::{Placement, PlannedOrder};
use crate::poison::UpstreamStart;
use crate::ports::OrderAction;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use entry_history::EntryHistory;
pub(super) use in_flight::InterruptedLoad;
use in_flight::{InFlightOrder, InheritedOrders, UnconfirmedOrder};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// An engine that leaves this many consecutive queries unanswered counts as unreachable.
const UNREACHABLE_AFTER_QUERIES: u32 = 2;
/// Adapter use times kept beyond twice the number of loaded and pending adapters. The number keeps
/// 600 engines below 5 MB and makes the map's cleanup rare.
const SPARE_ADAPTER_USES: usize = 32;
/// An engine whose entry has at most this many heartbeats has started within the time in which an
/// unconfirmed order may still be carried out (12 s): an engine checks in about every 1.2 s.
const RECENT_HEARTBEATS: u64 = 10;
/// Minimum interval between two checks of an engine that should serve a model for which requests
/// wait.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Storage tier from which an engine loads a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tier {
    Memory,
    Disk,
    Store,
}

impl Tier {
    pub(super) fn load_ms(self, spec: &ModelSpec) -> u64 {
        match self {
            Self::Memory => spec.memory_ms,
            Self::Disk => spec.disk_ms,
            Self::Store => spec.load_ms,
        }
    }
}

/// The holder's knowledge of one engine, and its orders to that engine.
///
/// An order must fit whatever the engine's true state is when the order arrives; the engine's check
/// of the order count does not excuse an order that would not fit. Memory therefore stays reserved
/// for loads in flight, for loads that may still begin, and for models until their unload is
/// certain.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) entry: UpstreamEntry,
    models: Vec<ResidentModel>,
    /// Model sets that the engine's entries have shown or may still show.
    entry_history: EntryHistory,
    /// Adapters that were loading as of the last report, including those ordered by a previous
    /// holder.
    adapters_loading: Vec<ModelRef>,
    /// Orders without an answer that the engine may still carry out.
    unconfirmed_orders: Vec<UnconfirmedOrder>,
    /// Orders of the previous holder that the engine may still carry out.
    inherited_orders: InheritedOrders,
    /// Lower bound of the orders taken: a report with a lower count is outdated.
    min_orders_taken: u64,
    /// Models that are about to be unloaded, in the order of the unloads.
    pub(super) evicting: Vec<ModelName>,
    /// The model that is loading, or will be loaded once enough memory is free.
    pending_load: Option<ModelName>,
    /// Whether `pending_load` comes from the weight store.
    is_store_fetch: bool,
    /// Adapters to load, in this order.
    pending_adapters: Vec<ModelRef>,
    /// Last use of loaded and pending adapters, and of some unloaded ones.
    adapter_used_at: HashMap<ModelRef, Instant>,
    /// Models and adapters loaded since the last [`Self::take_newly_loaded`].
    newly_loaded: Vec<ModelRef>,
    /// Load time of loaded models.
    loaded_at: HashMap<ModelName, Instant>,
    /// Load time of adapters that were loaded by orders of this term.
    adapter_loaded_at: HashMap<ModelRef, Instant>,
    /// Running requests by model, as each instance published them.
    running_by_instance: BTreeMap<InstanceId, Vec<(ModelName, u32)>>,
    /// Number of orders that the engine has taken; `None` until a report shows it.
    orders_taken: Option<u64>,
    /// The model order in flight.
    model_order: Option<InFlightOrder>,
    /// The adapter order that has no answer yet.
    adapter_order: Option<PlannedOrder>,
    /// The taken order of an adapter load, and when the load is due.
    accepted_adapter_load: Option<(PlannedOrder, Instant)>,
    /// When to query the engine next.
    query_at: Option<Instant>,
    is_query_in_flight: bool,
    /// The model whose load order was taken and that is not loaded yet. Kept when the swap is
    /// abandoned.
    accepted_load: Option<ModelName>,
    /// Consecutive queries without an answer.
    unanswered_queries: u32,
    /// When the engine was last queried because requests waited for a model that it should serve.
    last_checked_at: Option<Instant>,
    /// Requests per second that a limited engine accepts.
    limit_per_s: Option<f64>,
    /// Until when the engine accepts no requests from some instance.
    backing_off_until: Option<Instant>,
    /// Whether operators have evacuated the engine's hall.
    is_evacuated: bool,
    /// How fast the engine generates; the usual speed after a restart.
    pub(super) speed: WeightedSpeed,
}

impl Engine {
    pub(super) fn new(entry: UpstreamEntry) -> Self {
        Self {
            models: entry.models.clone(),
            entry,
            entry_history: EntryHistory::default(),
            adapters_loading: Vec::new(),
            unconfirmed_orders: Vec::new(),
            inherited_orders: InheritedOrders::NoOrder,
            min_orders_taken: 0,
            evicting: Vec::new(),
            pending_load: None,
            is_store_fetch: false,
            pending_adapters: Vec::new(),
            adapter_used_at: HashMap::new(),
            newly_loaded: Vec::new(),
            loaded_at: HashMap::new(),
            adapter_loaded_at: HashMap::new(),
            running_by_instance: BTreeMap::new(),
            orders_taken: None,
            model_order: None,
            adapter_order: None,
            accepted_adapter_load: None,
            query_at: None,
            is_query_in_flight: false,
            unanswered_queries: 0,
            accepted_load: None,
            last_checked_at: None,
            limit_per_s: None,
            backing_off_until: None,
            is_evacuated: false,
            speed: WeightedSpeed::default(),
        }
    }

    /// Resets the state after the engine has restarted under its id. The engine may still receive
    /// an unconfirmed order.
    fn restart(&mut self, entry: UpstreamEntry) {
        let unconfirmed_orders = std::mem::take(&mut self.unconfirmed_orders);
        let had_inherited_orders = self.has_inherited_orders();
        let is_evacuated = self.is_evacuated;
        *self = Self::new(entry);
        self.is_evacuated = is_evacuated;
        self.unconfirmed_orders = unconfirmed_orders;
        if had_inherited_orders {
            self.inherited_orders = InheritedOrders::AtAnyCount;
        }
    }

    /// Whether the engine may still carry out an order that has no answer.
    pub(super) fn has_unconfirmed_orders(&self, now: Instant) -> bool {
        matches!(self.model_order, Some(InFlightOrder::Sent(_)))
            || self.adapter_order.is_some()
            || self.has_inherited_orders()
            || self
                .unconfirmed_orders
                .iter()
                .any(|unconfirmed| now < unconfirmed.expires_at)
    }

    /// Begins a term. With `has_unconfirmed`, the engine may still carry out an order of the
    /// previous holder.
    pub(super) fn begin_term(&mut self, has_unconfirmed: bool) {
        self.entry_history.clear();
        self.inherited_orders = match has_unconfirmed {
            false => InheritedOrders::NoOrder,
            true if self.entry.heartbeat <= RECENT_HEARTBEATS => InheritedOrders::AtAnyCount,
            true => InheritedOrders::AtCurrentCount,
        };
        self.evicting.clear();
        self.pending_load = None;
        self.pending_adapters.clear();
        self.orders_taken = None;
        self.model_order = None;
        self.adapter_order = None;
        self.accepted_adapter_load = None;
        self.query_at = None;
        self.is_query_in_flight = false;
    }

    /// The load that is lost if this engine process has just terminated; `None` if no load was in
    /// progress or the engine had signalled that it leaves.
    pub(super) fn interrupted_load(&self) -> Option<InterruptedLoad> {
        Some(InterruptedLoad {
            service: self.entry.service.clone(),
            model: self.accepted_load.clone()?,
            start: UpstreamStart {
                upstream: self.entry.id.clone(),
                started_at_ms: self.entry.started_at_ms,
            },
        })
    }

    /// Whether an order has loaded a model after `after`.
    pub(super) fn has_loaded(
        &self,
        service: &ServiceName,
        model: &ModelName,
        after: Instant,
    ) -> bool {
        let loaded_at = self.loaded_at.get(model);
        self.entry.service == *service && loaded_at.is_some_and(|at| *at > after)
    }

    /// Models and adapters loaded since the last call.
    pub(super) fn take_newly_loaded(&mut self) -> Vec<ModelRef> {
        std::mem::take(&mut self.newly_loaded)
    }

    pub(super) fn placement(&self) -> Placement {
        Placement {
            engine: self.entry.id.clone(),
            models: self.models.clone(),
            evicting: self.evicting.clone(),
        }
    }

    fn resident_model(&self, model: &ModelName) -> Option<&ResidentModel> {
        self.models.iter().find(|m| m.name == *model)
    }

    /// Whether a model is loaded, usable and not about to be unloaded.
    pub(super) fn has_model(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.entry.service == *service
            && !self.is_leaving()
            && !self.is_unreachable()
            && !self.evicting.contains(model)
            && self.resident_model(model).is_some()
    }

    /// Whether nothing new may be loaded and the engine's models must be loaded elsewhere: the
    /// engine is draining or its hall is evacuated.
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.draining || self.is_evacuated
    }

    /// Sets whether operators have evacuated the engine's hall. Returns whether this is a change.
    pub(super) fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        std::mem::replace(&mut self.is_evacuated, is_evacuated) != is_evacuated
    }

    /// Whether the engine left the last queries unanswered. The entry of a terminated engine stays
    /// for seconds, and indefinitely during an outage of the store; meanwhile its models serve no
    /// request.
    fn is_unreachable(&self) -> bool {
        self.unanswered_queries >= UNREACHABLE_AFTER_QUERIES
    }

    /// Schedules a query because requests wait for a model that this engine should serve, at most
    /// once per [`CHECK_INTERVAL`].
    pub(super) fn schedule_check(&mut self, now: Instant) {
        let is_query_planned =
            self.is_query_in_flight || self.query_at.is_some() || self.model_order.is_some();
        let is_check_due = self
            .last_checked_at
            .is_none_or(|at| now >= at + CHECK_INTERVAL);
        if !is_query_planned && is_check_due {
            self.last_checked_at = Some(now);
            self.query_at = Some(now);
        }
    }

    /// Whether requests for a model or adapter can run on this engine.
    pub(super) fn can_serve(&self, service: &ServiceName, model_ref: &ModelRef) -> bool {
        self.has_model(service, &model_ref.model)
            && (model_ref.adapter.is_none() || self.has_adapter(model_ref))
    }

    /// Whether the adapter of `model_ref` is loaded.
    fn has_adapter(&self, model_ref: &ModelRef) -> bool {
        let adapters = self
            .resident_model(&model_ref.model)
            .map(|model| &model.adapters);
        let adapter = model_ref.adapter.as_ref();
        adapters
            .zip(adapter)
            .is_some_and(|(adapters, adapter)| adapters.contains(adapter))
    }

    /// Whether a model is loading, or will be loaded once enough memory is free.
    pub(super) fn is_load_pending(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.entry.service == *service && self.pending_load.as_ref() == Some(model)
    }

    /// The model that is loading, or will be loaded once enough memory is free.
    pub(super) fn pending_load(&self) -> Option<&ModelName> {
        self.pending_load.as_ref()
    }

    /// Whether the model or adapter, or the model of the adapter, is loading or going to be loaded.
    pub(super) fn is_load_planned(&self, service: &ServiceName, model_ref: &ModelRef) -> bool {
        if model_ref.adapter.is_none() {
            return self.is_load_pending(service, &model_ref.model);
        }
        self.entry.service == *service
            && (self.pending_adapters.contains(model_ref)
                || self.adapters_loading.contains(model_ref)
                || (self.resident_model(&model_ref.model).is_none()
                    && self.is_load_pending(service, &model_ref.model)))
    }

    pub(super) fn model_names(&self) -> Vec<ModelName> {
        self.models.iter().map(|m| m.name.clone()).collect()
    }

    pub(super) fn tier(&self, model: &ModelName) -> Tier {
        if self.entry.in_memory.contains(model) {
            Tier::Memory
        } else if self.entry.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }

    pub(super) fn load_duration(
        &self,
        pools: &BTreeMap<ServiceName, EnginePool>,
        model: &ModelName,
    ) -> Duration {
        let pool = pools.get(&self.entry.service);
        let spec = pool.and_then(|pool| pool.models.named(model));
        Duration::from_millis(spec.map_or(0, |spec| self.tier(model).load_ms(spec)))
    }

    /// Whether the pending load was from the weight store when it was decided.
    pub(super) fn has_pending_store_load(&self) -> bool {
        self.pending_load.is_some() && self.is_store_fetch
    }

    /// Whether a load from the weight store is planned whose order is not in flight.
    pub(super) fn has_unordered_store_load(&self) -> bool {
        let is_ordered = self.model_order.as_ref().is_some_and(|in_flight| {
            let order = in_flight.order();
            order.action == OrderAction::Load
                && Some(&order.model_ref.model) == self.pending_load.as_ref()
        });
        self.has_pending_store_load() && !is_ordered
    }

    /// Whether an order loads a model from the weight store.
    pub(super) fn is_store_load(&self, order: &PlannedOrder) -> bool {
        let is_load = order.action == OrderAction::Load && order.model_ref.adapter.is_none();
        is_load && self.tier(&order.model_ref.model) == Tier::Store
    }

    pub(super) fn size_mb(&self, pool: &EnginePool, model: &ModelName) -> f64 {
        let spec = pool.models.named(model);
        let adapters = self.resident_model(model).map_or(0, |m| m.adapters.len());
        let adapters = super::demand::as_f64(u64::try_from(adapters).unwrap_or(0));
        // A model that is missing in the configuration is assumed to fill the engine.
        spec.map_or(pool.weights_mb, |s| s.weights_mb + adapters * s.adapter_mb)
    }

    /// Sets the limit that the engine advertises; `None` if the engine is no longer limited.
    pub(super) fn set_limit(&mut self, per_s: Option<f64>) {
        self.limit_per_s = per_s;
    }

    /// Records that the engine accepts no requests from some instance until `until`.
    pub(super) fn record_backoff(&mut self, until: Instant) {
        self.backing_off_until = self.backing_off_until.max(Some(until));
    }

    /// Whether the engine accepts no requests from some instance.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backing_off_until.is_some_and(|until| now < until)
    }

    /// Whether the engine advertises a limit, i.e. accepts fewer requests than its slots allow.
    pub(super) fn is_limited(&self) -> bool {
        self.limit_per_s.is_some()
    }

    /// Whether the engine's limit allows this request rate for one of its models, if each of its
    /// other models receives the same rate.
    pub(super) fn can_serve_rate(&self, requests_per_s: f64) -> bool {
        let model_count = u64::try_from(self.models.len()).unwrap_or(u64::MAX);
        let limit = self.limit_per_s;
        limit.is_none_or(|per_s| requests_per_s * super::demand::as_f64(model_count) <= per_s)
    }

    /// Whether a new swap of models may begin.
    pub(super) fn can_start_swap(&self) -> bool {
        !self.is_leaving() && self.pending_load.is_none() && self.orders_taken.is_some()
    }

    /// Time until the model order in flight is due, in milliseconds.
    pub(super) fn order_remaining_ms(&self, now: Instant) -> f64 {
        match &self.model_order {
            Some(InFlightOrder::Taken { due_at, .. }) => {
                due_at.saturating_duration_since(now).as_secs_f64() * 1_000.0
            }
            _ => 0.0,
        }
    }

    pub(super) fn start_swap(&mut self, model: ModelName, victims: Vec<ModelName>) {
        self.evicting = victims;
        self.is_store_fetch = self.tier(&model) == Tier::Store;
        self.pending_load = Some(model);
    }

    pub(super) fn was_loaded_within(
        &self,
        model: &ModelName,
        duration: Duration,
        now: Instant,
    ) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|at| now < *at + duration)
    }

    pub(super) fn set_running(&mut self, instance: &InstanceId, running: Vec<(ModelName, u32)>) {
        if running.is_empty() {
            self.running_by_instance.remove(instance);
        } else {
            self.running_by_instance.insert(instance.clone(), running);
        }
    }

    /// Models that are loaded, usable and not about to be unloaded.
    pub(super) fn usable_models(&self) -> impl Iterator<Item = &ModelName> {
        let is_engine_usable = !self.is_leaving() && !self.is_unreachable();
        let is_usable = move |name: &&ModelName| is_engine_usable && !self.evicting.contains(name);
        self.models
            .iter()
            .map(|model| &model.name)
            .filter(is_usable)
    }

    /// Running requests by model, one entry for each instance.
    pub(super) fn running_requests(&self) -> impl Iterator<Item = (&ModelName, u32)> {
        let running = self.running_by_instance.values().flatten();
        running.map(|(model, count)| (model, *count))
    }

    /// Running requests for a model, over all instances.
    pub(super) fn running_count(&self, model: &ModelName) -> u32 {
        let running = self.running_by_instance.values().flatten();
        running
            .filter(|(running_model, _)| running_model == model)
            .map(|(_, count)| count)
            .sum()
    }

    /// Records the use of a loaded adapter. The most recently used adapter is unloaded last.
    pub(super) fn record_adapter_use(&mut self, model_ref: &ModelRef, now: Instant) {
        // Ignores adapters that are not loaded: names come from callers, and the map must stay
        // small.
        if self.has_adapter(model_ref) {
            self.touch_adapter(model_ref, now);
        }
    }

    /// Records a use. Drops the uses of adapters that are neither loaded nor pending once the map
    /// has grown beyond its limit.
    fn touch_adapter(&mut self, model_ref: &ModelRef, now: Instant) {
        let max_uses = 2 * self.adapter_count() + SPARE_ADAPTER_USES;
        if self.adapter_used_at.len() >= max_uses {
            let mut uses = std::mem::take(&mut self.adapter_used_at);
            uses.retain(|used, _| self.has_adapter(used) || self.pending_adapters.contains(used));
            self.adapter_used_at = uses;
        }
        self.adapter_used_at.insert(model_ref.clone(), now);
    }

    /// Number of loaded adapters.
    fn loaded_adapter_count(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum()
    }

    /// Number of loaded and pending adapters.
    pub(super) fn adapter_count(&self) -> usize {
        self.loaded_adapter_count() + self.pending_adapters.len()
    }

    pub(super) fn plan_adapter(
        &mut self,
        pool: &EnginePool,
        model: &ModelName,
        adapter: &AdapterName,
        now: Instant,
    ) {
        let model_ref = ModelRef {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        if pool.adapter_slots == 0 || self.pending_adapters.contains(&model_ref) {
            return;
        }
        self.touch_adapter(&model_ref, now);
        self.pending_adapters.push(model_ref);
    }

    /// Applies the effect of the model order in flight.
    fn complete_model_order(&mut self, now: Instant) {
        let Some(in_flight) = self.model_order.take() else {
            return;
        };
        let order = in_flight.order();
        let model = order.model_ref.model.clone();
        self.query_at = None;
        self.accepted_load = None;
        // The effect is known, so the answer to a query in flight is not awaited.
        self.is_query_in_flight = false;
        self.evicting.retain(|evicted| *evicted != model);
        self.models.retain(|m| m.name != model);
        if order.action == OrderAction::Load {
            self.models.push(ResidentModel {
                name: model.clone(),
                adapters: Vec::new(),
            });
            let models = &self.models;
            self.loaded_at
                .retain(|loaded, _| models.iter().any(|m| m.name == *loaded));
            self.loaded_at.insert(model.clone(), now);
            self.newly_loaded.push(order.model_ref.clone());
            if self.pending_load.as_ref() == Some(&model) {
                self.pending_load = None;
            }
        }
        self.entry_history.record(&self.models, &self.entry.models);
    }

    /// Marks this engine process as terminated; its entry disappears later.
    fn mark_terminated(&mut self) {
        self.abandon_swap();
        self.entry.draining = true;
        self.models.clear();
        self.query_at = None;
        // Prevents further queries, because the address may belong to another engine by now.
        self.is_query_in_flight = true;
    }

    /// Abandons the swap.
    fn abandon_swap(&mut self) {
        self.model_order = None;
        self.pending_load = None;
        self.evicting.clear();
        self.orders_taken = None;
    }

    fn complete_adapter_order(&mut self, order: &PlannedOrder, now: Instant) {
        let mut loaded_at = std::mem::take(&mut self.adapter_loaded_at);
        loaded_at.retain(|loaded, _| self.has_adapter(loaded) && *loaded != order.model_ref);
        if order.action == OrderAction::Load {
            loaded_at.insert(order.model_ref.clone(), now);
            self.newly_loaded.push(order.model_ref.clone());
        }
        self.adapter_loaded_at = loaded_at;
        self.pending_adapters
            .retain(|model_ref| *model_ref != order.model_ref);
        let model = self
            .models
            .iter_mut()
            .find(|m| m.name == order.model_ref.model);
        let (Some(model), Some(adapter)) = (model, &order.model_ref.adapter) else {
            return;
        };
        model.adapters.retain(|name| name != adapter);
        if order.action == OrderAction::Load {
            model.adapters.push(adapter.clone());
        }
    }

    pub(super) fn next_action_at(&self) -> Option<Instant> {
        let query_at = self.query_at.filter(|_| !self.is_query_in_flight);
        let adapter_loaded_at = self.accepted_adapter_load.as_ref().map(|(_, at)| *at);
        query_at.into_iter().chain(adapter_loaded_at).min()
    }

    /// Applies an adapter load that is due. Returns whether there was one.
    pub(super) fn complete_due_adapter(&mut self, now: Instant) -> bool {
        let due = self.accepted_adapter_load.take_if(|(_, at)| now >= *at);
        let Some((order, _)) = due else {
            return false;
        };
        self.complete_adapter_order(&order, now);
        true
    }
}
