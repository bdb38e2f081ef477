//! Orders to upstreams, and the release of memory.

use super::term::{Stage, Term};
use super::upstreams::{OrderInFlight, UpstreamView, Upstreams};
use super::{Action, Decision};
use crate::messages::{Order, OrderKind, fencing_number};
use crate::plan::{Placement, PlacementState};
use passway_config::Catalog;
use passway_config::document::Fencing;
use passway_types::prelude::*;

/// The holder must have led for this long before a missing status answer of a removed upstream
/// counts.
const REMOVED_UPSTREAM_GRACE: Duration = Duration::from_secs(2);
/// Time for routers to receive the withdrawal of a route.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Frees leaving placements whose model is known to stay absent.
///
/// An upstream that keeps its fencing number across restarts rejects every order older than the
/// unload order it answered. Any other upstream must have answered "absent" to an order that was
/// sent after all older orders had settled, including those of previous holders. This includes
/// upstreams that forget the fencing number at a restart: a holder that was paused before sending
/// an order may resume after the restart.
pub(super) fn free_absent(term: &mut Term, upstreams: &Upstreams, actions: &mut Vec<Action>) {
    let leaving: Vec<(PlacementId, UpstreamId)> = term
        .draft
        .placements()
        .filter(|p| p.state == PlacementState::Leaving)
        .map(|p| (p.id, p.upstream.clone()))
        .collect();
    for (id, upstream) in leaving {
        let Some(view) = upstreams.get(&upstream) else {
            continue;
        };
        let Stage::Absent { ordered_at } = term.stage(id) else {
            continue;
        };
        let is_fenced = view.entry.fencing == Fencing::Keeps;
        if !is_fenced && !older_orders_settled(term, view, id, ordered_at) {
            continue;
        }
        if term.draft.free(id, is_fenced).is_ok() {
            term.forget_placement(id);
            actions.push(Action::Audit(Decision::Freed { placement: id }));
        }
    }
}

/// Frees the placements on upstreams that are removed for good.
///
/// Another machine may start under the same id and address, and an older order must not reach that
/// machine either. So the rules for upstreams without fencing apply, with an unanswered poll in
/// place of the answer "absent".
pub(super) fn free_removed_upstreams(
    term: &mut Term,
    upstreams: &Upstreams,
    actions: &mut Vec<Action>,
) {
    let since = term.started_at + REMOVED_UPSTREAM_GRACE;
    for view in upstreams
        .iter()
        .filter(|view| view.is_removed(since) && view.order.is_none())
    {
        let Some(unanswered_poll_at) = view.unanswered_poll_at else {
            continue;
        };
        let removed: Vec<PlacementId> = term
            .draft
            .on_upstream(&view.entry.id)
            .map(|placement| placement.id)
            .collect();
        for id in removed {
            if older_orders_settled(term, view, id, unanswered_poll_at)
                && term.draft.free(id, false).is_ok()
            {
                term.forget_placement(id);
                actions.push(Action::Audit(Decision::Freed { placement: id }));
            }
        }
    }
}

/// Whether every order sent before `ordered_at` had settled by then, so that none can arrive later.
fn older_orders_settled(
    term: &Term,
    view: &UpstreamView,
    id: PlacementId,
    ordered_at: Instant,
) -> bool {
    let previous_holders_cleared = term
        .previous_holders
        .last_cleared_at()
        .is_none_or(|last_cleared_at| ordered_at >= last_cleared_at);
    view.is_settled(ordered_at)
        && previous_holders_cleared
        && !term.draft.previous_holder_may_order(id)
}

/// Hands at most one order to the sender of each upstream that can accept one.
pub(super) fn send_orders(
    term: &mut Term,
    now: Instant,
    catalog: &Catalog,
    upstreams: &mut Upstreams,
    actions: &mut Vec<Action>,
) {
    send_unloads(term, now, catalog, upstreams, actions);
    let max_loads = catalog.weight_store.max_loads as usize;
    let mut load_count = term.loads_in_flight(upstreams);
    for placement in pending_loads(term, catalog) {
        if load_count >= max_loads {
            return;
        }
        let can_send = upstreams
            .get(&placement.upstream)
            .is_some_and(|view| view.accepts_order(now));
        if can_send {
            send_order(
                term,
                now,
                catalog,
                &placement,
                OrderKind::Load,
                upstreams,
                actions,
            );
            load_count += 1;
        }
    }
}

