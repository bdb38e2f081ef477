//! One engine as the holder knows it: what stands on it and which order is under way.
//! Orders and their answers are in `orders`, what it tells of itself in `reports`.

mod orders;
mod pending;
mod reports;
mod room;
mod shown;

use super::{Placement, PlannedOrder};
use crate::poison::UpstreamStart;
use crate::ports::OrderAction;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
pub(super) use pending::Loading;
use pending::{Inherited, UnderWay, Unresolved};
use shown::ShownModels;
use std::collections::{BTreeMap, HashMap};

/// An engine that leaves so many questions in a row unanswered counts as gone.
const UNREACHABLE_AFTER: u32 = 2;
/// Times of adapters' use that are kept beyond twice those that count: so few that 600 engines
/// keep below 5 MB, so many that they are seldom looked through.
const SPARE_ADAPTER_USES: usize = 32;
/// An engine whose entry has no higher number than this has started within the time in which
/// an order without an answer may be carried out (12 s): it checks in about every 1.2 s.
const RECENT_BEATS: u64 = 10;
/// Pause between two questions to an engine that should have what requests wait for.
const DOUBT_PAUSE: Duration = Duration::from_secs(1);

/// Where an engine finds a model's weights.
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

/// What the holder knows of one engine, and its orders to it.
///
/// An order must fit whatever the engine's true state is when it arrives: that the engine can
/// refuse it by its count does not make it right. So room is kept for what is loading, for
/// what may be loaded yet, and until it is sure that something has gone.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) entry: UpstreamEntry,
    models: Vec<ResidentModel>,
    /// What its entries have shown of its models.
    shown: ShownModels,
    /// Adapters that were on their way by the last report, whoever ordered them.
    adapters_loading: Vec<ModelRef>,
    /// Orders whose answers were lost lately.
    unresolved: Vec<Unresolved>,
    inherited: Inherited,
    /// Orders that it has taken at least: a report with fewer is older than that.
    least_orders: u64,
    /// Models that are to make room, in the order in which they go.
    pub(super) closing: Vec<ModelName>,
    /// The model that comes when there is room.
    coming: Option<ModelName>,
    /// Whether that comes from the weight store.
    fetches: bool,
    adapters_wanted: Vec<ModelRef>,
    /// For adapters that stand here or are wanted, and some that went.
    adapter_used_at: HashMap<ModelRef, Instant>,
    /// Models and adapters that have come since this was asked last.
    just_came: Vec<ModelRef>,
    /// For models that stand here.
    loaded_at: HashMap<ModelName, Instant>,
    /// For adapters that stand here and were loaded by orders of this term.
    adapter_loaded_at: HashMap<ModelRef, Instant>,
    running: BTreeMap<InstanceId, Vec<(ModelName, u32)>>,
    /// Orders that it has taken; `None` until it was asked.
    orders_taken: Option<u64>,
    under_way: Option<UnderWay>,
    adapter_order: Option<PlannedOrder>,
    /// An adapter that is on its way and there at the moment given.
    adapter_due: Option<(PlannedOrder, Instant)>,
    ask_at: Option<Instant>,
    asked: bool,
    /// The model whose load was taken and that has not come yet, also once that is given up.
    loading: Option<ModelName>,
    /// Questions in a row without an answer.
    unanswered: u32,
    /// When it was asked last since requests wait for what it should have.
    doubted_at: Option<Instant>,
    /// Requests a second that it takes while it is in need.
    limit_per_s: Option<f64>,
    /// Until when it wants nothing from some instance.
    rests_until: Option<Instant>,
    /// Whether operators have emptied its hall.
    is_emptied: bool,
}

impl Engine {
    pub(super) fn new(entry: UpstreamEntry) -> Self {
        Self {
            models: entry.models.clone(),
            entry,
            shown: ShownModels::default(),
            adapters_loading: Vec::new(),
            unresolved: Vec::new(),
            inherited: Inherited::Nothing,
            least_orders: 0,
            closing: Vec::new(),
            coming: None,
            fetches: false,
            adapters_wanted: Vec::new(),
            adapter_used_at: HashMap::new(),
            just_came: Vec::new(),
            loaded_at: HashMap::new(),
            adapter_loaded_at: HashMap::new(),
            running: BTreeMap::new(),
            orders_taken: None,
            under_way: None,
            adapter_order: None,
            adapter_due: None,
            ask_at: None,
            asked: false,
            unanswered: 0,
            loading: None,
            doubted_at: None,
            limit_per_s: None,
            rests_until: None,
            is_emptied: false,
        }
    }

