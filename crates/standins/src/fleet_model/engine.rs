//! One engine of the model: places, disk, memory, one order at a time.

use super::size::{DISK_MS, DISK_PLACES, LOAD_MS, MEMORY_MS, MEMORY_PLACES, PLACES, UNLOAD_MS};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Where a load comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The engine's memory.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store.
    Store,
}

/// An order that is carried out.
#[derive(Debug, Clone)]
pub struct Busy {
    /// The order.
    pub order: PlannedOrder,
    /// Where a load comes from.
    pub source: Source,
    /// What is left of it, in milliseconds at full speed; an unload waits for its runs.
    pub left_ms: f64,
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
    pub busy: Option<Busy>,
    beat: u64,
    /// Places where memory would have been overcommitted; never.
    pub overfull: u32,
}

/// Puts a model last on a list that drops its first ones when it is full.
fn keep(list: &mut VecDeque<ModelName>, model: &ModelName, most: usize) {
    list.retain(|kept| kept != model);
    list.push_back(model.clone());
    while list.len() > most {
        list.pop_front();
    }
}

impl Engine {
    /// An engine with some models in its places and some more on its disk.
    pub fn new(number: usize, slots: u32, models: &[ModelName], near: &[ModelName]) -> Self {
        let mut disk = VecDeque::new();
        for model in near.iter().chain(models) {
            keep(&mut disk, model, DISK_PLACES);
        }
        Self {
            id: format!("e{number}").into(),
            slots,
            resident: models.iter().map(|model| (model.clone(), 0)).collect(),
            memory: VecDeque::new(),
            disk,
            orders_taken: 0,
            busy: None,
            beat: 0,
            overfull: 0,
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
        self.beat += 1;
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
            heartbeat: self.beat,
            started_at_ms: 0,
        }
    }

    /// Its answer when it is asked for its state.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            models: self.residents(),
            busy: self.busy.is_some(),
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
    pub fn has_room(&self) -> bool {
        self.running() < self.slots
    }

    /// Where a load of a model would come from.
    fn source(&self, model: &ModelName) -> Source {
        if self.memory.contains(model) {
            Source::Memory
        } else if self.disk.contains(model) {
            Source::Disk
        } else {
            Source::Store
        }
    }

    /// Takes an order, or does not.
    pub fn take(&mut self, order: &PlannedOrder) -> OrderAnswer {
        if self.busy.is_some() || order.expected_orders != self.orders_taken {
            return OrderAnswer::Conflict;
        }
        self.orders_taken += 1;
        let source = self.source(&order.model_ref.model);
        let time_ms = match (order.action, source) {
            (OrderAction::Unload, _) => UNLOAD_MS,
            (OrderAction::Load, Source::Memory) => MEMORY_MS,
            (OrderAction::Load, Source::Disk) => DISK_MS,
            (OrderAction::Load, Source::Store) => LOAD_MS,
        };
        if order.action == OrderAction::Load && self.resident.len() >= PLACES {
            self.overfull += 1;
        }
        self.busy = Some(Busy {
            order: order.clone(),
            source,
            left_ms: time_ms.into(),
        });
        OrderAnswer::Taken
    }

    /// Whether a load from the weight store is under way.
    pub fn loads_from_store(&self) -> bool {
        let busy = self.busy.as_ref();
        busy.is_some_and(|b| b.source == Source::Store && b.order.action == OrderAction::Load)
    }

    /// Goes on with the order under way for so long; the order if it is done.
    /// `store_speed` is 1 while the weight store gives full speed.
    pub fn progress(&mut self, step_ms: f64, store_speed: f64) -> Option<PlannedOrder> {
        let busy = self.busy.as_mut()?;
        let model = busy.order.model_ref.model.clone();
        let is_load = busy.order.action == OrderAction::Load;
        let speed = if is_load && busy.source == Source::Store {
            store_speed
        } else {
            1.0
        };
        busy.left_ms -= step_ms * speed;
        let runs_end = is_load || self.resident.get(&model).is_none_or(|runs| *runs == 0);
        if busy.left_ms > 0.0 || !runs_end {
            return None;
        }
        let done = self.busy.take()?.order;
        if is_load {
            self.resident.insert(model.clone(), 0);
            keep(&mut self.disk, &model, DISK_PLACES);
            keep(&mut self.memory, &model, MEMORY_PLACES);
        } else {
            self.resident.remove(&model);
        }
        Some(done)
    }
}