fn send_unloads(
    term: &mut Term,
    now: Instant,
    catalog: &Catalog,
    upstreams: &mut Upstreams,
    actions: &mut Vec<Action>,
) {
    let leaving: Vec<Placement> = term
        .plan()
        .placements()
        .filter(|p| p.state == PlacementState::Leaving)
        .cloned()
        .collect();
    for placement in leaving {
        let Some(view) = upstreams.get(&placement.upstream) else {
            continue;
        };
        if view.accepts_order(now) && needs_unload(term, now, view, &placement) {
            send_order(
                term,
                now,
                catalog,
                &placement,
                OrderKind::Unload,
                upstreams,
                actions,
            );
        }
    }
}

fn needs_unload(term: &Term, now: Instant, view: &UpstreamView, placement: &Placement) -> bool {
    match term.stage(placement.id) {
        // The model is absent, but an older order may have arrived since. Unload again once all
        // older orders have settled.
        Stage::Absent { ordered_at } => {
            view.entry.fencing != Fencing::Keeps
                && term.draft.placement(placement.id).is_some()
                && !older_orders_settled(term, view, placement.id, ordered_at)
                && older_orders_settled(term, view, placement.id, now)
        }
        Stage::Ready => is_drained(term, now, view, placement),
        Stage::Unknown | Stage::Loading => true,
    }
}

/// Whether routers have stopped sending requests to the replica and none is running.
fn is_drained(term: &Term, now: Instant, view: &UpstreamView, placement: &Placement) -> bool {
    let Some(routes_withdrawn_at) = term.progress.routes_withdrawn_at(placement.id) else {
        return true;
    };
    let drained_from = routes_withdrawn_at + DRAIN_GRACE;
    let has_report_since = view
        .status
        .as_ref()
        .is_some_and(|(polled_at, _)| *polled_at >= drained_from);
    let running = view
        .reported_model(&placement.model)
        .map_or(0, |loaded| loaded.running);
    now >= drained_from && has_report_since && running == 0
}

/// Returns the held placements that need a load order, most urgent first.
fn pending_loads(term: &Term, catalog: &Catalog) -> Vec<Placement> {
    let is_base_ready = |placement: &Placement| {
        let base = catalog
            .models
            .get(&placement.model)
            .and_then(|model| model.base.as_ref());
        base.is_none_or(|base| {
            let base_placement = term.plan().find(base, &placement.upstream);
            base_placement.is_some_and(|p| term.stage(p.id) == Stage::Ready)
        })
    };
    let mut pending: Vec<Placement> = term
        .plan()
        .placements()
        .filter(|p| p.state == PlacementState::Held && term.stage(p.id) == Stage::Unknown)
        .filter(|p| {
            term.draft
                .placement(p.id)
                .is_some_and(|d| d.state == PlacementState::Held)
        })
        .filter(|p| is_base_ready(p))
        .cloned()
        .collect();
    pending.sort_by_key(|p| load_urgency(term, catalog, p));
    pending
}

/// Sort key for loads: demanded models first, by priority and deadline, then all others.
pub(super) fn load_urgency(
    term: &Term,
    catalog: &Catalog,
    placement: &Placement,
) -> (bool, u32, Option<Instant>, PlacementId) {
    let own_demand = term.demands.get(&placement.model);
    // A base is as urgent as the adapter that needs it.
    let adapter_demand = term.plan().on_upstream(&placement.upstream).find_map(|p| {
        let model = catalog.models.get(&p.model)?;
        let is_adapter_of = model.base.as_ref() == Some(&placement.model);
        if is_adapter_of {
            term.demands.get(&p.model)
        } else {
            None
        }
    });
    let demand = own_demand.or(adapter_demand);
    let priority = demand.as_ref().map_or(u32::MAX, |d| d.priority);
    let deadline_at = demand.as_ref().map(|d| d.earliest_deadline_at);
    (demand.is_none(), priority, deadline_at, placement.id)
}

/// Hands one order to the sender.
fn send_order(
    term: &mut Term,
    now: Instant,
    catalog: &Catalog,
    placement: &Placement,
    kind: OrderKind,
    upstreams: &mut Upstreams,
    actions: &mut Vec<Action>,
) {
    let Some(view) = upstreams.get_mut(&placement.upstream) else {
        return;
    };
    term.order_count += 1;
    let order = Order {
        kind,
        fence: fencing_number(term.epoch(), term.order_count),
        placement: placement.id,
        model: placement.model.clone(),
        base: catalog
            .models
            .get(&placement.model)
            .and_then(|model| model.base.clone()),
        size_bytes: placement.reserved_bytes,
        upstream: placement.upstream.clone(),
        not_after: term.orders_not_after(),
    };
    view.order = Some(OrderInFlight {
        order: order.clone(),
        handed_at: now,
    });
    actions.push(Action::SendOrder(order));
}
