//! Demands of routers for models, coalesced per model.

use crate::messages::{Demand, DemandVerdict};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A change of the expected time below this is not sent_verdict again.
const MIN_READY_CHANGE: Duration = Duration::from_millis(500);

/// What one router asked and was sent_verdict.
#[derive(Debug)]
struct Entry {
    demand: Demand,
    sent_verdict: Option<DemandVerdict>,
}

/// All demands for one model as one.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    /// The model or adapter.
    pub model: ModelName,
    /// Requests that wait at all routers.
    pub waiting: u32,
    /// The earliest deadline among them.
    pub earliest_deadline_at: Instant,
    /// The best priority among them.
    pub priority: u32,
    /// The workspace of the request with the earliest deadline.
    pub workspace: WorkspaceName,
}

/// The demands of all routers.
#[derive(Debug, Default)]
pub struct DemandTable {
    entries: HashMap<ModelName, BTreeMap<Incarnation, Entry>>,
}

impl DemandTable {
    /// Records a demand; one with nothing waiting is taken back.
    pub fn set(&mut self, demand: Demand) {
        let by_router = self.entries.entry(demand.model.clone()).or_default();
        if demand.waiting == 0 {
            by_router.remove(&demand.router);
        } else {
            // A repeated demand is answered again: the router may have missed the answer.
            by_router.insert(
                demand.router,
                Entry {
                    demand,
                    sent_verdict: None,
                },
            );
        }
        self.entries.retain(|_, by_router| !by_router.is_empty());
    }

    /// Forgets a router.
    pub fn remove_router(&mut self, router: Incarnation) {
        for by_router in self.entries.values_mut() {
            by_router.remove(&router);
        }
        self.entries.retain(|_, by_router| !by_router.is_empty());
    }

    /// Forgets demands whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        for by_router in self.entries.values_mut() {
            by_router.retain(|_, entry| entry.demand.earliest_deadline_at > now);
        }
        self.entries.retain(|_, by_router| !by_router.is_empty());
    }

    /// Whether any request waits for the model.
    pub fn contains(&self, model: &str) -> bool {
        self.entries.contains_key(model)
    }

    /// The coalesced demand for one model.
    pub fn get(&self, model: &str) -> Option<ModelDemand> {
        let by_router = self.entries.get(model)?;
        let first = by_router
            .values()
            .min_by_key(|entry| entry.demand.earliest_deadline_at)?;
        Some(ModelDemand {
            model: first.demand.model.clone(),
            waiting: by_router.values().map(|entry| entry.demand.waiting).sum(),
            earliest_deadline_at: first.demand.earliest_deadline_at,
            priority: by_router
                .values()
                .map(|entry| entry.demand.priority)
                .min()?,
            workspace: first.demand.workspace.clone(),
        })
    }

    /// All coalesced demands, max_loads urgency first: by priority, then deadline.
    pub fn by_urgency(&self) -> Vec<ModelDemand> {
        let mut all: Vec<ModelDemand> = self
            .entries
            .keys()
            .filter_map(|model| self.get(model))
            .collect();
        all.sort_by(|a, b| {
            let urgency = |d: &ModelDemand| (d.priority, d.earliest_deadline_at);
            urgency(a)
                .cmp(&urgency(b))
                .then_with(|| a.model.cmp(&b.model))
        });
        all
    }

    /// The routers that have not been sent_verdict `verdict` about the model yet, and
    /// marks them as sent_verdict. A refusal ends the demand.
    pub fn mark_sent(&mut self, model: &str, verdict: DemandVerdict) -> Vec<Incarnation> {
        let Some(by_router) = self.entries.get_mut(model) else {
            return Vec::new();
        };
        let mut routers = Vec::new();
        for (router, entry) in by_router.iter_mut() {
            if entry
                .sent_verdict
                .is_none_or(|sent_verdict| should_resend(sent_verdict, verdict))
            {
                entry.sent_verdict = Some(verdict);
                routers.push(*router);
            }
        }
        if matches!(verdict, DemandVerdict::Refused { .. }) {
            self.entries.remove(model);
        }
        routers
    }
}

fn should_resend(sent_verdict: DemandVerdict, verdict: DemandVerdict) -> bool {
    match (sent_verdict, verdict) {
        (DemandVerdict::ReadyAt(previous), DemandVerdict::ReadyAt(after)) => {
            let change = previous.max(after).duration_since(previous.min(after));
            change >= MIN_READY_CHANGE
        }
        _ => true,
    }
}
