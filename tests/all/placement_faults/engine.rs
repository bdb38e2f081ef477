//! A simulated engine of the fault runs. It takes orders and carries them out step by step.
//!
//! An order violates a limit by what it requests at the time when the engine *receives* it, even if
//! the engine then refuses it because of its order count: the users judge callers of engines in the
//! same way.

use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// Number of models and of adapters that fit on an engine, as configured in
/// `cluster::configuration`.
const MODEL_SLOTS: usize = 2;
const ADAPTER_SLOTS: usize = 2;
/// Age of the state in a report.
const REPORT_LAG_STEPS: usize = 4;
/// An adapter counts as in use, and its unload is delayed, if the drawn run length is below this.
const ADAPTER_RUN_STEPS: u32 = 8;

/// Loaded models of an engine and its orders in progress.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineState {
    models: Vec<ResidentModel>,
    pub(super) on_disk: BTreeSet<ModelName>,
    /// Number of orders taken.
    orders_taken: u64,
    /// The model order in progress and the step at which it completes.
    model_order: Option<(PlannedOrder, u32)>,
    /// Adapters that are unloaded at the end of their last run, with its step.
    unloading_adapters: Vec<(ModelRef, u32)>,
    /// Adapters that are loading, and the step at which each load completes.
    loading_adapters: Vec<(ModelRef, u32)>,
    /// Start time of the engine, in milliseconds.
    started_at_ms: u64,
}

pub(super) struct Engine {
    pub(super) id: UpstreamId,
    pub(super) state: EngineState,
    /// The last states, oldest first.
    history: VecDeque<EngineState>,
    heartbeat: u64,
    /// Entries sent so far.
    pub(super) sent_entries: Vec<UpstreamEntry>,
    /// Entries that have not reached the holder yet, and the steps at which they arrive.
    entries_in_transit: VecDeque<(u32, UpstreamEntry)>,
}

/// Effect of an order.
#[derive(Debug)]
pub(super) struct Effect {
    pub(super) answer: OrderAnswer,
    /// Whether the order counts among the orders of the run.
    pub(super) is_counted: bool,
    /// Whether a load from the weight store began.
    pub(super) is_store_load: bool,
}

impl Effect {
    fn uncounted(answer: OrderAnswer) -> Self {
        Self {
            is_counted: false,
            ..Self::counted(answer)
        }
    }

    fn counted(answer: OrderAnswer) -> Self {
        Self {
            answer,
            is_counted: true,
            is_store_load: false,
        }
    }
}

impl EngineState {
    fn used_adapter_slots(&self) -> usize {
        let loaded: usize = self.models.iter().map(|model| model.adapters.len()).sum();
        loaded + self.loading_adapters.len()
    }

    /// Describes the limit that an order would violate if it reached the engine now; `None` if
    /// there is none.
    pub(super) fn violated_limit(&self, order: &PlannedOrder) -> Option<String> {
        if order.action != OrderAction::Load {
            return None;
        }
        let model = &order.model_ref.model;
        let loading = self.model_order.as_ref().map(|(order, _)| order);
        let loading = loading.filter(|order| order.action == OrderAction::Load);
        let resident = self.models.iter().find(|m| m.name == *model);
        let Some(adapter) = &order.model_ref.adapter else {
            let is_present =
                resident.is_some() || loading.is_some_and(|order| order.model_ref.model == *model);
            let used = self.models.len() + usize::from(loading.is_some());
            let is_over = !is_present && used >= MODEL_SLOTS;
            return is_over.then(|| format!("models: {order:?}, {self:?}"));
        };
        let is_present = resident.is_some_and(|m| m.adapters.contains(adapter))
            || self
                .loading_adapters
                .iter()
                .any(|(model_ref, _)| *model_ref == order.model_ref);
        let is_over = !is_present && self.used_adapter_slots() >= ADAPTER_SLOTS;
        is_over.then(|| format!("adapters: {order:?}, {self:?}"))
    }

    /// Takes an order or refuses it; running requests take another `run_steps` steps.
    pub(super) fn handle_order(
        &mut self,
        order: &PlannedOrder,
        run_steps: u32,
        step: u32,
    ) -> Effect {
        if self.orders_taken != order.expected_orders || self.model_order.is_some() {
            return Effect::uncounted(OrderAnswer::Conflict);
        }
        self.orders_taken += 1;
        match &order.model_ref.adapter {
            Some(adapter) => self.handle_adapter_order(order, adapter, run_steps, step),
            None => self.handle_model_order(order, run_steps, step),
        }
    }

    fn handle_adapter_order(
        &mut self,
        order: &PlannedOrder,
        adapter: &AdapterName,
        run_steps: u32,
        step: u32,
    ) -> Effect {
        let model = &order.model_ref.model;
        let Some(model) = self.models.iter_mut().find(|m| m.name == *model) else {
            return Effect::counted(OrderAnswer::Refused);
        };
        let is_load = order.action == OrderAction::Load;
        if is_load && model.adapters.contains(adapter) {
            // The adapter is already loaded, so the engine does not count the order.
            self.orders_taken -= 1;
            return Effect::counted(OrderAnswer::Done);
        }
        if is_load {
            // The weight store delivers adapters one after the other, so some take long.
            self.loading_adapters
                .push((order.model_ref.clone(), step + run_steps / 6));
            return Effect::counted(OrderAnswer::Taken);
        }
        if run_steps < ADAPTER_RUN_STEPS {
            self.unloading_adapters
                .push((order.model_ref.clone(), step + 10));
            return Effect::counted(OrderAnswer::Taken);
        }
        model.adapters.retain(|name| name != adapter);
        Effect::counted(OrderAnswer::Done)
    }

