//! What a router tells controllers: demands, coalesced per model, and use.

use super::{DEFAULT_PRIORITY, RouterAction, RouterCore};
use crate::messages::{Demand, Usage};
use passway_types::prelude::*;

/// Shortest pause between two demands for one model.
const DEMAND_PAUSE: Duration = Duration::from_millis(100);
/// An unanswered or standing demand is repeated after this time.
const DEMAND_REPEAT: Duration = Duration::from_secs(1);
/// Pause between two reports of use for a model in use.
const USAGE_PAUSE: Duration = Duration::from_millis(500);

/// The last demand told to the controller for a model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Told {
    pub(super) at: Instant,
    pub(super) waiting: u32,
    pub(super) earliest_deadline_at: Instant,
}

impl RouterCore {
    /// Tells the controller of models that are waited for and have no replica with room.
    pub(super) fn tell_demands(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        let gone: Vec<ModelName> = self
            .told
            .keys()
            .filter(|model| !self.waiters.has_model(model))
            .cloned()
            .collect();
        for model in gone {
            if let Some(told) = self.told.remove(&model) {
                let deadline_at = told.earliest_deadline_at;
                actions.push(self.demand(&model, "".into(), 0, deadline_at, DEFAULT_PRIORITY));
            }
        }
        for model in self.waiters.models() {
            self.tell_demand(now, &model, actions);
        }
    }

    fn tell_demand(&mut self, now: Instant, model: &ModelName, actions: &mut Vec<RouterAction>) {
        let Some(first) = self.waiters.earliest(model) else {
            return;
        };
        let waiting = u32::try_from(self.waiters.of_model(model)).unwrap_or(u32::MAX);
        let earliest_deadline_at = first.give_up_at;
        if let Some(told) = self.told.get(model) {
            let since = now.saturating_duration_since(told.at);
            let changed = waiting > told.waiting.saturating_mul(2)
                || earliest_deadline_at < told.earliest_deadline_at;
            if since < DEMAND_PAUSE || (!changed && since < DEMAND_REPEAT) {
                return;
            }
        }
        let (workspace, priority) = (first.workspace.clone(), first.priority);
        self.told.insert(
            model.clone(),
            Told {
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
            router: self.me,
            model: model.clone(),
            workspace,
            waiting,
            earliest_deadline_at,
            priority,
        })
    }

    pub(super) fn report_usage(&mut self, now: Instant, actions: &mut Vec<RouterAction>) {
        if now < self.usage_at {
            return;
        }
        self.usage_at = now + USAGE_PAUSE;
        for model in self.used.drain() {
            let running = self.attempts.of_model(&model);
            let usage = Usage {
                router: self.me,
                model,
                running,
                last_used_at: now,
            };
            actions.push(RouterAction::Usage(usage));
        }
        // A model with requests in progress is in use until they end.
        self.used.extend(self.attempts.models().cloned());
    }
}
