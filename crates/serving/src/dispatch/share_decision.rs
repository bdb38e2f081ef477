//! What the shares of workspaces meant for a request, for logs and metrics.

use super::QueuePosition;
use passway_types::prelude::*;

/// What the shares of workspaces meant for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareDecision {
    /// The request got a slot, as it would have without shares.
    InTurn,
    /// The request got a slot that it would not have got without shares.
    Ahead,
    /// The request waits although it would have got a slot without shares.
    PassedOver,
}

/// The slots of an engine that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsableSlots {
    /// With the shares of workspaces.
    pub with_shares: usize,
    /// If workspaces had no shares.
    pub without_shares: usize,
}

impl ShareDecision {
    /// All decisions.
    pub const ALL: [Self; 3] = [Self::InTurn, Self::Ahead, Self::PassedOver];

    /// The decision on a request with this position; `None` if it waits with and without shares.
    pub fn of(position: &QueuePosition, slots: UsableSlots) -> Option<Self> {
        let is_granted = position.ahead < slots.with_shares;
        let would_be_granted = position.ahead_without_shares < slots.without_shares;
        match (is_granted, would_be_granted) {
            (true, true) => Some(Self::InTurn),
            (true, false) => Some(Self::Ahead),
            (false, true) => Some(Self::PassedOver),
            (false, false) => None,
        }
    }

    /// The decision's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTurn => "in turn",
            Self::Ahead => "ahead",
            Self::PassedOver => "passed over",
        }
    }
}

/// A decision by shares and its inputs.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareInputs {
    /// The workspace of the request.
    pub workspace: WorkspaceName,
    /// The decision.
    pub decision: ShareDecision,
    /// The position of the request.
    pub position: QueuePosition,
    /// Free slots of the engine.
    pub free_slots: usize,
    /// Tokens that the workspace has used lately, before the decision.
    pub tokens_used: f64,
    /// The weight of the workspace.
    pub weight: f64,
    /// The age of the oldest report of another dispatcher that counts; `None` without reports.
    pub oldest_report_age: Option<Duration>,
}
