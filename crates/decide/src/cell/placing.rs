//! Placement of models, eviction of idle replicas and estimates of when a model is ready.

use super::demand::ModelDemand;
use super::idle::{eviction_cost, is_idle};
use super::orders::load_urgency;
use super::term::{Stage, Term};
use super::upstreams::{UpstreamView, Upstreams};
use super::{Action, Decision};
use crate::plan::{DesiredPlacement, Placement, PlacementState, PlanError, Reason};
use passway_config::Catalog;
use passway_config::catalog::Model;
use passway_config::policy::Attributes;
use passway_types::prelude::*;

/// The inputs of every decision, besides the term.
#[derive(Clone, Copy)]
pub(super) struct DecisionContext<'a> {
    /// The current time.
    pub(super) now: Instant,
    /// The configuration in use.
    pub(super) catalog: &'a Catalog,
    /// The known state of the upstreams.
    pub(super) upstreams: &'a Upstreams,
}

/// Expected time to drain and unload an evicted replica.
const EVICTION_TIME: Duration = Duration::from_millis(1_500);
/// Minimum retry-after hint when no upstream has free memory.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Minimum expected time until a model serves.
const MIN_READY_DELAY: Duration = Duration::from_millis(50);

/// Places every demanded model that has no replica or too few.
pub(super) fn place_demands(
    term: &mut Term,
    context: DecisionContext<'_>,
    actions: &mut Vec<Action>,
) {
    let DecisionContext { catalog, .. } = context;
    term.unplaceable.clear();
    for demand in term.demands.by_urgency() {
        let Some(model) = catalog.models.get(&demand.model) else {
            term.unplaceable
                .insert(demand.model.clone(), ResultCode::UnknownModel);
            continue;
        };
        let held_replicas = held_count(term, &demand.model);
        let is_first = held_replicas == 0;
        if !is_first && !needs_more_replicas(term, catalog, &demand, held_replicas) {
            continue;
        }
        if term.draft.replicas(&demand.model).count() >= model.max_replicas as usize {
            continue;
        }
        if let Some(code) = place(term, context, model, &demand, is_first, actions)
            && is_first
        {
            term.unplaceable.insert(demand.model.clone(), code);
        }
    }
}

fn held_count(term: &Term, model: &str) -> usize {
    term.draft
        .replicas(model)
        .filter(|p| p.state == PlacementState::Held)
        .count()
}

/// Whether more requests wait than the model's replicas can run at once.
fn needs_more_replicas(
    term: &Term,
    catalog: &Catalog,
    demand: &ModelDemand,
    held_replicas: usize,
) -> bool {
    let slots: u32 = term
        .draft
        .replicas(&demand.model)
        .filter_map(|p| catalog.upstreams.get(&p.upstream))
        .map(|upstream| upstream.slots)
        .sum();
    held_replicas > 0 && demand.waiting > slots
}

/// Places one replica or begins an eviction for it. Returns the reason if neither is possible.
fn place(
    term: &mut Term,
    context: DecisionContext<'_>,
    model: &Model,
    demand: &ModelDemand,
    can_evict: bool,
    actions: &mut Vec<Action>,
) -> Option<ResultCode> {
    let DecisionContext {
        now,
        catalog,
        upstreams,
    } = context;
    let mut views: Vec<&UpstreamView> = upstreams
        .iter()
        .filter(|view| view.accepts_placements())
        .collect();
    views.sort_by_key(|view| placement_cost(term, now, view, model));
    let mut code = ResultCode::NoCapacity;
    for view in &views {
        match reserve(term, catalog, view, model, demand, actions) {
            Ok(()) => {
                term.evictions.remove(&model.name);
                return None;
            }
            Err(PlanError::WorkspaceAtCap) => code = ResultCode::WorkspaceAtCap,
            Err(_) => {}
        }
    }
    if code == ResultCode::WorkspaceAtCap || !can_evict {
        return Some(code);
    }
    if is_eviction_in_progress(term, &model.name) {
        return None;
    }
    let is_evicting = evict_replicas(term, context, &views, model, actions);
    if is_evicting { None } else { Some(code) }
}

