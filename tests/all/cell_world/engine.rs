//! A fake engine that executes every order with a valid fencing number.

use passway_config::document::{Fencing, UpstreamEntry};
use passway_decide::messages::{
    LoadedModel, LoadedState, Order, OrderAnswer, OrderKind, UpstreamStatus,
};
use passway_types::prelude::*;
use std::collections::BTreeMap;

#[derive(Debug)]
pub struct Engine {
    pub fencing: Fencing,
    highest_fence: Fence,
    boot: u64,
    pub memory_mb: u64,
    /// Whether the engine answers nothing.
    pub is_down: bool,
    /// Size in MB of each model and the time at which it is ready.
    pub loaded: BTreeMap<ModelName, (u64, Instant)>,
    pub load_counts: BTreeMap<ModelName, u32>,
}

impl Engine {
    pub fn new(entry: &UpstreamEntry) -> Self {
        Self {
            fencing: entry.fencing,
            highest_fence: 0,
            boot: 1,
            memory_mb: entry.memory_mb,
            is_down: false,
            loaded: BTreeMap::new(),
            load_counts: BTreeMap::new(),
        }
    }

    pub fn restart(&mut self) {
        self.boot += 1;
        self.loaded.clear();
        if self.fencing == Fencing::Forgets {
            self.highest_fence = 0;
        }
    }

    /// Removes the engine with all its models, or brings it back empty.
    pub fn set_removed(&mut self, is_removed: bool) {
        self.is_down = is_removed;
        if is_removed {
            self.loaded.clear();
            self.boot += 1;
        }
    }

    /// Returns the status report; `None` while the engine is down.
    pub fn status(&self, now: Instant) -> Option<UpstreamStatus> {
        if self.is_down {
            return None;
        }
        let loaded = self
            .loaded
            .iter()
            .map(|(model, (_, ready_at))| LoadedModel {
                model: model.clone(),
                state: if now >= *ready_at {
                    LoadedState::Ready
                } else {
                    LoadedState::Loading
                },
                running: 0,
            });
        Some(UpstreamStatus {
            boot: self.boot,
            loaded: loaded.collect(),
            ..Default::default()
        })
    }

    pub fn execute(&mut self, now: Instant, load_time: Duration, order: &Order) -> OrderAnswer {
        if self.fencing != Fencing::Ignores {
            if order.fence < self.highest_fence {
                return OrderAnswer::Fenced;
            }
            self.highest_fence = order.fence;
        }
        match order.kind {
            OrderKind::Unload => {
                self.loaded.remove(&order.model);
                OrderAnswer::Absent
            }
            OrderKind::Load => self.load(now, load_time, order),
        }
    }

    fn load(&mut self, now: Instant, load_time: Duration, order: &Order) -> OrderAnswer {
        if let Some((_, ready_at)) = self.loaded.get(&order.model) {
            return if now >= *ready_at {
                OrderAnswer::Loaded
            } else {
                OrderAnswer::Loading
            };
        }
        let size_mb = order.size_bytes >> 20;
        self.loaded
            .insert(order.model.clone(), (size_mb, now + load_time));
        *self.load_counts.entry(order.model.clone()).or_default() += 1;
        OrderAnswer::Loading
    }
}

pub fn engine_id(number: usize) -> UpstreamId {
    format!("engine{number}").into()
}

pub fn engine_number(id: &str) -> usize {
    id["engine".len()..].parse().expect("an engine number")
}
