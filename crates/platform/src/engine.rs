//! Orders to model engines and their status.

use crate::http::{CallError, Client};
use passway_decide::messages::{
    LoadedModel, LoadedState, Order, OrderAnswer, OrderKind, Tier, UpstreamStatus,
};
use passway_types::clock;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An order as it travels.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderBody {
    /// `load` or `unload`.
    pub kind: String,
    /// The fencing number.
    pub fence: Fence,
    /// The model or adapter.
    pub model: ModelName,
    /// The base of an adapter.
    pub base: Option<ModelName>,
    /// Accelerator memory of the replica.
    pub size_bytes: u64,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The load is in progress.
    Loading,
    /// The model is loaded.
    Loaded,
    /// The unload is in progress.
    Unloading,
    /// The model is not here.
    Absent,
    /// There is no room.
    NoRoom,
    /// Requests still run on the model.
    Busy,
    /// The fencing number is too old.
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

/// One model in a status as it travels.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadedBody {
    /// The model or adapter.
    pub model: ModelName,
    /// `loading`, `ready` or `unloading`.
    pub state: String,
    /// Requests that run on it.
    pub running: u32,
}

/// A checkpoint nearer than the weight store, as it travels.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CachedBody {
    /// The model or adapter.
    pub model: ModelName,
    /// `memory` or `disk`.
    pub tier: String,
}

/// An engine's status as it travels.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// Drawn when the engine started.
    pub boot: Incarnation,
    /// Models on its accelerators.
    pub loaded: Vec<LoadedBody>,
    /// Checkpoints at hand.
    pub cached: Vec<CachedBody>,
    /// Whether the engine is leaving.
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

/// The control side of model engines.
pub trait EngineControl: Send + Sync {
    /// Sends an order and waits for the answer.
    fn order(&self, address: SocketAddr, order: &Order) -> OrderAnswer;

    /// Asks for the status; `None` if there is no answer.
    fn status(&self, address: SocketAddr) -> Option<UpstreamStatus>;
}

/// Engines over HTTP.
#[derive(Debug)]
pub struct HttpEngineControl {
    orders: Client,
    statuses: Client,
}

impl HttpEngineControl {
    /// A client whose orders and questions take at most these times.
    pub fn new(order_timeout: Duration, status_timeout: Duration) -> Self {
        Self {
            orders: Client::new(order_timeout),
            statuses: Client::with_keep_alive(status_timeout),
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
        // The last thing before the order leaves: a holder that was paused for
        // longer than its lease must not send.
        if clock::now() >= order.not_after {
            return OrderAnswer::NotSent;
        }
        match self.orders.call("POST", &url, &body) {
            Ok(answer) => serde_json::from_slice::<OrderResult>(&answer.body)
                .map_or(OrderAnswer::Lost, OrderAnswer::from),
            Err(CallError::NotSent) => OrderAnswer::NotSent,
            Err(CallError::Lost) => OrderAnswer::Lost,
        }
    }

    fn status(&self, address: SocketAddr) -> Option<UpstreamStatus> {
        let url = format!("http://{address}/control/status");
        let answer = self.statuses.call("GET", &url, b"").ok()?;
        let body: StatusBody = serde_json::from_slice(&answer.body).ok()?;
        Some(body.into())
    }
}