/// Sort key for upstreams: those that have the base first, then by load time, then by reserved
/// memory.
fn placement_cost(
    term: &Term,
    now: Instant,
    view: &UpstreamView,
    model: &Model,
) -> (bool, Duration, u64, UpstreamId) {
    let is_base_absent = model
        .base
        .as_ref()
        .is_some_and(|base| term.draft.find(base, &view.entry.id).is_none());
    let load_time =
        term.progress
            .estimator
            .load_time(now, view.checkpoint_tier(&model.name), model.size_bytes);
    let reserved_bytes = term.draft.reserved_bytes(&view.entry.id);
    (
        is_base_absent,
        load_time,
        reserved_bytes,
        view.entry.id.clone(),
    )
}

/// Reserves memory for the model, and for its base if the upstream lacks it.
fn reserve(
    term: &mut Term,
    catalog: &Catalog,
    view: &UpstreamView,
    model: &Model,
    demand: &ModelDemand,
    actions: &mut Vec<Action>,
) -> Result<(), PlanError> {
    let upstream = &view.entry.id;
    let mut draft = term.draft.clone();
    let mut reserved = Vec::new();
    if let Some(base) = &model.base
        && draft.find(base, upstream).is_none()
    {
        let reason = Reason::BaseOf(model.name.clone());
        reserved.push(draft.reserve(
            catalog,
            &desired_placement(catalog, base, upstream, demand, reason),
        )?);
    }
    let reason = Reason::Demand(demand.workspace.clone());
    reserved.push(draft.reserve(
        catalog,
        &desired_placement(catalog, &model.name, upstream, demand, reason),
    )?);
    term.draft = draft;
    for placement in reserved
        .into_iter()
        .filter_map(|id| term.draft.placement(id))
    {
        actions.push(Action::Audit(Decision::Placed {
            placement: placement.id,
            model: placement.model.clone(),
            upstream: placement.upstream.clone(),
            reason: format!("{:?}, {} waiting", placement.reason, demand.waiting),
        }));
    }
    Ok(())
}

fn desired_placement(
    catalog: &Catalog,
    model: &ModelName,
    upstream: &UpstreamId,
    demand: &ModelDemand,
    reason: Reason,
) -> DesiredPlacement {
    let attributes = Attributes {
        workspace: &demand.workspace,
        model,
        kind: "",
        priority: demand.priority,
    };
    DesiredPlacement {
        model: model.clone(),
        upstream: upstream.clone(),
        workspace: demand.workspace.clone(),
        reason,
        max_held_bytes: catalog.policy.rule(&attributes).max_held_bytes,
    }
}

fn is_eviction_in_progress(term: &mut Term, model: &ModelName) -> bool {
    let Some(upstream) = term.evictions.get(model) else {
        return false;
    };
    let is_in_progress = term
        .draft
        .on_upstream(upstream)
        .any(|p| p.state == PlacementState::Leaving);
    if !is_in_progress {
        term.evictions.remove(model);
    }
    is_in_progress
}

/// Evicts idle replicas on the upstream where this costs least.
fn evict_replicas(
    term: &mut Term,
    context: DecisionContext<'_>,
    views: &[&UpstreamView],
    model: &Model,
    actions: &mut Vec<Action>,
) -> bool {
    let options = views
        .iter()
        .filter_map(|view| plan_eviction(term, context, view, model));
    let best = options.min_by(|a, b| a.cost.total_cmp(&b.cost));
    let Some(best) = best else { return false };
    for id in best.placements {
        term.begin_unload(context.catalog, id, "makes room", actions);
    }
    term.evictions.insert(model.name.clone(), best.upstream);
    true
}

/// Replicas to evict from one upstream, and the expected cost.
struct Eviction {
    upstream: UpstreamId,
    placements: Vec<PlacementId>,
    cost: f64,
}

