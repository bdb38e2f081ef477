//! Orders to model engines, and the status that engines return.

use crate::http::{CallError, Client};
use passway_decide::messages::{
    LoadedModel, LoadedState, Order, OrderAnswer, OrderKind, Tier, UpstreamStatus,
};
use passway_types::clock;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// JSON body of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderBody {
    /// `load` or `unload`.
    pub kind: String,
    /// The fencing number of the sender; the engine rejects numbers that are too old.
    pub fence: Fence,
    /// The model or adapter to load or unload.
    pub model: ModelName,
    /// The base model of an adapter; `None` for a model.
    pub base: Option<ModelName>,
    /// Accelerator memory that the replica needs, in bytes.
    pub size_bytes: u64,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The engine is loading the model.
    Loading,
    /// The model is already loaded.
    Loaded,
    /// The engine is unloading the model.
    Unloading,
    /// The model is not on the engine.
    Absent,
    /// The engine has too little free memory.
    NoRoom,
    /// The engine does not unload the model because requests are running on it.
    Busy,
    /// The fencing number of the order is too old.
    Fenced,
}

impl From<OrderResult> for OrderAnswer {
    fn from(result: OrderResult) -> Self {
        match result {
            OrderResult::Loading => Self::Loading,
            OrderResult::Loaded => Self::Loaded,
            OrderResult::Unloading => Self::Unloading,
            OrderResult::Absent => Self::Absent,
            OrderResult::NoRoom => Self::NoRoom,
            OrderResult::Busy => Self::Busy,
            OrderResult::Fenced => Self::Fenced,
        }
    }
}

/// JSON form of one loaded model in a status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadedBody {
    /// The model or adapter.
    pub model: ModelName,
    /// `loading`, `ready` or `unloading`.
    pub state: String,
    /// Number of requests that are running on the model.
    pub running: u32,
}

/// JSON form of a checkpoint that is cached in the memory or on the disk of the engine's machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CachedBody {
    /// The model or adapter.
    pub model: ModelName,
    /// `memory` or `disk`.
    pub tier: String,
}

/// JSON body of an engine's status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// Incarnation of the engine, drawn at random when its process starts.
    pub boot: Incarnation,
    /// Models on the accelerators of the engine.
    pub loaded: Vec<LoadedBody>,
    /// Checkpoints that the engine can load without reading the weight store.
    pub cached: Vec<CachedBody>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
}

impl From<StatusBody> for UpstreamStatus {
    fn from(body: StatusBody) -> Self {
        let loaded = body.loaded.into_iter().map(|loaded| LoadedModel {
            state: match loaded.state.as_str() {
                "ready" => LoadedState::Ready,
                "loading" => LoadedState::Loading,
                _ => LoadedState::Unloading,
            },
            model: loaded.model,
            running: loaded.running,
        });
        let tier = |name: &str| {
            if name == "memory" {
                Tier::Memory
            } else {
                Tier::Disk
            }
        };
        let cached = body.cached.into_iter().map(|c| (c.model, tier(&c.tier)));
        Self {
            boot: body.boot,
            loaded: loaded.collect(),
            cached: cached.collect(),
            leaving: body.leaving,
        }
    }
}

/// The control interface of model engines.
pub trait EngineControl: Send + Sync {
    /// Sends an order to the engine at `address` and waits for the answer. After the order's
    /// `not_after`, nothing is sent.
    fn order(&self, address: SocketAddr, order: &Order) -> OrderAnswer;

    /// Queries the status of the engine at `address`; `None` without a readable answer.
    fn status(&self, address: SocketAddr) -> Option<UpstreamStatus>;
}

/// [`EngineControl`] over HTTP.
#[derive(Debug)]
pub struct HttpEngineControl {
    orders: Client,
    statuses: Client,
}

impl HttpEngineControl {
    /// Creates a client whose orders take at most `order_timeout` and whose status queries take at
    /// most `status_timeout`.
    pub fn new(order_timeout: Duration, status_timeout: Duration) -> Self {
        Self {
            orders: Client::new(order_timeout),
            statuses: Client::new(status_timeout),
        }
    }
}

impl EngineControl for HttpEngineControl {
    fn order(&self, address: SocketAddr, order: &Order) -> OrderAnswer {
        let kind = match order.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        let body = OrderBody {
            kind: kind.into(),
            fence: order.fence,
            model: order.model.clone(),
            base: order.base.clone(),
            size_bytes: order.size_bytes,
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return OrderAnswer::NotSent;
        };
        let url = format!("http://{address}/control/order");
        // This check comes directly before sending: a holder that was suspended for longer than its
        // lease must not send orders.
        if clock::now() >= order.not_after {
            return OrderAnswer::NotSent;
        }
        match self.orders.call("POST", &url, &body) {
            Ok(response) => serde_json::from_slice::<OrderResult>(&response.body)
                .map_or(OrderAnswer::Lost, OrderAnswer::from),
            Err(CallError::NotSent) => OrderAnswer::NotSent,
            Err(CallError::Lost) => OrderAnswer::Lost,
        }
    }

    fn status(&self, address: SocketAddr) -> Option<UpstreamStatus> {
        let url = format!("http://{address}/control/status");
        let response = self.statuses.call("GET", &url, b"").ok()?;
        let body: StatusBody = serde_json::from_slice(&response.body).ok()?;
        Some(body.into())
    }
}
