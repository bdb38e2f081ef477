//! Demands of routers for models, merged per model.

use crate::messages::{Demand, DemandVerdict};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A router is notified again if the expected ready time changes by at least this.
const MIN_READY_CHANGE: Duration = Duration::from_millis(500);

/// The demand of one router for a model, and the verdict last sent in answer.
#[derive(Debug)]
struct Entry {
    demand: Demand,
    sent_verdict: Option<DemandVerdict>,
}

/// The demands of all routers for one model, merged.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    /// The model or adapter.
    pub model: ModelName,
    /// Number of waiting requests at all routers.
    pub waiting: u32,
    /// The earliest deadline of the waiting requests.
    pub earliest_deadline_at: Instant,
    /// The most urgent (lowest) priority among the routers' demands.
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
    /// Records a demand. A demand with 0 waiting requests withdraws the previous one.
    pub fn set(&mut self, demand: Demand) {
        let by_router = self.entries.entry(demand.model.clone()).or_default();
        if demand.waiting == 0 {
            by_router.remove(&demand.router);
        } else {
            // Clearing the sent verdict makes the controller answer a repeated demand again,
            // because the router may have missed the first answer.
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

    /// Removes the demands of a router.
    pub fn remove_router(&mut self, router: Incarnation) {
        for by_router in self.entries.values_mut() {
            by_router.remove(&router);
        }
        self.entries.retain(|_, by_router| !by_router.is_empty());
    }

    /// Removes demands whose earliest deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        for by_router in self.entries.values_mut() {
            by_router.retain(|_, entry| entry.demand.earliest_deadline_at > now);
        }
        self.entries.retain(|_, by_router| !by_router.is_empty());
    }

    /// Whether requests wait for the model at any router.
    pub fn contains(&self, model: &str) -> bool {
        self.entries.contains_key(model)
    }

    /// Returns the merged demand for one model.
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

    /// Returns all merged demands, most urgent first: by priority, then by deadline.
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

    /// Returns the routers that need to receive `verdict` about the model, and records it as sent
    /// to them. A refusal removes the demand.
    pub fn mark_sent(&mut self, model: &str, verdict: DemandVerdict) -> Vec<Incarnation> {
        let Some(by_router) = self.entries.get_mut(model) else {
            return Vec::new();
        };
        let mut routers = Vec::new();
        for (router, entry) in by_router.iter_mut() {
            if entry
                .sent_verdict
                .is_none_or(|sent| should_resend(sent, verdict))
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

fn should_resend(sent: DemandVerdict, verdict: DemandVerdict) -> bool {
    match (sent, verdict) {
        (DemandVerdict::ReadyAt(previous), DemandVerdict::ReadyAt(current)) => {
            let change = previous.max(current).duration_since(previous.min(current));
            change >= MIN_READY_CHANGE
        }
        _ => true,
    }
}
