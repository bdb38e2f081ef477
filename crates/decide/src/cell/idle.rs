//! Which replicas are idle, and which of them go.

use super::Action;
use super::placing::DecisionContext;
use super::term::{Stage, Term};
use super::upstreams::UpstreamView;
use crate::plan::{Placement, PlacementState};
use crate::retention::{IdleHistory, retention_policy};
use passway_config::Catalog;
use passway_types::prelude::*;

/// Pause between two looks for idle replicas.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether nothing runs on or waits for a ready replica, nor for an adapter on it.
pub(super) fn is_idle(
    term: &Term,
    catalog: &Catalog,
    view: &UpstreamView,
    placement: &Placement,
) -> bool {
    let adapters_present = term.draft.on_upstream(&placement.upstream).any(|p| {
        let model = catalog.models.get(&p.model);
        model.is_some_and(|model| model.base.as_ref() == Some(&placement.model))
    });
    let running = term
        .usage
        .get(&placement.model)
        .is_some_and(super::usage::ModelUsage::is_running)
        || view
            .reported_model(&placement.model)
            .is_some_and(|loaded| loaded.running > 0);
    placement.state == PlacementState::Held
        && term.stage(placement.id) == Stage::Ready
        && !adapters_present
        && !running
        && !term.demands.contains(&placement.model)
}

/// Expected cost of losing an idle replica: its reload, the likelier the more recent its use.
pub(super) fn eviction_cost(
    term: &Term,
    now: Instant,
    view: &UpstreamView,
    placement: &Placement,
) -> f64 {
    let reload = reload_time(term, now, view, placement);
    let idle = now.saturating_duration_since(last_used_at(term, now, placement));
    reload.as_secs_f64() / (1.0 + idle.as_secs_f64())
}

/// Expected time to load a replica again where it stands.
fn reload_time(term: &Term, now: Instant, view: &UpstreamView, placement: &Placement) -> Duration {
    let tier = view.checkpoint_tier(&placement.model);
    term.progress
        .estimator
        .load_time(now, tier, placement.reserved_bytes)
}

fn last_used_at(term: &Term, now: Instant, placement: &Placement) -> Instant {
    let used_at = term
        .usage
        .get(&placement.model)
        .and_then(|usage| usage.last_used_at);
    let ready_at = term.progress.entered_at(placement.id);
    used_at.max(ready_at).unwrap_or(now)
}

/// Unloads what is idle for too long, what its upstream or the catalog no longer keeps.
pub(super) fn unload_unneeded(
    term: &mut Term,
    context: DecisionContext<'_>,
    actions: &mut Vec<Action>,
) {
    let DecisionContext {
        now,
        catalog,
        upstreams,
    } = context;
    if now < term.idle_check_at {
        return;
    }
    term.idle_check_at = now + IDLE_CHECK_INTERVAL;
    let policy = retention_policy(&catalog.keep);
    let none = IdleHistory::default();
    let held: Vec<Placement> = term
        .draft
        .placements()
        .filter(|p| p.state == PlacementState::Held)
        .cloned()
        .collect();
    for placement in held {
        let Some(view) = upstreams.get(&placement.upstream) else {
            continue;
        };
        let reason = if view.is_leaving() {
            "upstream is leaving"
        } else if !catalog.models.contains_key(&placement.model) {
            "not in the configuration"
        } else if is_idle(term, catalog, view, &placement) {
            let reload = reload_time(term, now, view, &placement);
            let history = term
                .usage
                .get(&placement.model)
                .map_or(&none, |usage| &usage.history);
            let keep_until =
                last_used_at(term, now, &placement) + policy.retention_time(history, reload);
            if now < keep_until {
                continue;
            }
            "idle"
        } else {
            continue;
        };
        term.begin_unload(catalog, placement.id, reason, actions);
    }
}
