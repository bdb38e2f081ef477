//! An engine of the fault runs: it takes orders and carries them out step by step.
//!
//! An order counts as over a limit by what it asks for when it is *received*, whether the
//! engine then takes it or refuses it for its count: callers of the engine are judged so.

use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// Models that fit on an engine, and adapters, as `cluster::configuration` says.
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
    /// Adapters on their way, and the step at which they are there.
    coming: Vec<(ModelRef, u32)>,
    /// When the engine started, in milliseconds.
    started_at_ms: u64,
}

pub(super) struct Engine {
    pub(super) id: UpstreamId,
    pub(super) state: State,
    /// The last states, the oldest first.
    history: VecDeque<State>,
    beat: u64,
    /// Its words so far.
    pub(super) told: Vec<UpstreamEntry>,
    /// Its words that have not reached the holder yet, and the steps at which they do.
    on_their_way: VecDeque<(u32, UpstreamEntry)>,
}

/// What came of an order.
#[derive(Debug)]
pub(super) struct Effect {
    pub(super) answer: OrderAnswer,
    /// Whether it counts among the orders of the run.
    pub(super) is_order: bool,
    /// Whether a load from the weight store began.
    pub(super) from_store: bool,
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
        }
    }
}

impl State {
    fn adapters(&self) -> usize {
        let standing: usize = self.models.iter().map(|model| model.adapters.len()).sum();
        standing + self.coming.len()
    }

    /// The limit that an order is over by what it asks for, if it reaches the engine now.
    pub(super) fn over(&self, order: &PlannedOrder) -> Option<String> {
        if order.action != OrderAction::Load {
            return None;
        }
        let model = &order.wish.model;
        let loading = self.busy.as_ref().map(|(busy, _)| busy);
        let loading = loading.filter(|busy| busy.action == OrderAction::Load);
        let stands = self.models.iter().find(|m| m.name == *model);
        let Some(adapter) = &order.wish.adapter else {
            let is_there = stands.is_some() || loading.is_some_and(|l| l.wish.model == *model);
            let held = self.models.len() + usize::from(loading.is_some());
            let is_over = !is_there && held >= PLACES;
            return is_over.then(|| format!("models: {order:?}, {self:?}"));
        };
        let is_there = stands.is_some_and(|m| m.adapters.contains(adapter))
            || self.coming.iter().any(|(wish, _)| *wish == order.wish);
        let is_over = !is_there && self.adapters() >= ADAPTER_PLACES;
        is_over.then(|| format!("adapters: {order:?}, {self:?}"))
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
            // The weight store gives adapters one after the other: some take long.
            self.coming.push((order.wish.clone(), step + run_steps / 6));
            return Effect::counted(OrderAnswer::Taken);
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
        self.coming
            .retain(|(wish, _)| wish.model != order.wish.model);
        if order.action == OrderAction::Load {
            self.on_disk.insert(order.wish.model.clone());
            self.models.push(ResidentModel {
                name: order.wish.model,
                adapters: Vec::new(),
            });
        }
        true
    }

    /// Adapters come that are due, and go whose last run has ended.
    fn end_adapters(&mut self, step: u32) {
        let models = &mut self.models;
        for (wish, _) in self.coming.extract_if(.., |(_, at)| *at <= step) {
            let model = models.iter_mut().find(|m| m.name == wish.model);
            if let Some((model, adapter)) = model.zip(wish.adapter) {
                model.adapters.push(adapter);
            }
        }
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
            on_their_way: VecDeque::new(),
        }
    }

    /// It starts again under its id: only its disk is as it was.
    pub(super) fn start_again(&mut self, step: u32) {
        self.state = State {
            on_disk: std::mem::take(&mut self.state.on_disk),
            started_at_ms: u64::from(step),
            ..State::default()
        };
        self.beat = 0;
        self.told.clear();
    }

    /// Says something of itself, which reaches the holder after some steps: behind all that it
    /// said before.
    pub(super) fn send(&mut self, step: u32, lag_steps: u32) {
        let last = self.on_their_way.back().map_or(0, |(at, _)| *at);
        let entry = self.entry();
        self.on_their_way
            .push_back((last.max(step + lag_steps), entry));
    }

    /// What reaches the holder by now.
    pub(super) fn arriving(&mut self, step: u32) -> Vec<UpstreamEntry> {
        let due = self.on_their_way.iter().take_while(|(at, _)| *at <= step);
        let due = due.count();
        self.on_their_way
            .drain(..due)
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
            heartbeat: self.beat,
            started_at_ms: self.state.started_at_ms,
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
            adapters_loading: state.coming.iter().map(|(wish, _)| wish.clone()).collect(),
            started_at_ms: state.started_at_ms,
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
