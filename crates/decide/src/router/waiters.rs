//! All requests that wait at one router, by model, and the shares of their workspaces.

use super::queue::{ModelQueue, Place, Waiting};
use super::share::ShareClock;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// The queues of all models.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    queues: BTreeMap<ModelName, ModelQueue>,
    /// How many requests of each workspace wait.
    by_workspace: HashMap<WorkspaceName, u32>,
    shares: ShareClock,
}

impl Waiters {
    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.queues.values().map(ModelQueue::len).sum()
    }

    /// Requests that wait for a model.
    pub(super) fn of_model(&self, model: &str) -> usize {
        self.queues.get(model).map_or(0, ModelQueue::len)
    }

    /// Requests of a workspace that wait.
    pub(super) fn of_workspace(&self, workspace: &str) -> u32 {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// Models that are waited for.
    pub(super) fn models(&self) -> Vec<ModelName> {
        self.queues.keys().cloned().collect()
    }

    /// Whether any request waits for the model.
    pub(super) fn has_model(&self, model: &str) -> bool {
        self.queues.contains_key(model)
    }

    /// The request for a model with the earliest time to give up.
    pub(super) fn earliest(&self, model: &str) -> Option<&Waiting> {
        self.queues.get(model).and_then(ModelQueue::earliest)
    }

    /// A request begins to wait; `share` is that of its workspace.
    pub(super) fn add(&mut self, model: ModelName, waiting: Waiting, share: u32) {
        *self
            .by_workspace
            .entry(waiting.workspace.clone())
            .or_default() += 1;
        self.shares.join(&waiting.workspace, share);
        self.queues.entry(model).or_default().push(waiting);
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, model: &ModelName, place: &Place) -> Option<Waiting> {
        let queue = self.queues.get_mut(model)?;
        let waiting = queue.remove(place)?;
        if queue.is_empty() {
            self.queues.remove(model);
        }
        if let Some(count) = self.by_workspace.get_mut(&waiting.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.shares.leave(&waiting.workspace);
            }
        }
        Some(waiting)
    }

    /// Takes out all requests for a model that match.
    pub(super) fn remove_where(
        &mut self,
        model: &ModelName,
        matches: impl Fn(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let places = self.queues.get(model).map(|queue| queue.places(matches));
        let places = places.unwrap_or_default();
        let removed = places.iter().filter_map(|place| self.remove(model, place));
        removed.collect()
    }

    /// Takes out a request whose model is not known.
    pub(super) fn remove_request(&mut self, request: RequestId) {
        let found = self
            .queues
            .iter()
            .find_map(|(model, queue)| queue.find(request).map(|place| (model.clone(), place)));
        if let Some((model, place)) = found {
            self.remove(&model, &place);
        }
    }

    /// The request that goes first among the models and requests that may run.
    pub(super) fn first(
        &self,
        model_may_run: impl Fn(&ModelName) -> bool,
        may_run: impl Fn(&Waiting) -> bool,
    ) -> Option<(ModelName, Place)> {
        let mut best: Option<(&ModelName, Place)> = None;
        for (model, queue) in &self.queues {
            if !model_may_run(model) {
                continue;
            }
            let Some(place) = queue.first(&self.shares, &may_run) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, first)| place < *first) {
                best = Some((model, place));
            }
        }
        best.map(|(model, place)| (model.clone(), place))
    }

    /// Charges tokens to a workspace; a negative number corrects an earlier guess.
    pub(super) fn charge(&mut self, workspace: &str, tokens: i64) {
        self.shares.charge(workspace, tokens);
    }
}
