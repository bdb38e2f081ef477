//! Messages from the holder of a term to routers: routes and answers to demands.

use super::Action;
use super::placing::{self, DecisionContext};
use super::term::{Stage, Term};
use super::upstreams::Upstreams;
use crate::messages::{DemandVerdict, RouteChange};
use crate::plan::PlacementState;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Time for upstreams to send their first report before routes are published.
const FIRST_REPORT_WINDOW: Duration = Duration::from_secs(1);
/// Retry-after hint while the key-value service does not answer.
const CONTROL_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Term {
    /// Answers the demands whose answer is new or has changed.
    ///
    /// A holder whose lease has expired answers none unless it knows that the key-value service is
    /// down. Otherwise the renewed lease or the next holder serves the demand, which the router
    /// sends again.
    pub(super) fn answer_demands(
        &mut self,
        context: DecisionContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let is_service_down = self.is_service_down(now);
        if !self.has_lease(now) && !is_service_down {
            return;
        }
        for demand in self.demands.by_urgency() {
            let model = &demand.model;
            if self.is_routed(model) {
                continue;
            }
            let verdict = if let Some(code) = self.unplaceable.remove(model) {
                let retry_at = now + placing::refusal_retry_after(self, now);
                DemandVerdict::Refused { code, retry_at }
            } else if is_service_down && !self.is_loading(model) {
                let code = ResultCode::ControlUnavailable;
                DemandVerdict::Refused {
                    code,
                    retry_at: now + CONTROL_RETRY_AFTER,
                }
            } else {
                let ready_at = placing::estimate_ready(self, context, &demand);
                DemandVerdict::ReadyAt(ready_at)
            };
            for router in self.demands.mark_sent(model, verdict) {
                actions.push(Action::AnswerDemand {
                    router,
                    model: model.clone(),
                    verdict,
                });
            }
        }
    }

    fn is_routed(&self, model: &str) -> bool {
        let routes = self.published_routes.as_ref();
        routes.is_some_and(|routes| {
            routes
                .iter()
                .any(|(routed_model, _)| &**routed_model == model)
        })
    }

    fn is_loading(&self, model: &str) -> bool {
        let mut replicas = self.committed.plan().replicas(model);
        replicas.any(|p| {
            p.state == PlacementState::Held
                && matches!(self.stage(p.id), Stage::Loading | Stage::Ready)
        })
    }

    /// Whether every upstream has reported or had the time to. Before that, missing capacity would
    /// only mean that no upstream has been polled yet.
    pub(super) fn has_upstream_reports(&self, now: Instant, upstreams: &Upstreams) -> bool {
        let all_reported = upstreams.iter().all(|view| view.status.is_some());
        all_reported || now >= self.started_at + FIRST_REPORT_WINDOW
    }

    pub(super) fn publish(
        &mut self,
        upstreams: &Upstreams,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.published_routes.is_none() && !self.has_upstream_reports(now, upstreams) {
            return;
        }
        let routes = self.routes(upstreams);
        let change = match &self.published_routes {
            None => RouteChange {
                added: routes.iter().cloned().collect(),
                removed: vec![],
                is_snapshot: true,
            },
            Some(previous) => RouteChange {
                added: routes.difference(previous).cloned().collect(),
                removed: previous.difference(&routes).cloned().collect(),
                is_snapshot: false,
            },
        };
        if change.is_snapshot || !change.added.is_empty() || !change.removed.is_empty() {
            actions.push(Action::PublishRoutes(change));
            self.published_routes = Some(routes);
        }
    }

    fn routes(&self, upstreams: &Upstreams) -> BTreeSet<(ModelName, UpstreamId)> {
        let is_serving = |id: &UpstreamId| {
            upstreams
                .get(id)
                .is_some_and(|view| view.is_reachable && !view.is_leaving())
        };
        self.plan()
            .placements()
            .filter(|p| p.state == PlacementState::Held && self.stage(p.id) == Stage::Ready)
            .filter(|p| is_serving(&p.upstream))
            .map(|p| (p.model.clone(), p.upstream.clone()))
            .collect()
    }
}
