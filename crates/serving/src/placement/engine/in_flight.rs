//! Orders to an engine whose effect is not known yet.

use crate::placement::PlannedOrder;
use crate::poison::UpstreamStart;
use passway_types::prelude::*;

/// An order whose effect is not known yet.
#[derive(Debug, Clone)]
pub(super) enum InFlightOrder {
    /// Sent, without an answer yet.
    Sent(PlannedOrder),
    /// Taken by the engine; the effect is due at `due_at`.
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

/// Which orders of the previous holder the engine may still carry out. Only orders without an
/// answer are possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InheritedOrders {
    /// No order.
    NoOrder,
    /// One order, for the count of taken orders at which this term found the engine. Impossible
    /// once that count has grown.
    AtCurrentCount,
    /// Orders for any count: the engine has restarted, and its count began again at 0.
    AtAnyCount,
}

/// An order without an answer, which the engine may still carry out until `expires_at`.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedOrder {
    pub(super) order: PlannedOrder,
    pub(super) expires_at: Instant,
}

/// A load that did not complete because its engine terminated.
#[derive(Debug)]
pub(in crate::placement) struct InterruptedLoad {
    pub(in crate::placement) service: ServiceName,
    pub(in crate::placement) model: ModelName,
    pub(in crate::placement) start: UpstreamStart,
}
