//! Reports to controllers: demands, merged per model, and usage.

use super::{DEFAULT_PRIORITY, RouterAction, RouterCore};
use crate::messages::{Demand, Usage};
use passway_types::prelude::*;

/// Minimum interval between two demands for one model.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval after which an unchanged demand is sent again.
const DEMAND_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between usage reports for the models in use.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The last demand sent to the controller for a model.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentDemand {
    pub(super) at: Instant,
    pub(super) waiting: u32,
    pub(super) earliest_deadline_at: Instant,
}

impl RouterCore {
    /// Sends demands for the models that requests wait for, and withdraws those that are satisfied.
    pub(super) fn send_demands(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        let satisfied: Vec<ModelName> = self
            .sent_demands
            .keys()
            .filter(|model| !self.waiters.has_model(model))
            .cloned()
            .collect();
        for model in satisfied {
            if let Some(sent) = self.sent_demands.remove(&model) {
                let deadline_at = sent.earliest_deadline_at;
                actions.push(self.demand(&model, "".into(), 0, deadline_at, DEFAULT_PRIORITY));
            }
        }
        for model in self.waiters.models() {
            self.send_demand_if_due(now, &model, actions);
        }
    }

    fn send_demand_if_due(
        &mut self,
        now: Instant,
        model: &ModelName,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(first) = self.waiters.earliest_to_give_up(model) else {
            return;
        };
        let waiting = u32::try_from(self.waiters.count_for_model(model)).unwrap_or(u32::MAX);
        let earliest_deadline_at = first.give_up_at;
        if let Some(sent) = self.sent_demands.get(model) {
            let elapsed = now.saturating_duration_since(sent.at);
            let has_changed = waiting > sent.waiting.saturating_mul(2)
                || earliest_deadline_at < sent.earliest_deadline_at;
            if elapsed < MIN_DEMAND_INTERVAL || (!has_changed && elapsed < DEMAND_REPEAT_INTERVAL) {
                return;
            }
        }
        let (workspace, priority) = (first.workspace.clone(), first.priority);
        self.sent_demands.insert(
            model.clone(),
            SentDemand {
                at: now,
                waiting,
                earliest_deadline_at,
            },
        );
        actions.push(self.demand(model, workspace, waiting, earliest_deadline_at, priority));
    }

    fn demand(
        &self,
        model: &ModelName,
        workspace: WorkspaceName,
        waiting: u32,
        earliest_deadline_at: Instant,
        priority: u32,
    ) -> RouterAction {
        RouterAction::Demand(Demand {
            router: self.router,
            model: model.clone(),
            workspace,
            waiting,
            earliest_deadline_at,
            priority,
        })
    }

    pub(super) fn report_usage(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        if now < self.next_usage_report_at {
            return;
        }
        self.next_usage_report_at = now + USAGE_REPORT_INTERVAL;
        for model in self.models_in_use.drain() {
            let running = self.attempts.running_on_model(&model);
            let usage = Usage {
                router: self.router,
                model,
                running,
                last_used_at: now,
            };
            actions.push(RouterAction::Usage(usage));
        }
        // A model stays in use until its running requests end.
        self.models_in_use.extend(self.attempts.models().cloned());
    }
}
