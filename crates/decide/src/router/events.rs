//! Inputs and outputs of a router's decisions.

use crate::messages::{Demand, Usage};
use passway_types::prelude::*;

/// A request that has arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's number, unique within the router.
    pub request: RequestId,
    /// The model, adapter or alias that the caller names.
    pub model: String,
    /// The caller's workspace.
    pub workspace: String,
    /// The request kind given by the caller, or empty.
    pub kind: String,
    /// The priority that the caller requests within its workspace.
    pub priority: Option<u32>,
    /// The caller's deadline; `None` means the workspace's default.
    pub deadline_at: Option<Instant>,
}

/// The outcome of an attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was forwarded to the caller.
    Served {
        /// Tokens in the answer.
        tokens: u32,
    },
    /// The connection was refused; nothing reached the upstream.
    Unreachable,
    /// The upstream does not have the model; nothing ran.
    NotLoaded,
    /// The upstream has no free slot; nothing ran.
    Busy,
    /// The upstream failed after it may have run the request. The request may be retried elsewhere.
    Failed,
    /// The caller disconnected or the deadline passed.
    Abandoned,
}

/// An action for the router program to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Send the request to an upstream.
    Start {
        /// The request's number.
        request: RequestId,
        /// The upstream to send to.
        upstream: UpstreamId,
        /// The resolved model.
        model: ModelName,
        /// The request's deadline.
        deadline_at: Instant,
        /// The priority that the policy assigns.
        priority: u32,
    },
    /// Send the caller a final refusal.
    Refuse {
        /// The request's number.
        request: RequestId,
        /// The refusal to send.
        refusal: Refusal,
    },
    /// Send a demand to the controller of the model's cell.
    Demand(Demand),
    /// Send a usage report to the controller of the model's cell.
    Usage(Usage),
}
