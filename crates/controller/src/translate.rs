//! Conversion between wire messages and the types of the decision logic.

use passway_decide::messages::{Demand, DemandVerdict, RouteChange, Usage};
use passway_types::prelude::*;
use passway_wire::message;

/// Converts a demand from the wire. The relative deadline counts from `now`, the time of
/// receipt.
pub(crate) fn demand(now: Instant, router: Incarnation, from: message::Demand) -> Demand {
    Demand {
        router,
        model: from.model.into(),
        workspace: from.workspace.into(),
        waiting: from.waiting,
        earliest_deadline_at: now + Duration::from_millis(from.deadline_in_ms),
        priority: from.priority,
    }
}

/// Converts a usage report from the wire; the model counts as last used at `now`.
pub(crate) fn usage(now: Instant, router: Incarnation, from: message::Usage) -> Usage {
    Usage {
        router,
        model: from.model.into(),
        running: from.running,
        last_used_at: now,
    }
}

/// Converts the answer to a demand to a wire message with times relative to `now`.
pub(crate) fn verdict(now: Instant, model: &str, from: DemandVerdict) -> message::DemandAnswer {
    let until_ms = |at: Instant| {
        u64::try_from(at.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
    };
    let mut verdict = message::DemandAnswer {
        model: model.to_owned(),
        ..Default::default()
    };
    match from {
        DemandVerdict::ReadyAt(at) => verdict.ready_in_ms = until_ms(at),
        DemandVerdict::Refused { code, retry_at } => {
            verdict.refused_code = code as u32;
            verdict.retry_in_ms = until_ms(retry_at);
        }
    }
    verdict
}

/// Converts a change of routes to a wire message.
pub(crate) fn routes(cell: &str, epoch: Epoch, from: &RouteChange) -> message::Routes {
    let to_wire_routes = |routes: &[(ModelName, UpstreamId)]| {
        let to_wire_route = |(model, upstream): &(ModelName, UpstreamId)| message::Route {
            model: model.to_string(),
            upstream: upstream.to_string(),
        };
        routes.iter().map(to_wire_route).collect()
    };
    message::Routes {
        cell: cell.to_owned(),
        epoch,
        is_complete: from.is_snapshot,
        added: to_wire_routes(&from.added),
        removed: to_wire_routes(&from.removed),
    }
}
