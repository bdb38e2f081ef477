//! Attempts to run requests at upstreams: how they start and how their outcomes are handled.

use super::queue::WaitingRequest;
use super::{AttemptOutcome, BUSY_RETRY_AFTER, DEADLINE_MARGIN, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Backoff for an upstream that failed, or for a replica that the upstream does not have.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff for an upstream that had no free slot.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// Tokens charged for a request until the tokens of its answer are known.
const ASSUMED_TOKENS: u32 = 64;

/// A request that is running at an upstream.
#[derive(Debug)]
struct RunningAttempt {
    queue_entry: WaitingRequest,
    model: ModelName,
    upstream: UpstreamId,
    started_at: Instant,
}

/// The running requests, counted by workspace and by model.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<RequestId, RunningAttempt>,
    by_workspace: HashMap<WorkspaceName, u32>,
    by_model: HashMap<ModelName, u32>,
}

impl Attempts {
    /// Returns the number of running requests.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that run on a model.
    pub(super) fn running_on_model(&self, model: &str) -> u32 {
        self.by_model.get(model).copied().unwrap_or(0)
    }

    /// Returns the models on which requests run.
    pub(super) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.by_model.keys()
    }

    /// Whether the workspace's limit on running requests allows this request to start.
    fn is_within_limit(&self, waiting: &WaitingRequest) -> bool {
        let running = self.by_workspace.get(&waiting.workspace);
        let running = running.copied().unwrap_or(0);
        waiting
            .max_running
            .is_none_or(|max_running| running < max_running)
    }

    fn add(&mut self, attempt: RunningAttempt) {
        let workspace = attempt.queue_entry.workspace.clone();
        *self.by_workspace.entry(workspace).or_default() += 1;
        *self.by_model.entry(attempt.model.clone()).or_default() += 1;
        self.running.insert(attempt.queue_entry.request, attempt);
    }

    fn remove(&mut self, request: RequestId) -> Option<RunningAttempt> {
        let attempt = self.running.remove(&request)?;
        super::decrement(&mut self.by_workspace, &attempt.queue_entry.workspace);
        super::decrement(&mut self.by_model, &attempt.model);
        Some(attempt)
    }
}

impl RouterCore {
    /// Starts requests while upstreams have free slots, ordered by policy priority and fair share.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        while let Some((model, waiting, upstream)) = self.take_next(now) {
            actions.push(self.start(now, model, waiting, upstream));
        }
    }

    fn take_next(&mut self, now: Instant) -> Option<(ModelName, WaitingRequest, UpstreamId)> {
        let (model, position) = self.waiters.next_to_start(
            |model| self.replicas.has_free_slot(now, &self.catalog, model),
            |waiting| self.attempts.is_within_limit(waiting),
        )?;
        let upstream = self.replicas.choose_upstream(now, &self.catalog, &model)?;
        let waiting = self.waiters.remove(&model, &position)?;
        Some((model, waiting, upstream))
    }

    fn start(
        &mut self,
        now: Instant,
        model: ModelName,
        queue_entry: WaitingRequest,
        upstream: UpstreamId,
    ) -> RouterAction {
        self.replicas.request_started(&upstream);
        self.waiters
            .charge(&queue_entry.workspace, i64::from(ASSUMED_TOKENS));
        self.budget.earn();
        self.models_in_use.insert(model.clone());
        let action = RouterAction::Start {
            request: queue_entry.request,
            upstream: upstream.clone(),
            model: model.clone(),
            deadline_at: queue_entry.deadline_at,
            priority: queue_entry.priority,
        };
        self.attempts.add(RunningAttempt {
            queue_entry,
            model,
            upstream,
            started_at: now,
        });
        action
    }

    /// Handles the outcome of an attempt. A failed request is queued again if the retry budget
    /// allows it.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        outcome: AttemptOutcome,
    ) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(attempt) = self.attempts.remove(request) else {
            return actions;
        };
        self.replicas.request_ended(&attempt.upstream);
        self.models_in_use.insert(attempt.model.clone());
        match outcome {
            AttemptOutcome::Served { tokens } => {
                let correction = i64::from(tokens) - i64::from(ASSUMED_TOKENS);
                self.waiters
                    .charge(&attempt.queue_entry.workspace, correction);
                let duration = now.saturating_duration_since(attempt.started_at);
                self.forecast.record_service_time(duration);
            }
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Unreachable | AttemptOutcome::Failed => {
                self.replicas
                    .block_upstream(&attempt.upstream, now + FAILURE_BACKOFF);
                self.retry(now, attempt, outcome, &mut actions);
            }
            AttemptOutcome::NotLoaded => {
                let until = now + FAILURE_BACKOFF;
                self.replicas
                    .block_replica(&attempt.model, &attempt.upstream, until);
                self.retry(now, attempt, outcome, &mut actions);
            }
            AttemptOutcome::Busy => {
                self.replicas
                    .block_upstream(&attempt.upstream, now + BUSY_BACKOFF);
                self.retry(now, attempt, outcome, &mut actions);
            }
        }
        self.dispatch(now, &mut actions);
        self.send_demands(now, &mut actions);
        actions
    }

    fn retry(
        &mut self,
        now: Instant,
        mut attempt: RunningAttempt,
        outcome: AttemptOutcome,
        actions: &mut Vec<RouterAction>,
    ) {
        self.waiters
            .charge(&attempt.queue_entry.workspace, -i64::from(ASSUMED_TOKENS));
        attempt.queue_entry.may_have_run |= outcome == AttemptOutcome::Failed;
        let is_in_time = now + DEADLINE_MARGIN < attempt.queue_entry.give_up_at;
        if is_in_time && self.budget.try_take() {
            self.enqueue(attempt.model, attempt.queue_entry);
            return;
        }
        let detail = format!("retries are spent; the last attempt ended as {outcome:?}");
        let refusal = Refusal::new(ResultCode::NotStarted, detail);
        let refusal = refusal.retry_after(BUSY_RETRY_AFTER);
        actions.push(RouterAction::Refuse {
            request: attempt.queue_entry.request,
            refusal: attempt.queue_entry.final_refusal(refusal),
        });
    }
}
