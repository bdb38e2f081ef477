//! One simulated engine with its accelerator memory, host memory, disk and current order.

use super::size::{
    DISK_LOAD_MS, DISK_MODELS, MEMORY_LOAD_MS, MEMORY_MODELS, RESIDENT_MODELS, STORE_LOAD_MS,
    UNLOAD_DURATION_MS,
};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Storage tier from which a model is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The engine's host memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

/// An order that an engine is executing.
#[derive(Debug, Clone)]
pub struct OrderInProgress {
    /// The order.
    pub order: PlannedOrder,
    /// Storage tier from which the model is loaded. Unused for an unload.
    pub source: LoadSource,
    /// Remaining time in milliseconds at full speed. An unload also waits for the running requests
    /// of its model.
    pub remaining_ms: f64,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Id of the engine.
    pub id: UpstreamId,
    /// Number of requests that can run at the same time.
    slots: u32,
    /// Resident models with the number of running requests of each.
    pub resident: HashMap<ModelName, u32>,
    /// Checkpoints in host memory, the most recently loaded last.
    memory: VecDeque<ModelName>,
    /// Checkpoints on disk, the most recently loaded last.
    disk: VecDeque<ModelName>,
    /// Number of accepted orders.
    orders_taken: u64,
    /// The order in progress.
    pub current_order: Option<OrderInProgress>,
    heartbeat: u64,
    /// Number of accepted loads that exceeded the accelerator memory; must stay 0.
    pub overcommits: u32,
}

/// Moves or adds a model to the end of a list and drops the first models beyond `capacity`.
fn push_bounded(models: &mut VecDeque<ModelName>, model: &ModelName, capacity: usize) {
    models.retain(|name| name != model);
    models.push_back(model.clone());
    while models.len() > capacity {
        models.pop_front();
    }
}

impl Engine {
    /// Creates an engine with resident `models` whose disk also contains `cached` models.
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

    /// Returns the resident models in the order of their names.
    fn residents(&self) -> Vec<ResidentModel> {
        let mut names: Vec<&ModelName> = self.resident.keys().collect();
        names.sort();
        let model = |name: &ModelName| ResidentModel {
            name: name.clone(),
            adapters: Vec::new(),
        };
        names.into_iter().map(model).collect()
    }

    /// Returns the entry that the engine publishes, with the next heartbeat.
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
            software: "v1".into(),
        }
    }

    /// Returns the engine's answer to a status query.
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

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.resident.values().sum()
    }

    /// Whether one more request can run.
    pub fn has_free_slot(&self) -> bool {
        self.running() < self.slots
    }

    /// Returns the fastest storage tier that contains a model.
    fn source(&self, model: &ModelName) -> LoadSource {
        if self.memory.contains(model) {
            LoadSource::Memory
        } else if self.disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Starts an order. Answers with a conflict if another order is in progress or the planner's
    /// count of accepted orders is out of date.
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

    /// Whether a load from the weight store is in progress.
    pub fn is_loading_from_store(&self) -> bool {
        let current = self.current_order.as_ref();
        current
            .is_some_and(|o| o.source == LoadSource::Store && o.order.action == OrderAction::Load)
    }

    /// Advances the current order by `step_ms` and returns it when it completes.
    /// `store_speed` is the ratio of full speed at which the weight store serves loads.
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
        let can_finish = is_load
            || self
                .resident
                .get(&model)
                .is_none_or(|requests| *requests == 0);
        if current.remaining_ms > 0.0 || !can_finish {
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