    /// It has started again under its id, and holds and knows nothing of before. An order
    /// that it has not answered may reach it yet.
    fn restart(&mut self, entry: UpstreamEntry) {
        let unresolved = std::mem::take(&mut self.unresolved);
        let inherits = self.inherits();
        let is_emptied = self.is_emptied;
        *self = Self::new(entry);
        self.is_emptied = is_emptied;
        self.unresolved = unresolved;
        if inherits {
            self.inherited = Inherited::AtAnyCount;
        }
    }

    /// Whether an order to it has no answer and may be carried out yet.
    pub(super) fn is_doubtful(&self, now: Instant) -> bool {
        matches!(self.under_way, Some(UnderWay::Sent(_)))
            || self.adapter_order.is_some()
            || self.inherits()
            || self.unresolved.iter().any(|pending| now < pending.until)
    }

    /// A term begins. In a `doubtful` engine an order of the holder before may be carried out yet.
    pub(super) fn forget_orders(&mut self, doubtful: bool) {
        self.shown.clear();
        self.inherited = match doubtful {
            false => Inherited::Nothing,
            true if self.entry.heartbeat <= RECENT_BEATS => Inherited::AtAnyCount,
            true => Inherited::AtThisCount,
        };
        self.closing.clear();
        self.coming = None;
        self.adapters_wanted.clear();
        self.orders_taken = None;
        self.under_way = None;
        self.adapter_order = None;
        self.adapter_due = None;
        self.ask_at = None;
        self.asked = false;
    }

    /// Models and adapters that have come since the last call.
    /// The model that was coming to it, if it has ended now without having said that it leaves.
    pub(super) fn loading(&self) -> Option<Loading> {
        Some(Loading {
            service: self.entry.service.clone(),
            model: self.loading.clone()?,
            start: UpstreamStart {
                upstream: self.entry.id.clone(),
                started_at_ms: self.entry.started_at_ms,
            },
        })
    }

    /// Whether a model has come to it by an order after a moment.
    pub(super) fn has_loaded(
        &self,
        service: &ServiceName,
        model: &ModelName,
        after: Instant,
    ) -> bool {
        let loaded_at = self.loaded_at.get(model);
        self.entry.service == *service && loaded_at.is_some_and(|at| *at > after)
    }

    pub(super) fn take_just_came(&mut self) -> Vec<ModelRef> {
        std::mem::take(&mut self.just_came)
    }

    pub(super) fn placement(&self) -> Placement {
        Placement {
            engine: self.entry.id.clone(),
            models: self.models.clone(),
            closing: self.closing.clone(),
        }
    }

    fn resident(&self, model: &ModelName) -> Option<&ResidentModel> {
        self.models.iter().find(|m| m.name == *model)
    }

    /// Whether a model stands here and stays.
    pub(super) fn has(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.entry.service == *service
            && !self.is_going()
            && !self.is_unreachable()
            && !self.closing.contains(model)
            && self.resident(model).is_some()
    }

    /// Whether nothing new goes to it, so that what it has must come elsewhere: it leaves, or its hall was
    /// emptied.
    pub(super) fn is_going(&self) -> bool {
        self.entry.draining || self.is_emptied
    }

    /// Whether operators have emptied its hall; returns whether that is news.
    pub(super) fn set_emptied(&mut self, is_emptied: bool) -> bool {
        std::mem::replace(&mut self.is_emptied, is_emptied) != is_emptied
    }

    /// Whether it left the last questions unanswered. Its entry goes seconds after its end,
    /// and not at all while the store is away; meanwhile what stands on it serves nobody.
    fn is_unreachable(&self) -> bool {
        self.unanswered >= UNREACHABLE_AFTER
    }

    /// Requests wait for what it should have: it is asked, once in a while.
    pub(super) fn doubt(&mut self, now: Instant) {
        let is_asked = self.asked || self.ask_at.is_some() || self.under_way.is_some();
        let pause_is_over = self.doubted_at.is_none_or(|at| now >= at + DOUBT_PAUSE);
        if !is_asked && pause_is_over {
            self.doubted_at = Some(now);
            self.ask_at = Some(now);
        }
    }

    /// Whether requests for a model or adapter can run here.
    pub(super) fn serves(&self, service: &ServiceName, model_ref: &ModelRef) -> bool {
        self.has(service, &model_ref.model)
            && (model_ref.adapter.is_none() || self.has_adapter(model_ref))
    }

    /// Whether the adapter that a request needs stands here.
    fn has_adapter(&self, model_ref: &ModelRef) -> bool {
        let adapters = self.resident(&model_ref.model).map(|model| &model.adapters);
        let adapter = model_ref.adapter.as_ref();
        adapters
            .zip(adapter)
            .is_some_and(|(adapters, adapter)| adapters.contains(adapter))
    }

