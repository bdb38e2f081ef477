//! All requests that wait at one router, by model, and the token counters of their workspaces.

use super::queue::{ModelQueue, QueuePosition, WaitingRequest};
use super::token_counters::TokenCounters;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// The queues of all models.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    queues: BTreeMap<ModelName, ModelQueue>,
    /// Number of waiting requests per workspace.
    by_workspace: HashMap<WorkspaceName, u32>,
    shares: TokenCounters,
}

impl Waiters {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.queues.values().map(ModelQueue::len).sum()
    }

    /// Returns the number of requests that wait for a model.
    pub(super) fn count_for_model(&self, model: &str) -> usize {
        self.queues.get(model).map_or(0, ModelQueue::len)
    }

    /// Returns the number of waiting requests of a workspace.
    pub(super) fn count_of_workspace(&self, workspace: &str) -> u32 {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// Returns the models that requests wait for.
    pub(super) fn models(&self) -> Vec<ModelName> {
        self.queues.keys().cloned().collect()
    }

    /// Whether any request waits for the model.
    pub(super) fn has_model(&self, model: &str) -> bool {
        self.queues.contains_key(model)
    }

    /// Returns the request for a model with the earliest time to give up.
    pub(super) fn earliest_to_give_up(&self, model: &str) -> Option<&WaitingRequest> {
        self.queues
            .get(model)
            .and_then(ModelQueue::earliest_to_give_up)
    }

    /// Adds a request; `share` is the share of its workspace.
    pub(super) fn add(&mut self, model: ModelName, waiting: WaitingRequest, share: u32) {
        *self
            .by_workspace
            .entry(waiting.workspace.clone())
            .or_default() += 1;
        self.shares.activate(&waiting.workspace, share);
        self.queues.entry(model).or_default().push(waiting);
    }

    /// Removes and returns the request at a position in a model's queue.
    pub(super) fn remove(
        &mut self,
        model: &ModelName,
        position: &QueuePosition,
    ) -> Option<WaitingRequest> {
        let queue = self.queues.get_mut(model)?;
        let waiting = queue.remove(position)?;
        if queue.is_empty() {
            self.queues.remove(model);
        }
        if let Some(count) = self.by_workspace.get_mut(&waiting.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.shares.deactivate(&waiting.workspace);
            }
        }
        Some(waiting)
    }

    /// Removes and returns all matching requests for a model.
    pub(super) fn remove_matching(
        &mut self,
        model: &ModelName,
        matches: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let positions = self.queues.get(model).map(|queue| queue.positions(matches));
        let positions = positions.unwrap_or_default();
        let removed = positions
            .iter()
            .filter_map(|position| self.remove(model, position));
        removed.collect()
    }

    /// Removes a request by its number alone.
    pub(super) fn remove_request(&mut self, request: RequestId) {
        let found = self.queues.iter().find_map(|(model, queue)| {
            queue
                .position_of(request)
                .map(|position| (model.clone(), position))
        });
        if let Some((model, position)) = found {
            self.remove(&model, &position);
        }
    }

    /// Returns the request that starts first, among the models and requests that are allowed to
    /// start.
    pub(super) fn next_to_start(
        &self,
        can_model_start: impl Fn(&ModelName) -> bool,
        is_allowed: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<(ModelName, QueuePosition)> {
        let mut best: Option<(&ModelName, QueuePosition)> = None;
        for (model, queue) in &self.queues {
            if !can_model_start(model) {
                continue;
            }
            let Some(position) = queue.next_to_start(&self.shares, &is_allowed) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, best_position)| position < *best_position)
            {
                best = Some((model, position));
            }
        }
        best.map(|(model, position)| (model.clone(), position))
    }

    /// Charges tokens to a workspace. A negative number corrects an earlier estimate.
    pub(super) fn charge(&mut self, workspace: &str, tokens: i64) {
        self.shares.charge(workspace, tokens);
    }
}
