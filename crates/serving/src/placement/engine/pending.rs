//! Orders to an engine whose effect is not known yet.

use crate::placement::PlannedOrder;
use crate::poison::UpstreamStart;
use passway_types::prelude::*;

/// An order whose effect is not known yet.
#[derive(Debug, Clone)]
pub(super) enum UnderWay {
    /// It was sent and not answered.
    Sent(PlannedOrder),
    /// It was taken and should be done at `due_at`.
    Taken {
        order: PlannedOrder,
        due_at: Instant,
    },
}

impl UnderWay {
    pub(super) fn order(&self) -> &PlannedOrder {
        match self {
            Self::Sent(order) | Self::Taken { order, .. } => order,
        }
    }
}

/// Whether an order of a holder before may be carried out yet: one that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Inherited {
    /// None can.
    Nothing,
    /// One for the count at which this term found the engine, until that moves.
    AtThisCount,
    /// One for any count: the engine has started again, and its count with it.
    AtAnyCount,
}

/// An order without an answer, which the engine may carry out yet.
#[derive(Debug, Clone)]
pub(super) struct Unresolved {
    pub(super) order: PlannedOrder,
    pub(super) until: Instant,
}

/// A model that was coming to an engine.
#[derive(Debug)]
pub(in crate::placement) struct Loading {
    pub(in crate::placement) service: ServiceName,
    pub(in crate::placement) model: ModelName,
    pub(in crate::placement) start: UpstreamStart,
}
