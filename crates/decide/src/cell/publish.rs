//! What the holder of a term tells routers: routes, and answers to demands.

use super::Action;
use super::placing::{self, Scene};
use super::term::{Stage, Term};
use super::upstreams::Upstreams;
use crate::messages::{DemandVerdict, RouteChange};
use crate::plan::PlacementState;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Time given to upstreams for a first report before routes are published.
const FIRST_REPORTS: Duration = Duration::from_secs(1);
/// Retry hint when the key-value service does not answer.
const CONTROL_RETRY: Duration = Duration::from_secs(2);
impl Term {
    pub(super) fn answer_demands(&mut self, scene: Scene<'_>, actions: &mut Vec<Action>) {
        let now = scene.now;
        for demand in self.demands.in_order() {
            let model = &demand.model;
            if self.is_routed(model) {
                continue;
            }
            let verdict = if let Some(code) = self.refused.remove(model) {
                let retry_at = now + placing::retry_after_refusal(self, now);
                DemandVerdict::Refused { code, retry_at }
            } else if self.is_blocked(now) && !self.is_loading(model) {
                let code = ResultCode::ControlUnavailable;
                DemandVerdict::Refused {
                    code,
                    retry_at: now + CONTROL_RETRY,
                }
            } else {
                let ready_at = placing::estimate_ready(self, scene, &demand);
                DemandVerdict::ReadyAt(ready_at)
            };
            for router in self.demands.tell(model, verdict) {
                actions.push(Action::AnswerDemand {
                    router,
                    model: model.clone(),
                    verdict,
                });
            }
        }
    }

    fn is_routed(&self, model: &str) -> bool {
        let routes = self.published.as_ref();
        routes.is_some_and(|routes| routes.iter().any(|(routed, _)| &**routed == model))
    }

    fn is_loading(&self, model: &str) -> bool {
        let mut replicas = self.committed.plan().replicas(model);
        replicas.any(|p| {
            p.state == PlacementState::Held
                && matches!(self.stage(p.id), Stage::Loading | Stage::Ready)
        })
    }

    /// Whether every upstream has reported, or has had the time to. Before that
    /// "no room" would only mean "nobody asked yet".
    pub(super) fn knows_upstreams(&self, now: Instant, upstreams: &Upstreams) -> bool {
        let heard_all = upstreams.iter().all(|view| view.status.is_some());
        heard_all || now >= self.started_at + FIRST_REPORTS
    }

    pub(super) fn publish(
        &mut self,
        upstreams: &Upstreams,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.published.is_none() && !self.knows_upstreams(now, upstreams) {
            return;
        }
        let routes = self.routes(upstreams);
        let change = match &self.published {
            None => RouteChange {
                added: routes.iter().cloned().collect(),
                removed: vec![],
                whole: true,
            },
            Some(before) => RouteChange {
                added: routes.difference(before).cloned().collect(),
                removed: before.difference(&routes).cloned().collect(),
                whole: false,
            },
        };
        if change.whole || !change.added.is_empty() || !change.removed.is_empty() {
            actions.push(Action::Publish(change));
            self.published = Some(routes);
        }
    }

    fn routes(&self, upstreams: &Upstreams) -> BTreeSet<(ModelName, UpstreamId)> {
        let serves = |id: &UpstreamId| {
            upstreams
                .get(id)
                .is_some_and(|view| view.reachable && !view.is_leaving())
        };
        self.plan()
            .placements()
            .filter(|p| p.state == PlacementState::Held && self.stage(p.id) == Stage::Ready)
            .filter(|p| serves(&p.upstream))
            .map(|p| (p.model.clone(), p.upstream.clone()))
            .collect()
    }
}
