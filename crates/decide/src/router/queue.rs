//! The queue of requests that wait for one model.

use super::token_counters::TokenCounters;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A request that waits.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The request's number.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The priority that the caller requests. It orders requests within the workspace.
    pub requested_priority: u32,
    /// The priority that the policy assigns. It orders requests across workspaces.
    pub priority: u32,
    /// The caller's deadline.
    pub deadline_at: Instant,
    /// The time at which the request is refused if it still waits; at most the deadline.
    pub give_up_at: Instant,
    /// Maximum number of requests of the workspace that may run at once.
    pub max_running: Option<u32>,
    /// Whether an earlier attempt may have reached an upstream.
    pub may_have_run: bool,
}

impl WaitingRequest {
    /// Returns the answer to the caller when the request is given up with `refusal`.
    ///
    /// A "not run" refusal describes the last attempt only. If an earlier attempt may have reached
    /// an upstream, the answer says "unknown" instead.
    pub fn final_refusal(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.code.ran() != Ran::NotRun {
            return refusal;
        }
        let detail = format!(
            "an attempt failed; then {}: {}",
            refusal.code, refusal.detail
        );
        Refusal {
            code: ResultCode::UpstreamFailed,
            detail,
            ..refusal
        }
    }
}

/// Order within a workspace: policy priority, requested priority, time to give up, request number.
type WorkspaceKey = (u32, u32, Instant, RequestId);

/// Position of a request; a smaller position starts first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: u32,
    /// Served tokens of the workspace divided by its share, in thousandths of a token.
    served_milli_tokens: u64,
    key: WorkspaceKey,
    workspace: WorkspaceName,
}

/// The waiting requests for one model.
#[derive(Debug, Default)]
pub struct ModelQueue {
    workspaces: HashMap<WorkspaceName, BTreeMap<WorkspaceKey, WaitingRequest>>,
    by_request: HashMap<RequestId, (WorkspaceName, WorkspaceKey)>,
}

impl ModelQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let key = key_of(&waiting);
        self.by_request
            .insert(waiting.request, (waiting.workspace.clone(), key));
        self.workspaces
            .entry(waiting.workspace.clone())
            .or_default()
            .insert(key, waiting);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns the position of the request that starts first: by priority, then by the workspace
    /// with the fewest served tokens for its share, then by the order within the workspace. Only
    /// the first request of each workspace is considered.
    pub fn next_to_start(
        &self,
        shares: &TokenCounters,
        is_allowed: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<QueuePosition> {
        let heads = self
            .workspaces
            .values()
            .filter_map(|workspace| workspace.iter().next());
        let heads = heads.filter(|(_, waiting)| is_allowed(waiting));
        heads
            .map(|(key, waiting)| QueuePosition {
                priority: waiting.priority,
                served_milli_tokens: shares.served_milli_tokens(&waiting.workspace),
                key: *key,
                workspace: waiting.workspace.clone(),
            })
            .min()
    }

    /// Returns the request with the earliest time to give up.
    pub fn earliest_to_give_up(&self) -> Option<&WaitingRequest> {
        let all = self.workspaces.values().flat_map(BTreeMap::values);
        all.min_by_key(|waiting| waiting.give_up_at)
    }

    /// Returns the position of a request. The served tokens are left at 0; removal does not use
    /// them.
    pub fn position_of(&self, request: RequestId) -> Option<QueuePosition> {
        let (workspace, key) = self.by_request.get(&request)?;
        Some(QueuePosition {
            priority: key.0,
            served_milli_tokens: 0,
            key: *key,
            workspace: workspace.clone(),
        })
    }

    /// Returns the positions of all requests that match.
    pub fn positions(&self, matches: impl Fn(&WaitingRequest) -> bool) -> Vec<QueuePosition> {
        let all = self.workspaces.values().flat_map(BTreeMap::values);
        all.filter(|waiting| matches(waiting))
            .filter_map(|w| self.position_of(w.request))
            .collect()
    }

    /// Removes and returns the request at a position.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<WaitingRequest> {
        let workspace = self.workspaces.get_mut(&position.workspace)?;
        let waiting = workspace.remove(&position.key)?;
        if workspace.is_empty() {
            self.workspaces.remove(&position.workspace);
        }
        self.by_request.remove(&waiting.request);
        Some(waiting)
    }
}

fn key_of(waiting: &WaitingRequest) -> WorkspaceKey {
    (
        waiting.priority,
        waiting.requested_priority,
        waiting.give_up_at,
        waiting.request,
    )
}
