//! Detection of idle replicas and the decision to unload them.

use super::Action;
use super::placing::DecisionContext;
use super::term::{Stage, Term};
use super::upstreams::UpstreamView;
use crate::plan::{Placement, PlacementState};
use crate::retention::{IdleHistory, retention_policy};
use passway_config::Catalog;
use passway_types::prelude::*;

/// Interval between checks for idle replicas.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a replica is ready, nothing runs on it, no request waits for its model, and no adapter
/// is placed on it.
pub(super) fn is_idle(
    term: &Term,
    catalog: &Catalog,
    view: &UpstreamView,
    placement: &Placement,
) -> bool {
    let has_adapters = term.draft.on_upstream(&placement.upstream).any(|p| {
        let model = catalog.models.get(&p.model);
        model.is_some_and(|model| model.base.as_ref() == Some(&placement.model))
    });
    let is_running = term
        .usage
        .get(&placement.model)
        .is_some_and(super::usage::ModelUsage::is_running)
        || view
            .reported_model(&placement.model)
            .is_some_and(|loaded| loaded.running > 0);
    placement.state == PlacementState::Held
        && term.stage(placement.id) == Stage::Ready
        && !has_adapters
        && !is_running
        && !term.demands.contains(&placement.model)
}

/// Returns the expected cost of evicting an idle replica: its reload time, divided by a term that
/// grows with its idle time because a recently used model is more likely to be used again.
pub(super) fn eviction_cost(
    term: &Term,
    now: Instant,
    view: &UpstreamView,
    placement: &Placement,
) -> f64 {
    let reload = reload_time(term, now, view, placement);
    let idle_time = now.saturating_duration_since(last_used_at(term, now, placement));
    reload.as_secs_f64() / (1.0 + idle_time.as_secs_f64())
}

/// Returns the expected time to reload a replica on its upstream.
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

/// Unloads replicas that are idle for too long, are on a leaving upstream, or are no longer in the
/// catalog.
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
    let no_history = IdleHistory::default();
    let held_placements: Vec<Placement> = term
        .draft
        .placements()
        .filter(|p| p.state == PlacementState::Held)
        .cloned()
        .collect();
    for placement in held_placements {
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
                .map_or(&no_history, |usage| &usage.history);
            let retained_until =
                last_used_at(term, now, &placement) + policy.retention_time(history, reload);
            if now < retained_until {
                continue;
            }
            "idle"
        } else {
            continue;
        };
        term.begin_unload(catalog, placement.id, reason, actions);
    }
}