    /// Whether a model is to be loaded here, once there is room.
    pub(super) fn will_load(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.entry.service == *service && self.coming.as_ref() == Some(model)
    }

    /// The model that comes, if one does.
    pub(super) fn coming(&self) -> Option<&ModelName> {
        self.coming.as_ref()
    }

    /// Whether a model, or an adapter or the model it belongs to, is still to be loaded here.
    pub(super) fn will_have(&self, service: &ServiceName, model_ref: &ModelRef) -> bool {
        if model_ref.adapter.is_none() {
            return self.will_load(service, &model_ref.model);
        }
        self.entry.service == *service
            && (self.adapters_wanted.contains(model_ref)
                || self.adapters_loading.contains(model_ref)
                || (self.resident(&model_ref.model).is_none()
                    && self.will_load(service, &model_ref.model)))
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

    pub(super) fn load_time(
        &self,
        pools: &BTreeMap<ServiceName, EnginePool>,
        model: &ModelName,
    ) -> Duration {
        let pool = pools.get(&self.entry.service);
        let spec = pool.and_then(|pool| pool.models.named(model));
        Duration::from_millis(spec.map_or(0, |spec| self.tier(model).load_ms(spec)))
    }

    /// Whether what comes was to be loaded from the weight store when that was decided.
    pub(super) fn loads_from_store(&self) -> bool {
        self.coming.is_some() && self.fetches
    }

    /// Whether an order loads a model from the weight store.
    pub(super) fn is_store_load(&self, order: &PlannedOrder) -> bool {
        let is_load = order.action == OrderAction::Load && order.wish.adapter.is_none();
        is_load && self.tier(&order.wish.model) == Tier::Store
    }

    pub(super) fn size_mb(&self, pool: &EnginePool, model: &ModelName) -> f64 {
        let spec = pool.models.named(model);
        let adapters = self.resident(model).map_or(0, |m| m.adapters.len());
        let adapters = super::demand::as_f64(u64::try_from(adapters).unwrap_or(0));
        // A model that the configuration does not name is taken to fill the engine.
        spec.map_or(pool.weights_mb, |s| s.weights_mb + adapters * s.adapter_mb)
    }

    /// It says how much it takes; `None` once it is in no need any more.
    pub(super) fn set_limit(&mut self, per_s: Option<f64>) {
        self.limit_per_s = per_s;
    }

    /// It wants nothing from some instance until a moment.
    pub(super) fn note_rest(&mut self, until: Instant) {
        self.rests_until = self.rests_until.max(Some(until));
    }

    /// Whether it wants nothing from some instance.
    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Whether it says that it takes less than it has slots for.
    pub(super) fn is_in_need(&self) -> bool {
        self.limit_per_s.is_some()
    }

    /// Whether it takes what one of its models is asked for, if the others are asked for as often.
    pub(super) fn bears(&self, asked_per_s: f64) -> bool {
        let models = u64::try_from(self.models.len()).unwrap_or(u64::MAX);
        let limit = self.limit_per_s;
        limit.is_none_or(|per_s| asked_per_s * super::demand::as_f64(models) <= per_s)
    }

    /// Whether a new swap may begin here.
    pub(super) fn takes_orders(&self) -> bool {
        !self.is_going() && self.coming.is_none() && self.orders_taken.is_some()
    }

    /// Time until the order under way is done, in milliseconds.
    pub(super) fn wait_ms(&self, now: Instant) -> f64 {
        match &self.under_way {
            Some(UnderWay::Taken { due_at, .. }) => {
                due_at.saturating_duration_since(now).as_secs_f64() * 1_000.0
            }
            _ => 0.0,
        }
    }

    pub(super) fn swap(&mut self, model: ModelName, victims: Vec<ModelName>) {
        self.closing = victims;
        self.fetches = self.tier(&model) == Tier::Store;
        self.coming = Some(model);
    }

    pub(super) fn loaded_within(&self, model: &ModelName, time: Duration, now: Instant) -> bool {
        self.loaded_at.get(model).is_some_and(|at| now < *at + time)
    }

    pub(super) fn set_running(&mut self, instance: &InstanceId, runs: Vec<(ModelName, u32)>) {
        if runs.is_empty() {
            self.running.remove(instance);
        } else {
            self.running.insert(instance.clone(), runs);
        }
    }

    /// Models that stand here and stay.
    pub(super) fn staying(&self) -> impl Iterator<Item = &ModelName> {
        let is_usable = !self.is_going() && !self.is_unreachable();
        let stays = move |name: &&ModelName| is_usable && !self.closing.contains(name);
        self.models.iter().map(|model| &model.name).filter(stays)
    }

    /// Runs by model, as each instance told them.
    pub(super) fn all_runs(&self) -> impl Iterator<Item = (&ModelName, u32)> {
        let runs = self.running.values().flatten();
        runs.map(|(model, count)| (model, *count))
    }

    /// Runs of a model, over all instances.
    pub(super) fn runs(&self, model: &ModelName) -> u32 {
        let runs = self.running.values().flatten();
        runs.filter(|(named, _)| named == model)
            .map(|(_, count)| count)
            .sum()
    }

    /// Requests for a model or adapter came; the adapter that was used last is unloaded last.
    pub(super) fn record_use(&mut self, model_ref: &ModelRef, now: Instant) {
        // One that stands elsewhere takes no place here, and names come from callers.
        if self.has_adapter(model_ref) {
            self.note_use(model_ref, now);
        }
    }

    /// Notes a use, and forgets those of adapters that neither stand here nor are wanted
    /// whenever they are as many as those that do.
    fn note_use(&mut self, model_ref: &ModelRef, now: Instant) {
        let most = 2 * self.adapter_count() + SPARE_ADAPTER_USES;
        if self.adapter_used_at.len() >= most {
            let mut uses = std::mem::take(&mut self.adapter_used_at);
            uses.retain(|used, _| self.has_adapter(used) || self.adapters_wanted.contains(used));
            self.adapter_used_at = uses;
        }
        self.adapter_used_at.insert(model_ref.clone(), now);
    }

    /// Adapters that stand here.
    fn standing_adapters(&self) -> usize {
        self.models.iter().map(|m| m.adapters.len()).sum()
    }

    /// Adapters that stand here or are wanted.
    pub(super) fn adapter_count(&self) -> usize {
        self.standing_adapters() + self.adapters_wanted.len()
    }

    pub(super) fn want_adapter(
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
        if pool.adapter_slots == 0 || self.adapters_wanted.contains(&model_ref) {
            return;
        }
        self.note_use(&model_ref, now);
        self.adapters_wanted.push(model_ref);
    }

    /// The model order under way has taken effect.
    fn model_order_done(&mut self, now: Instant) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        let order = under_way.order();
        let model = order.wish.model.clone();
        self.ask_at = None;
        self.loading = None;
        // An answer that is still on its way is not waited for.
        self.asked = false;
        self.closing.retain(|closing| *closing != model);
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
            self.just_came.push(order.wish.clone());
            if self.coming.as_ref() == Some(&model) {
                self.coming = None;
            }
        }
        self.shown.has(&self.models, &self.entry.models);
    }

    /// This incarnation has ended; its entry goes later.
    fn ended(&mut self) {
        self.abandon();
        self.entry.draining = true;
        self.models.clear();
        self.ask_at = None;
        // Nothing more is asked at an address that belongs to another one now.
        self.asked = true;
    }

    /// Gives the swap up.
    fn abandon(&mut self) {
        self.under_way = None;
        self.coming = None;
        self.closing.clear();
        self.orders_taken = None;
    }

    fn adapter_done(&mut self, order: &PlannedOrder, now: Instant) {
        let mut loaded_at = std::mem::take(&mut self.adapter_loaded_at);
        loaded_at.retain(|loaded, _| self.has_adapter(loaded) && *loaded != order.wish);
        if order.action == OrderAction::Load {
            loaded_at.insert(order.wish.clone(), now);
            self.just_came.push(order.wish.clone());
        }
        self.adapter_loaded_at = loaded_at;
        self.adapters_wanted
            .retain(|model_ref| *model_ref != order.wish);
        let model = self.models.iter_mut().find(|m| m.name == order.wish.model);
        let (Some(model), Some(adapter)) = (model, &order.wish.adapter) else {
            return;
        };
        model.adapters.retain(|name| name != adapter);
        if order.action == OrderAction::Load {
            model.adapters.push(adapter.clone());
        }
    }

    pub(super) fn look_at(&self) -> Option<Instant> {
        let ask_at = self.ask_at.filter(|_| !self.asked);
        let adapter_at = self.adapter_due.as_ref().map(|(_, at)| *at);
        ask_at.into_iter().chain(adapter_at).min()
    }

    /// Takes in an adapter that has come by now; true if one has.
    pub(super) fn settle_adapter(&mut self, now: Instant) -> bool {
        let due = self.adapter_due.take_if(|(_, at)| now >= *at);
        let Some((order, _)) = due else {
            return false;
        };
        self.adapter_done(&order, now);
        true
    }
}
