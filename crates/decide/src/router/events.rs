//! What a router's decisions are sent, and what they ask for.

use crate::messages::{Demand, Usage};
use passway_types::prelude::*;

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its number.
    pub request: RequestId,
    /// The model, adapter or alias that the caller names.
    pub model: String,
    /// The caller's workspace.
    pub workspace: String,
    /// The kind that the caller names, or empty.
    pub kind: String,
    /// The priority that the caller asks for within its workspace.
    pub priority: Option<u32>,
    /// The caller's deadline; `None` takes the workspace's default.
    pub deadline_at: Option<Instant>,
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on.
    Served {
        /// Tokens in the answer.
        tokens: u32,
    },
    /// The connection was refused: nothing reached the upstream.
    Unreachable,
    /// The upstream does not hold the model: nothing ran.
    NotLoaded,
    /// The upstream has no slot free: nothing ran.
    Busy,
    /// The upstream failed; the request may go on elsewhere.
    Failed,
    /// The caller went away, or the deadline passed.
    Abandoned,
}

/// Something for the router's program to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Send the request to an upstream.
    Start {
        /// Which request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// The resolved model.
        model: ModelName,
        /// The request's deadline.
        deadline_at: Instant,
        /// The priority that policy gives it.
        priority: u32,
    },
    /// Answer the request for good.
    Refuse {
        /// Which request.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
    /// Tell the cell's controller.
    Demand(Demand),
    /// Tell the cell's controller.
    Usage(Usage),
}
