//! Requests that wait for one model.

use super::share::ShareClock;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Its number.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The priority that the caller asks for; orders requests within the workspace.
    pub asked_priority: u32,
    /// The priority that policy gives; orders requests across workspaces.
    pub priority: u32,
    /// The caller's deadline.
    pub deadline_at: Instant,
    /// When it is refused if it still waits; at most the deadline.
    pub give_up_at: Instant,
    /// Most requests of the workspace that run at one time.
    pub max_running: Option<u32>,
    /// Whether an earlier attempt may have reached an upstream.
    pub may_have_run: bool,
}

impl Waiting {
    /// The final answer when the request is given up for the reason of `refusal`.
    ///
    /// A reason that says "not run" speaks of the last attempt alone; if an
    /// earlier one may have reached an upstream, the answer must say "unknown".
    pub fn final_answer(&self, refusal: Refusal) -> Refusal {
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

/// Order within one workspace: policy's priority, asked priority, deadline, arrival.
type WorkspaceKey = (u32, u32, Instant, RequestId);

/// Where a request stands; a smaller place goes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u32,
    /// Weighted tokens that the workspace has been served, in thousandths.
    served_milli: u64,
    key: WorkspaceKey,
    workspace: WorkspaceName,
}

/// The queue of one model.
#[derive(Debug, Default)]
pub struct ModelQueue {
    workspaces: HashMap<WorkspaceName, BTreeMap<WorkspaceKey, Waiting>>,
    by_request: HashMap<RequestId, (WorkspaceName, WorkspaceKey)>,
}

impl ModelQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let key = key_of(&waiting);
        self.by_request
            .insert(waiting.request, (waiting.workspace.clone(), key));
        self.workspaces
            .entry(waiting.workspace.clone())
            .or_default()
            .insert(key, waiting);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// The request that goes first: by priority, then the workspace that was served
    /// least for its share, then the workspace's own order.
    pub fn first(&self, shares: &ShareClock, may_run: impl Fn(&Waiting) -> bool) -> Option<Place> {
        let heads = self
            .workspaces
            .values()
            .filter_map(|workspace| workspace.iter().next());
        let heads = heads.filter(|(_, waiting)| may_run(waiting));
        heads
            .map(|(key, waiting)| Place {
                priority: waiting.priority,
                served_milli: shares.served_milli(&waiting.workspace),
                key: *key,
                workspace: waiting.workspace.clone(),
            })
            .min()
    }

    /// The request with the earliest time to give up.
    pub fn earliest(&self) -> Option<&Waiting> {
        let all = self.workspaces.values().flat_map(BTreeMap::values);
        all.min_by_key(|waiting| waiting.give_up_at)
    }

    /// The place of a request.
    pub fn find(&self, request: RequestId) -> Option<Place> {
        let (workspace, key) = self.by_request.get(&request)?;
        Some(Place {
            priority: key.0,
            served_milli: 0,
            key: *key,
            workspace: workspace.clone(),
        })
    }

    /// The places of all requests that match.
    pub fn places(&self, matches: impl Fn(&Waiting) -> bool) -> Vec<Place> {
        let all = self.workspaces.values().flat_map(BTreeMap::values);
        all.filter(|waiting| matches(waiting))
            .filter_map(|w| self.find(w.request))
            .collect()
    }

    /// Takes a request out.
    pub fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let workspace = self.workspaces.get_mut(&place.workspace)?;
        let waiting = workspace.remove(&place.key)?;
        if workspace.is_empty() {
            self.workspaces.remove(&place.workspace);
        }
        self.by_request.remove(&waiting.request);
        Some(waiting)
    }
}

fn key_of(waiting: &Waiting) -> WorkspaceKey {
    (
        waiting.priority,
        waiting.asked_priority,
        waiting.give_up_at,
        waiting.request,
    )
}