fn plan_eviction(
    term: &Term,
    context: DecisionContext<'_>,
    view: &UpstreamView,
    model: &Model,
) -> Option<Eviction> {
    let DecisionContext { now, catalog, .. } = context;
    let upstream = &view.entry.id;
    let base = model
        .base
        .as_ref()
        .filter(|base| term.draft.find(base, upstream).is_none());
    let base_bytes = base
        .and_then(|base| catalog.models.get(base))
        .map_or(0, |m| m.size_bytes);
    let needed_bytes = model.size_bytes + base_bytes;
    let free_bytes = view
        .entry
        .memory_bytes
        .saturating_sub(term.draft.reserved_bytes(upstream));
    let mut idle: Vec<(f64, &Placement)> = term
        .draft
        .on_upstream(upstream)
        .filter(|p| Some(&p.model) != model.base.as_ref())
        .filter(|p| is_idle(term, catalog, view, p))
        .map(|p| (eviction_cost(term, now, view, p), p))
        .collect();
    idle.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut eviction = Eviction {
        upstream: upstream.clone(),
        placements: Vec::new(),
        cost: 0.0,
    };
    let mut free_bytes_after = free_bytes;
    for (cost, placement) in idle {
        if free_bytes_after >= needed_bytes {
            break;
        }
        free_bytes_after += placement.reserved_bytes;
        eviction.cost += cost;
        eviction.placements.push(placement.id);
    }
    (free_bytes_after >= needed_bytes).then_some(eviction)
}

/// Returns when a demanded model is expected to serve.
pub(super) fn estimate_ready(
    term: &Term,
    context: DecisionContext<'_>,
    demand: &ModelDemand,
) -> Instant {
    let DecisionContext { now, catalog, .. } = context;
    let held_replicas = term
        .draft
        .replicas(&demand.model)
        .filter(|p| p.state == PlacementState::Held);
    let waits =
        held_replicas.map(
            |placement| match term.progress.estimator.remaining(now, placement.id) {
                Some(remaining) => remaining,
                None => queue_wait(term, context, placement),
            },
        );
    let wait = waits.min().unwrap_or_else(|| {
        let model = catalog.models.get(&demand.model);
        let size_bytes = model.map_or(0, |model| model.size_bytes);
        let tier = crate::messages::Tier::Remote;
        EVICTION_TIME + term.progress.estimator.load_time(now, tier, size_bytes)
    });
    now + wait.max(MIN_READY_DELAY)
}

/// Returns the expected time until a placement that still waits for its load order is ready.
fn queue_wait(term: &Term, context: DecisionContext<'_>, placement: &Placement) -> Duration {
    let DecisionContext {
        now,
        catalog,
        upstreams,
    } = context;
    let load_time_of = |p: &Placement| {
        let tier = upstreams
            .get(&p.upstream)
            .map(|view| view.checkpoint_tier(&p.model));
        let tier = tier.unwrap_or(crate::messages::Tier::Remote);
        term.progress
            .estimator
            .load_time(now, tier, p.reserved_bytes)
    };
    let own_urgency = load_urgency(term, catalog, placement);
    let max_loads = catalog.weight_store.max_loads;
    let mut time_ahead = Duration::ZERO;
    for other in term.draft.placements().filter(|p| p.id != placement.id) {
        let is_held = other.state == PlacementState::Held;
        time_ahead += match term.stage(other.id) {
            Stage::Loading => term
                .progress
                .estimator
                .remaining(now, other.id)
                .unwrap_or_default(),
            Stage::Unknown if is_held && load_urgency(term, catalog, other) < own_urgency => {
                load_time_of(other)
            }
            _ => Duration::ZERO,
        };
    }
    time_ahead / max_loads + load_time_of(placement)
}

/// Returns the retry-after time for a refusal: the time until the first load in progress ends,
/// because nothing changes before, and at least [`NO_CAPACITY_RETRY_AFTER`].
pub(super) fn refusal_retry_after(term: &Term, now: Instant) -> Duration {
    let loading = term
        .draft
        .placements()
        .filter_map(|p| term.progress.estimator.remaining(now, p.id));
    loading
        .min()
        .unwrap_or_default()
        .max(NO_CAPACITY_RETRY_AFTER)
}
