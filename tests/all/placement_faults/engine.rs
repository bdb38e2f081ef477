//! An engine of the fault runs: it takes orders and carries them out step by step.
//!
//! An order counts as over a limit by what it asks for when it is *received*, whether the
//! engine then takes it or refuses it for its count: callers of the engine are judged so.

use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// Models that fit on an engine, and adapters, as `site::configuration` says.
const MODEL_SLOTS: usize = 2;
const ADAPTER_SLOTS: usize = 2;
/// How old a report's state is.
const REPORT_LAG_STEPS: usize = 4;
/// An adapter is in use if its model's requests run for fewer steps than this.
const ADAPTER_RUN_STEPS: u32 = 8;

/// What stands on an engine, and what it does.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineState {
    models: Vec<ResidentModel>,
    pub(super) on_disk: BTreeSet<ModelName>,
    /// Orders taken.
    orders_taken: u64,
    /// The model order under way and the step at which it is done.
    model_order: Option<(PlannedOrder, u32)>,
    /// Adapters that leave when their run ends.
    unloading_adapters: Vec<(ModelRef, u32)>,
    /// Adapters on their way, and the step at which they are there.
    loading_adapters: Vec<(ModelRef, u32)>,
    /// When the engine started, in milliseconds.
    started_at_ms: u64,
}

pub(super) struct Engine {
    pub(super) id: UpstreamId,
    pub(super) state: EngineState,
    /// The last states, the oldest first.
    history: VecDeque<EngineState>,
    beat: u64,
    /// Its words so far.
    pub(super) sent_entries: Vec<UpstreamEntry>,
    /// Its words that have not reached the holder yet, and the steps at which they do.
    entries_in_transit: VecDeque<(u32, UpstreamEntry)>,
}

/// What came of an order.
#[derive(Debug)]
pub(super) struct Effect {
    pub(super) answer: OrderAnswer,
    /// Whether it counts among the orders of the run.
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

    /// The limit that an order is over by what it asks for, if it reaches the engine now.
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

    /// Takes an order or refuses it; requests run for `run_steps` yet.
    pub(super) fn accept(&mut self, order: &PlannedOrder, run_steps: u32, step: u32) -> Effect {
        if self.orders_taken != order.expected_orders || self.model_order.is_some() {
            return Effect::uncounted(OrderAnswer::Conflict);
        }
        self.orders_taken += 1;
        match &order.model_ref.adapter {
            Some(adapter) => self.accept_adapter(order, adapter, run_steps, step),
            None => self.accept_model(order, run_steps, step),
        }
    }

    fn accept_adapter(
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
            // It holds already and counts as no order of the engine's.
            self.orders_taken -= 1;
            return Effect::counted(OrderAnswer::Done);
        }
        if is_load {
            // The weight store gives adapters one after the other: some take long.
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

    fn accept_model(&mut self, order: &PlannedOrder, run_steps: u32, step: u32) -> Effect {
        let mut effect = Effect::counted(OrderAnswer::Taken);
        if order.action == OrderAction::Load {
            effect.is_store_load = !self.on_disk.contains(&order.model_ref.model);
            let steps = if effect.is_store_load { 4 } else { 1 };
            self.model_order = Some((order.clone(), step + steps));
        } else {
            // Runs hold an unload up.
            self.model_order = Some((order.clone(), step + 1 + run_steps / 3));
        }
        effect
    }

    /// Ends the model order under way if it is due; whether it did.
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

    /// Adapters come that are due, and go whose last run has ended.
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
            beat: 0,
            sent_entries: Vec::new(),
            entries_in_transit: VecDeque::new(),
        }
    }

    /// It starts again under its id: only its disk is as it was.
    pub(super) fn restart(&mut self, step: u32) {
        self.state = EngineState {
            on_disk: std::mem::take(&mut self.state.on_disk),
            started_at_ms: u64::from(step),
            ..EngineState::default()
        };
        self.beat = 0;
        self.sent_entries.clear();
    }

    /// Says something of itself, which reaches the holder after some steps: behind all that it
    /// said before.
    pub(super) fn send_entry(&mut self, step: u32, delay_steps: u32) {
        let last_arrival = self.entries_in_transit.back().map_or(0, |(at, _)| *at);
        let entry = self.entry();
        self.entries_in_transit
            .push_back((last_arrival.max(step + delay_steps), entry));
    }

    /// What reaches the holder by now.
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
        self.beat += 1;
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
            beat: self.beat,
            started_at_ms: self.state.started_at_ms,
        };
        self.sent_entries.push(entry.clone());
        entry
    }

    /// The state that a report shows: some steps old.
    pub(super) fn report(&self) -> EngineReport {
        let state = self.history.front().unwrap_or(&self.state);
        EngineReport {
            models: state.models.clone(),
            busy: state.model_order.is_some(),
            orders_taken: state.orders_taken,
            in_memory: Vec::new(),
            on_disk: state.on_disk.iter().cloned().collect(),
            adapters_coming: state
                .loading_adapters
                .iter()
                .map(|(model_ref, _)| model_ref.clone())
                .collect(),
            started_at_ms: state.started_at_ms,
        }
    }

    /// Ends what is due; whether a model order has ended.
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
