//! One engine of the model: places, disk, memory, one order at a time.

use super::size::{
    DISK_LOAD_MS, DISK_MODELS, MEMORY_LOAD_MS, MEMORY_MODELS, RESIDENT_MODELS, STORE_LOAD_MS,
    UNLOAD_DURATION_MS,
};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Where a load comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The engine's memory.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store.
    Store,
}

/// An order that is carried out.
#[derive(Debug, Clone)]
pub struct OrderInProgress {
    /// The order.
    pub order: PlannedOrder,
    /// Where a load comes from.
    pub source: LoadSource,
    /// What is left of it, in milliseconds at full speed; an unload waits for its runs.
    pub remaining_ms: f64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// Its id.
    pub id: UpstreamId,
    slots: u32,
    /// Models in its places, each with its runs.
    pub resident: HashMap<ModelName, u32>,
    memory: VecDeque<ModelName>,
    disk: VecDeque<ModelName>,
    orders_taken: u64,
    /// The order under way.
    pub current_order: Option<OrderInProgress>,
    heartbeat: u64,
    /// Places where memory would have been overcommitted; never.
    pub overcommits: u32,
}

/// Puts a model last on a list that drops its first ones when it is full.
fn push_bounded(models: &mut VecDeque<ModelName>, model: &ModelName, capacity: usize) {
    models.retain(|name| name != model);
    models.push_back(model.clone());
    while models.len() > capacity {
        models.pop_front();
    }
}

impl Engine {
    /// An engine with some models in its places and some more on its disk.
    pub fn new(number: usize, slots: u32, models: &[ModelName], cached: &[ModelName]) -> Self {
        let mut disk = VecDeque::new();
        for model in cached.iter().chain(models) {
            push_bounded(&mut disk, model, DISK_MODELS);
        }
        Self {
            id: format!("e{number}").into(),
            slots,
            resident: models.iter().map(|model| (model.clone(), 0)).collect(),
            memory: VecDeque::new(),
            disk,
            orders_taken: 0,
            current_order: None,
            heartbeat: 0,
            overcommits: 0,
        }
    }

    fn residents(&self) -> Vec<ResidentModel> {
        let mut names: Vec<&ModelName> = self.resident.keys().collect();
        names.sort();
        let model = |name: &ModelName| ResidentModel {
            name: name.clone(),
            adapters: Vec::new(),
        };
        names.into_iter().map(model).collect()
    }

    /// What it says of itself.
    pub fn entry(&mut self) -> UpstreamEntry {
        self.heartbeat += 1;
        UpstreamEntry {
            id: self.id.clone(),
            service: super::FleetSize::service(),
            address: ([127, 0, 0, 1], 9).into(),
            hall: "hall0".into(),
            slots: self.slots,
            draining: false,
            cold_until: None,
            models: self.residents(),
            in_memory: self.memory.iter().cloned().collect(),
            on_disk: self.disk.iter().cloned().collect(),
            heartbeat: self.heartbeat,
            started_at_ms: 0,
        }
    }

    /// Its answer when it is asked for its state.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            models: self.residents(),
            busy: self.current_order.is_some(),
            orders_taken: self.orders_taken,
            in_memory: self.memory.iter().cloned().collect(),
            on_disk: self.disk.iter().cloned().collect(),
            adapters_loading: Vec::new(),
            started_at_ms: 0,
        }
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.resident.values().sum()
    }

    /// Whether one more request may run.
    pub fn has_free_slot(&self) -> bool {
        self.running() < self.slots
    }

    /// Where a load of a model would come from.
    fn source(&self, model: &ModelName) -> LoadSource {
        if self.memory.contains(model) {
            LoadSource::Memory
        } else if self.disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Takes an order, or does not.
    pub fn accept_order(&mut self, order: &PlannedOrder) -> OrderAnswer {
        if self.current_order.is_some() || order.expected_orders != self.orders_taken {
            return OrderAnswer::Conflict;
        }
        self.orders_taken += 1;
        let source = self.source(&order.model_ref.model);
        let duration_ms = match (order.action, source) {
            (OrderAction::Unload, _) => UNLOAD_DURATION_MS,
            (OrderAction::Load, LoadSource::Memory) => MEMORY_LOAD_MS,
            (OrderAction::Load, LoadSource::Disk) => DISK_LOAD_MS,
            (OrderAction::Load, LoadSource::Store) => STORE_LOAD_MS,
        };
        if order.action == OrderAction::Load && self.resident.len() >= RESIDENT_MODELS {
            self.overcommits += 1;
        }
        self.current_order = Some(OrderInProgress {
            order: order.clone(),
            source,
            remaining_ms: duration_ms.into(),
        });
        OrderAnswer::Taken
    }

    /// Whether a load from the weight store is under way.
    pub fn is_loading_from_store(&self) -> bool {
        let current = self.current_order.as_ref();
        current
            .is_some_and(|o| o.source == LoadSource::Store && o.order.action == OrderAction::Load)
    }

    /// Goes on with the order under way for so long; the order if it is done.
    /// `store_speed` is 1 while the weight store gives full speed.
    pub fn advance(&mut self, step_ms: f64, store_speed: f64) -> Option<PlannedOrder> {
        let current = self.current_order.as_mut()?;
        let model = current.order.model_ref.model.clone();
        let is_load = current.order.action == OrderAction::Load;
        let speed = if is_load && current.source == LoadSource::Store {
            store_speed
        } else {
            1.0
        };
        current.remaining_ms -= step_ms * speed;
        let is_idle = is_load
            || self
                .resident
                .get(&model)
                .is_none_or(|requests| *requests == 0);
        if current.remaining_ms > 0.0 || !is_idle {
            return None;
        }
        let done = self.current_order.take()?.order;
        if is_load {
            self.resident.insert(model.clone(), 0);
            push_bounded(&mut self.disk, &model, DISK_MODELS);
            push_bounded(&mut self.memory, &model, MEMORY_MODELS);
        } else {
            self.resident.remove(&model);
        }
        Some(done)
    }
}
