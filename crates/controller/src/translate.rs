//! Between wire messages and the types of the decisions.

use passway_decide::messages::{Demand, DemandVerdict, RouteChange, Usage};
use passway_types::prelude::*;
use passway_wire::message;

/// A demand as the decisions take it; the deadline counts from its receipt.
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

/// A report of use as the decisions take it.
pub(crate) fn usage(now: Instant, router: Incarnation, from: message::Usage) -> Usage {
    Usage {
        router,
        model: from.model.into(),
        running: from.running,
        last_used_at: now,
    }
}

/// A verdict as it travels.
pub(crate) fn verdict(now: Instant, model: &str, from: DemandVerdict) -> message::Verdict {
    let in_ms = |at: Instant| {
        u64::try_from(at.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
    };
    let mut verdict = message::Verdict {
        model: model.to_owned(),
        ..Default::default()
    };
    match from {
        DemandVerdict::ReadyAt(at) => verdict.ready_in_ms = in_ms(at),
        DemandVerdict::Refused { code, retry_at } => {
            verdict.refused_code = code as u32;
            verdict.retry_in_ms = in_ms(retry_at);
        }
    }
    verdict
}

/// A change of routes as it travels.
pub(crate) fn routes(cell: &str, epoch: Epoch, from: &RouteChange) -> message::Routes {
    let all = |routes: &[(ModelName, UpstreamId)]| {
        let route = |(model, upstream): &(ModelName, UpstreamId)| message::Route {
            model: model.to_string(),
            upstream: upstream.to_string(),
        };
        routes.iter().map(route).collect()
    };
    message::Routes {
        cell: cell.to_owned(),
        epoch,
        whole: from.is_snapshot,
        added: all(&from.added),
        removed: all(&from.removed),
    }
}
