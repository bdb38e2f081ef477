//! Attempts of requests at upstreams: how they start and what follows their end.

use super::queue::Waiting;
use super::{ANSWER_MARGIN, BUSY_RETRY, Ended, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Time for which an upstream that refused a connection gets nothing.
const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Time for which an upstream that had no slot free gets nothing.
const BUSY_TIME: Duration = Duration::from_millis(50);
/// Tokens assumed for a request until its answer is counted.
const ASSUMED_TOKENS: u32 = 64;

/// A request that an upstream works on.
#[derive(Debug)]
struct Running {
    waiting: Waiting,
    model: ModelName,
    upstream: UpstreamId,
    started_at: Instant,
}

/// The requests that upstreams work on, counted by workspace and by model.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<RequestId, Running>,
    by_workspace: HashMap<WorkspaceName, u32>,
    by_model: HashMap<ModelName, u32>,
}

impl Attempts {
    /// Requests that run.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Requests that run on a model.
    pub(super) fn of_model(&self, model: &str) -> u32 {
        self.by_model.get(model).copied().unwrap_or(0)
    }

    /// Models on which requests run.
    pub(super) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.by_model.keys()
    }

    /// Whether the limit of its workspace lets a request run.
    fn may_run(&self, waiting: &Waiting) -> bool {
        let running = self.by_workspace.get(&waiting.workspace);
        let running = running.copied().unwrap_or(0);
        waiting.max_running.is_none_or(|most| running < most)
    }

    fn add(&mut self, running: Running) {
        let workspace = running.waiting.workspace.clone();
        *self.by_workspace.entry(workspace).or_default() += 1;
        *self.by_model.entry(running.model.clone()).or_default() += 1;
        self.running.insert(running.waiting.request, running);
    }

    fn remove(&mut self, request: RequestId) -> Option<Running> {
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

    fn take_next(&mut self, now: Instant) -> Option<(ModelName, Waiting, UpstreamId)> {
        let (model, place) = self.waiters.first(
            |model| self.replicas.has_free_slot(now, &self.catalog, model),
            |waiting| self.attempts.may_run(waiting),
        )?;
        let upstream = self.replicas.choose(now, &self.catalog, &model)?;
        let waiting = self.waiters.remove(&model, &place)?;
        Some((model, waiting, upstream))
    }

    fn start(
        &mut self,
        now: Instant,
        model: ModelName,
        waiting: Waiting,
        upstream: UpstreamId,
    ) -> RouterAction {
        self.replicas.started(&upstream);
        self.waiters
            .charge(&waiting.workspace, i64::from(ASSUMED_TOKENS));
        self.budget.started();
        self.used.insert(model.clone());
        let action = RouterAction::Start {
            request: waiting.request,
            upstream: upstream.clone(),
            model: model.clone(),
            deadline_at: waiting.deadline_at,
            priority: waiting.priority,
        };
        self.attempts.add(Running {
            waiting,
            model,
            upstream,
            started_at: now,
        });
        action
    }

    /// Records how an attempt ended; a failed one waits again if the budget allows.
    pub fn ended(&mut self, now: Instant, request: RequestId, ended: Ended) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(running) = self.attempts.remove(request) else {
            return actions;
        };
        self.replicas.ended(&running.upstream);
        self.used.insert(running.model.clone());
        match ended {
            Ended::Served { tokens } => {
                let spent = i64::from(tokens) - i64::from(ASSUMED_TOKENS);
                self.waiters.charge(&running.waiting.workspace, spent);
                let took = now.saturating_duration_since(running.started_at);
                self.forecast.served(took);
            }
            Ended::Abandoned => {}
            Ended::Unreachable | Ended::Failed => {
                self.replicas.block(&running.upstream, now + BLOCK_TIME);
                self.retry(now, running, ended, &mut actions);
            }
            Ended::NotLoaded => {
                let until = now + BLOCK_TIME;
                self.replicas.deny(&running.model, &running.upstream, until);
                self.retry(now, running, ended, &mut actions);
            }
            Ended::Busy => {
                self.replicas.block(&running.upstream, now + BUSY_TIME);
                self.retry(now, running, ended, &mut actions);
            }
        }
        self.dispatch(now, &mut actions);
        self.tell_demands(now, &mut actions);
        actions
    }

    fn retry(
        &mut self,
        now: Instant,
        mut running: Running,
        ended: Ended,
        actions: &mut Vec<RouterAction>,
    ) {
        self.waiters
            .charge(&running.waiting.workspace, -i64::from(ASSUMED_TOKENS));
        running.waiting.may_have_run |= ended == Ended::Failed;
        let in_time = now + ANSWER_MARGIN < running.waiting.give_up_at;
        if in_time && self.budget.take() {
            self.enqueue(running.model, running.waiting);
            return;
        }
        let detail = format!("retries are spent; the last attempt ended as {ended:?}");
        let refusal = Refusal::new(ResultCode::NotStarted, detail);
        let refusal = refusal.retry_after(BUSY_RETRY);
        actions.push(RouterAction::Refuse {
            request: running.waiting.request,
            refusal: running.waiting.final_answer(refusal),
        });
    }
}
