//! An engine of the fault runs: it takes orders and carries them out step by step.

use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// Models that fit on an engine, and adapters, as `site::configuration` says.
const PLACES: usize = 2;
const ADAPTER_PLACES: usize = 2;
/// How old a report's state is.
const REPORT_LAG_STEPS: usize = 4;
/// An adapter is in use if its model's requests run for fewer steps than this.
const ADAPTER_RUN_STEPS: u32 = 8;

/// What stands on an engine, and what it does.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    models: Vec<ResidentModel>,
    pub(super) on_disk: BTreeSet<ModelName>,
    /// Orders taken.
    taken: u64,
    /// The model order under way and the step at which it is done.
    busy: Option<(PlannedOrder, u32)>,
    /// Adapters that leave when their run ends.
    leaving: Vec<(ModelRef, u32)>,
}

pub(super) struct Engine {
    pub(super) id: UpstreamId,
    pub(super) state: State,
    /// The last states, the oldest first.
    history: VecDeque<State>,
    beat: u64,
    /// Its words so far.
    pub(super) told: Vec<UpstreamEntry>,
}

/// What came of an order.
#[derive(Debug)]
pub(super) struct Effect {
    pub(super) answer: OrderAnswer,
    /// Whether it counts among the orders of the run.
    pub(super) is_order: bool,
    /// Whether a load from the weight store began.
    pub(super) from_store: bool,
    /// The limit that it breaks.
    pub(super) over: Option<String>,
}

impl Effect {
    fn uncounted(answer: OrderAnswer) -> Self {
        Self {
            is_order: false,
            ..Self::counted(answer)
        }
    }

    fn counted(answer: OrderAnswer) -> Self {
        Self {
            answer,
            is_order: true,
            from_store: false,
            over: None,
        }
    }
}

impl State {
    fn adapters(&self) -> usize {
        self.models.iter().map(|model| model.adapters.len()).sum()
    }

    /// Takes an order or refuses it; requests run for `run_steps` yet.
    pub(super) fn take(&mut self, order: &PlannedOrder, run_steps: u32, step: u32) -> Effect {
        if self.taken != order.expected_orders || self.busy.is_some() {
            return Effect::uncounted(OrderAnswer::Conflict);
        }
        self.taken += 1;
        match &order.wish.adapter {
            Some(adapter) => self.take_adapter(order, adapter, run_steps, step),
            None => self.take_model(order, run_steps, step),
        }
    }

    fn take_adapter(
        &mut self,
        order: &PlannedOrder,
        adapter: &AdapterName,
        run_steps: u32,
        step: u32,
    ) -> Effect {
        let model = &order.wish.model;
        let Some(model) = self.models.iter_mut().find(|m| m.name == *model) else {
            return Effect::counted(OrderAnswer::Refused);
        };
        let is_load = order.action == OrderAction::Load;
        if is_load && model.adapters.contains(adapter) {
            // It holds already and counts as no order of the engine's.
            self.taken -= 1;
            return Effect::counted(OrderAnswer::Done);
        }
        if is_load {
            model.adapters.push(adapter.clone());
            let leaving = self.leaving.len();
            let is_over = self.adapters() > ADAPTER_PLACES;
            return Effect {
                over: is_over.then(|| format!("adapters: {order:?}, {leaving} leaving")),
                ..Effect::counted(OrderAnswer::Taken)
            };
        }
        if run_steps < ADAPTER_RUN_STEPS {
            self.leaving.push((order.wish.clone(), step + 10));
            return Effect::counted(OrderAnswer::Taken);
        }
        model.adapters.retain(|name| name != adapter);
        Effect::counted(OrderAnswer::Done)
    }

    fn take_model(&mut self, order: &PlannedOrder, run_steps: u32, step: u32) -> Effect {
        let mut effect = Effect::counted(OrderAnswer::Taken);
        if order.action == OrderAction::Load {
            let is_over = self.models.len() >= PLACES;
            effect.over = is_over.then(|| format!("models: {order:?}"));
            effect.from_store = !self.on_disk.contains(&order.wish.model);
            let steps = if effect.from_store { 4 } else { 1 };
            self.busy = Some((order.clone(), step + steps));
        } else {
            // Runs hold an unload up.
            self.busy = Some((order.clone(), step + 1 + run_steps / 3));
        }
        effect
    }

    /// Ends the model order under way if it is due; whether it did.
    fn end_order(&mut self, step: u32) -> bool {
        let Some((order, _)) = self.busy.take_if(|(_, at)| *at <= step) else {
            return false;
        };
        self.models.retain(|m| m.name != order.wish.model);
        if order.action == OrderAction::Load {
            self.on_disk.insert(order.wish.model.clone());
            self.models.push(ResidentModel {
                name: order.wish.model,
                adapters: Vec::new(),
            });
        }
        true
    }

    /// Adapters go whose last run has ended.
    fn end_adapters(&mut self, step: u32) {
        let models = &mut self.models;
        self.leaving.retain(|(wish, at)| {
            if *at > step {
                return true;
            }
            for model in models.iter_mut().filter(|m| m.name == wish.model) {
                model
                    .adapters
                    .retain(|name| Some(name) != wish.adapter.as_ref());
            }
            false
        });
    }
}

impl Engine {
    pub(super) fn new(number: u32, on_disk: BTreeSet<ModelName>) -> Self {
        Self {
            id: format!("i-{number}").into(),
            state: State {
                on_disk,
                ..State::default()
            },
            history: VecDeque::new(),
            beat: 0,
            told: Vec::new(),
        }
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
            gone_at: None,
            models: self.state.models.clone(),
            in_memory: Vec::new(),
            on_disk: self.state.on_disk.iter().cloned().collect(),
            beat: self.beat,
        };
        self.told.push(entry.clone());
        entry
    }

    /// The state that a report shows: some steps old.
    pub(super) fn report(&self) -> EngineReport {
        let state = self.history.front().unwrap_or(&self.state);
        EngineReport {
            models: state.models.clone(),
            busy: state.busy.is_some(),
            orders_taken: state.taken,
            in_memory: Vec::new(),
            on_disk: state.on_disk.iter().cloned().collect(),
        }
    }

    /// Ends what is due; whether a model order has ended.
    pub(super) fn progress(&mut self, step: u32) -> bool {
        let has_ended = self.state.end_order(step);
        self.state.end_adapters(step);
        self.history.push_back(self.state.clone());
        if self.history.len() > REPORT_LAG_STEPS {
            self.history.pop_front();
        }
        has_ended
    }
}
