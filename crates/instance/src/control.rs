//! Orders and questions to engines: what their answers say of the engines is heard, as for any other.

use crate::right::Right;
use crate::shared::Shared;
use crate::words::{self, Heard};
use passway_serving::placement::PlannedOrder;
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{EngineOrder, EngineReport, Engines, OrderAnswer, Said};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Takes in what an engine's answer to an instance says of the engine.
fn hear<T>(shared: &Shared, start: &UpstreamStart, said: Said<T>, sent_at: Instant) -> T {
    let heard = Heard {
        start,
        words: &said.words,
        // Only answers to requests are vouched for.
        vouched: false,
        sent_at,
    };
    words::hear(shared, heard);
    said.answer
}

/// Whether an engine wants nothing from this instance.
pub fn rests(shared: &Shared, engine: &str) -> bool {
    let upstreams = shared.upstreams();
    upstreams.closed_until(engine, clock::now()).is_some()
}

/// Asks an engine for its state; `None` without an answer.
pub fn report(
    shared: &Shared,
    engines: &dyn Engines,
    start: &UpstreamStart,
    address: SocketAddr,
) -> Option<EngineReport> {
    let sent_at = clock::now();
    let said = engines.report(&start.upstream, address);
    hear(shared, start, said, sent_at)
}

/// Gives an order, if the term in which it was decided still runs.
pub fn give(
    shared: &Shared,
    engines: &dyn Engines,
    right: &Right,
    fence: Fence,
    order: &PlannedOrder,
) -> OrderAnswer {
    let given = EngineOrder {
        action: order.action,
        wish: order.model_ref.clone(),
        expected_orders: order.expected_orders,
        upstream: order.engine.clone(),
        holder: shared.settings.instance.clone(),
        fence,
    };
    let start = UpstreamStart {
        upstream: order.engine.clone(),
        started_at_ms: order.started_at_ms,
    };
    let sent_at = clock::now();
    // The last thing before it leaves: a holder that was paused must not send, and an engine may have asked
    // for rest since.
    if right.fence() != Some(fence) || rests(shared, &order.engine) {
        return OrderAnswer::NotSent;
    }
    let said = engines.order(order.address, &given);
    hear(shared, &start, said, sent_at)
}
