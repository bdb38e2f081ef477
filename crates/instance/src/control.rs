//! Orders and queries to engines. The signals in their answers are applied like those in any other
//! answer.

use crate::leadership::LeadershipDriver;
use crate::shared::Shared;
use crate::signals::{self, ReceivedSignals};
use passway_serving::placement::PlannedOrder;
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{EngineOrder, EngineReport, EngineResponse, Engines, OrderAnswer};
use passway_serving::upstreams::{StartFinding, StartReport};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Applies the signals in an engine's answer and returns the answer itself.
fn apply_signals<T>(
    shared: &Shared,
    start: &UpstreamStart,
    response: EngineResponse<T>,
    sent_at: Instant,
) -> T {
    let received = ReceivedSignals {
        start,
        signals: &response.signals,
        // Engines vouch only for answers to callers' requests.
        is_authenticated: false,
        sent_at,
    };
    signals::apply(shared, received);
    response.answer
}

/// Whether an engine has asked this instance to back off.
pub fn is_backing_off(shared: &Shared, engine: &str) -> bool {
    let upstreams = shared.upstreams();
    upstreams.backoff_until(engine, clock::now()).is_some()
}

/// Queries an engine's state, and records whether it has restarted since its entry was written; `None`
/// without an answer.
pub fn query_report(
    shared: &Shared,
    engines: &dyn Engines,
    start: &UpstreamStart,
    address: SocketAddr,
) -> Option<EngineReport> {
    let sent_at = clock::now();
    let response = engines.report(&start.upstream, address);
    let report = apply_signals(shared, start, response, sent_at)?;
    let finding = {
        let mut upstreams = shared.upstreams();
        let started = StartReport {
            started_at_ms: report.started_at_ms,
            address,
            asked_at: sent_at,
        };
        upstreams.record_reported_start(&start.upstream, started)
    };
    match finding {
        StartFinding::Unchanged => {}
        StartFinding::ReplacedByUnlisted => {
            log::info!(upstream:% = start.upstream, expected_ms = start.started_at_ms,
                reported_ms = report.started_at_ms; "an engine has restarted, its new entry is not known yet");
        }
        StartFinding::ReplacedByEarlier => {
            log::info!(upstream:% = start.upstream, expected_ms = start.started_at_ms,
                reported_ms = report.started_at_ms; "an engine has restarted, and its clock went back");
            shared.handle_restarts();
            shared.versions.wake();
            shared.notify_upstreams_changed();
        }
    }
    Some(report)
}

/// Sends an order, unless the term in which it was decided is over.
pub fn send_order(
    shared: &Shared,
    engines: &dyn Engines,
    leadership: &LeadershipDriver,
    fence: Fence,
    order: &PlannedOrder,
) -> OrderAnswer {
    let sent_order = EngineOrder {
        action: order.action,
        model_ref: order.model_ref.clone(),
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
    // Checked directly before sending: a holder that was paused must not send orders, and the
    // engine may have asked this instance to back off since the decision.
    if leadership.fence() != Some(fence) || is_backing_off(shared, &order.engine) {
        return OrderAnswer::NotSent;
    }
    let response = engines.order(order.address, &sent_order);
    apply_signals(shared, &start, response, sent_at)
}
