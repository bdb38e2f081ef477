//! Giving an order.

use crate::right::Right;
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineOrder, Engines, OrderAnswer};
use passway_types::prelude::*;

/// The answer's label in metrics.
pub(super) fn name_of(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Taken => "taken",
        OrderAnswer::Done => "done",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Refused => "refused",
        OrderAnswer::OtherIncarnation => "other incarnation",
        OrderAnswer::NotSent => "not sent",
        OrderAnswer::Lost => "lost",
    }
}

/// Gives an order, if the term in which it was decided still runs.
pub(super) fn give(
    engines: &dyn Engines,
    right: &Right,
    fence: Fence,
    holder: InstanceId,
    order: &PlannedOrder,
) -> OrderAnswer {
    let given = EngineOrder {
        action: order.action,
        wish: order.wish.clone(),
        expected_orders: order.expected_orders,
        upstream: order.engine.clone(),
        holder,
        fence,
    };
    // The last thing before it leaves: a holder that was paused must not send.
    if right.fence() != Some(fence) {
        return OrderAnswer::NotSent;
    }
    engines.order(order.address, &given)
}
