//! Attempts of requests at upstreams: how they start and what follows their end.

use super::queue::WaitingRequest;
use super::{AttemptOutcome, BUSY_RETRY_AFTER, DEADLINE_MARGIN, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Time for which an upstream that refused a connection gets nothing.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which an upstream that had no slot free gets nothing.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// Tokens assumed for a request until its answer is counted.
const ASSUMED_TOKENS: u32 = 64;

/// A request that an upstream works on.
#[derive(Debug)]
struct RunningAttempt {
    waiting: WaitingRequest,
    model: ModelName,
    upstream: UpstreamId,
    started_at: Instant,
}

/// The requests that upstreams work on, counted by workspace and by model.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<RequestId, RunningAttempt>,
    by_workspace: HashMap<WorkspaceName, u32>,
    by_model: HashMap<ModelName, u32>,
}

impl Attempts {
    /// Requests that run.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Requests that run on a model.
    pub(super) fn running_on_model(&self, model: &str) -> u32 {
        self.by_model.get(model).copied().unwrap_or(0)
    }

    /// Models on which requests run.
    pub(super) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.by_model.keys()
    }

    /// Whether the limit of its workspace lets a request run.
    fn is_within_limit(&self, waiting: &WaitingRequest) -> bool {
        let running = self.by_workspace.get(&waiting.workspace);
        let running = running.copied().unwrap_or(0);
        waiting
            .max_running
            .is_none_or(|max_running| running < max_running)
    }

    fn add(&mut self, running: RunningAttempt) {
        let workspace = running.waiting.workspace.clone();
        *self.by_workspace.entry(workspace).or_default() += 1;
        *self.by_model.entry(running.model.clone()).or_default() += 1;
        self.running.insert(running.waiting.request, running);
    }

    fn remove(&mut self, request: RequestId) -> Option<RunningAttempt> {
        let running = self.running.remove(&request)?;
        super::decrement(&mut self.by_workspace, &running.waiting.workspace);
        super::decrement(&mut self.by_model, &running.model);
        Some(running)
    }
}

impl RouterCore {
    /// Starts whatever has a free slot, in the order that policy and shares give.
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
        waiting: WaitingRequest,
        upstream: UpstreamId,
    ) -> RouterAction {
        self.replicas.request_started(&upstream);
        self.waiters
            .charge(&waiting.workspace, i64::from(ASSUMED_TOKENS));
        self.budget.earn();
        self.models_in_use.insert(model.clone());
        let action = RouterAction::Start {
            request: waiting.request,
            upstream: upstream.clone(),
            model: model.clone(),
            deadline_at: waiting.deadline_at,
            priority: waiting.priority,
        };
        self.attempts.add(RunningAttempt {
            waiting,
            model,
            upstream,
            started_at: now,
        });
        action
    }

    /// Records how an attempt ended; a failed one waits again if the budget allows.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        ended: AttemptOutcome,
    ) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(running) = self.attempts.remove(request) else {
            return actions;
        };
        self.replicas.request_ended(&running.upstream);
        self.models_in_use.insert(running.model.clone());
        match ended {
            AttemptOutcome::Served { tokens } => {
                let correction = i64::from(tokens) - i64::from(ASSUMED_TOKENS);
                self.waiters.charge(&running.waiting.workspace, correction);
                let duration = now.saturating_duration_since(running.started_at);
                self.forecast.record_service_time(duration);
            }
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Unreachable | AttemptOutcome::Failed => {
                self.replicas
                    .block_upstream(&running.upstream, now + FAILURE_BACKOFF);
                self.retry(now, running, ended, &mut actions);
            }
            AttemptOutcome::NotLoaded => {
                let until = now + FAILURE_BACKOFF;
                self.replicas
                    .block_replica(&running.model, &running.upstream, until);
                self.retry(now, running, ended, &mut actions);
            }
            AttemptOutcome::Busy => {
                self.replicas
                    .block_upstream(&running.upstream, now + BUSY_BACKOFF);
                self.retry(now, running, ended, &mut actions);
            }
        }
        self.dispatch(now, &mut actions);
        self.send_demands(now, &mut actions);
        actions
    }

    fn retry(
        &mut self,
        now: Instant,
        mut running: RunningAttempt,
        ended: AttemptOutcome,
        actions: &mut Vec<RouterAction>,
    ) {
        self.waiters
            .charge(&running.waiting.workspace, -i64::from(ASSUMED_TOKENS));
        running.waiting.may_have_run |= ended == AttemptOutcome::Failed;
        let in_time = now + DEADLINE_MARGIN < running.waiting.give_up_at;
        if in_time && self.budget.try_take() {
            self.enqueue(running.model, running.waiting);
            return;
        }
        let detail = format!("retries are spent; the last attempt ended as {ended:?}");
        let refusal = Refusal::new(ResultCode::NotStarted, detail);
        let refusal = refusal.retry_after(BUSY_RETRY_AFTER);
        actions.push(RouterAction::Refuse {
            request: running.waiting.request,
            refusal: running.waiting.final_refusal(refusal),
        });
    }
}
