//! Orders to an engine whose effect is not known yet.

use crate::placement::PlannedOrder;
use crate::poison::UpstreamStart;
use passway_types::prelude::*;

/// An order whose effect is not known yet.
#[derive(Debug, Clone)]
pub(super) enum InFlightOrder {
    /// It was sent and not answered.
    Sent(PlannedOrder),
    /// It was taken and should be done at `due_at`.
    Taken {
        order: PlannedOrder,
        due_at: Instant,
    },
}

impl InFlightOrder {
    pub(super) fn order(&self) -> &PlannedOrder {
        match self {
            Self::Sent(order) | Self::Taken { order, .. } => order,
        }
    }
}

/// Whether an order of a holder before may be carried out yet: one that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InheritedOrders {
    /// None can.
    NoOrder,
    /// One for the count at which this term found the engine, until that moves.
    AtCurrentCount,
    /// One for any count: the engine has started again, and its count with it.
    AtAnyCount,
}

/// An order without an answer, which the engine may carry out yet.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedOrder {
    pub(super) order: PlannedOrder,
    pub(super) expires_at: Instant,
}

/// A model that was coming to an engine.
#[derive(Debug)]
pub(in crate::placement) struct InterruptedLoad {
    pub(in crate::placement) service: ServiceName,
    pub(in crate::placement) model: ModelName,
    pub(in crate::placement) start: UpstreamStart,
}