    fn handle_model_order(&mut self, order: &PlannedOrder, run_steps: u32, step: u32) -> Effect {
        let mut effect = Effect::counted(OrderAnswer::Taken);
        if order.action == OrderAction::Load {
            effect.is_store_load = !self.on_disk.contains(&order.model_ref.model);
            let steps = if effect.is_store_load { 4 } else { 1 };
            self.model_order = Some((order.clone(), step + steps));
        } else {
            // Running requests delay an unload.
            self.model_order = Some((order.clone(), step + 1 + run_steps / 3));
        }
        effect
    }

    /// Completes the model order in progress if it is due. Returns whether one completed.
    fn complete_model_order(&mut self, step: u32) -> bool {
        let Some((order, _)) = self.model_order.take_if(|(_, at)| *at <= step) else {
            return false;
        };
        self.models.retain(|m| m.name != order.model_ref.model);
        self.loading_adapters
            .retain(|(model_ref, _)| model_ref.model != order.model_ref.model);
        if order.action == OrderAction::Load {
            self.on_disk.insert(order.model_ref.model.clone());
            self.models.push(ResidentModel {
                name: order.model_ref.model,
                adapters: Vec::new(),
            });
        }
        true
    }

    /// Loads adapters that are due, and unloads adapters whose last run has ended.
    fn complete_adapter_orders(&mut self, step: u32) {
        let models = &mut self.models;
        for (model_ref, _) in self.loading_adapters.extract_if(.., |(_, at)| *at <= step) {
            let model = models.iter_mut().find(|m| m.name == model_ref.model);
            if let Some((model, adapter)) = model.zip(model_ref.adapter) {
                model.adapters.push(adapter);
            }
        }
        self.unloading_adapters.retain(|(model_ref, at)| {
            if *at > step {
                return true;
            }
            for model in models.iter_mut().filter(|m| m.name == model_ref.model) {
                model
                    .adapters
                    .retain(|name| Some(name) != model_ref.adapter.as_ref());
            }
            false
        });
    }
}

impl Engine {
    pub(super) fn new(number: u32, on_disk: BTreeSet<ModelName>) -> Self {
        Self {
            id: format!("i-{number}").into(),
            state: EngineState {
                on_disk,
                ..EngineState::default()
            },
            history: VecDeque::new(),
            heartbeat: 0,
            sent_entries: Vec::new(),
            entries_in_transit: VecDeque::new(),
        }
    }

    /// Restarts the engine under its id; only its disk is kept.
    pub(super) fn restart(&mut self, step: u32) {
        self.state = EngineState {
            on_disk: std::mem::take(&mut self.state.on_disk),
            started_at_ms: u64::from(step),
            ..EngineState::default()
        };
        self.heartbeat = 0;
        self.sent_entries.clear();
    }

    /// Sends an entry that arrives after `delay_steps`, but never before an earlier entry.
    pub(super) fn send_entry(&mut self, step: u32, delay_steps: u32) {
        let last_arrival = self.entries_in_transit.back().map_or(0, |(at, _)| *at);
        let entry = self.entry();
        self.entries_in_transit
            .push_back((last_arrival.max(step + delay_steps), entry));
    }

    /// Takes the entries that have arrived by now.
    pub(super) fn take_arrived_entries(&mut self, step: u32) -> Vec<UpstreamEntry> {
        let due = self
            .entries_in_transit
            .iter()
            .take_while(|(at, _)| *at <= step);
        let count = due.count();
        self.entries_in_transit
            .drain(..count)
            .map(|(_, entry)| entry)
            .collect()
    }

    pub(super) fn entry(&mut self) -> UpstreamEntry {
        self.heartbeat += 1;
        let entry = UpstreamEntry {
            id: self.id.clone(),
            service: "engines".into(),
            address: ([127, 0, 0, 1], 9).into(),
            hall: "hall0".into(),
            slots: 8,
            draining: false,
            cold_until: None,
            models: self.state.models.clone(),
            in_memory: Vec::new(),
            on_disk: self.state.on_disk.iter().cloned().collect(),
            heartbeat: self.heartbeat,
            started_at_ms: self.state.started_at_ms,
            software: "v1".into(),
        };
        self.sent_entries.push(entry.clone());
        entry
    }

    /// A report with a state that is some steps old.
    pub(super) fn report(&self) -> EngineReport {
        let state = self.history.front().unwrap_or(&self.state);
        EngineReport {
            models: state.models.clone(),
            busy: state.model_order.is_some(),
            orders_taken: state.orders_taken,
            in_memory: Vec::new(),
            on_disk: state.on_disk.iter().cloned().collect(),
            adapters_loading: state
                .loading_adapters
                .iter()
                .map(|(model_ref, _)| model_ref.clone())
                .collect(),
            started_at_ms: state.started_at_ms,
        }
    }

    /// Completes what is due. Returns whether a model order completed.
    pub(super) fn advance(&mut self, step: u32) -> bool {
        let is_completed = self.state.complete_model_order(step);
        self.state.complete_adapter_orders(step);
        self.history.push_back(self.state.clone());
        if self.history.len() > REPORT_LAG_STEPS {
            self.history.pop_front();
        }
        is_completed
    }
}
