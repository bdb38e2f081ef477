//! Admission: whether a request is accepted.

use super::queue::WaitingRequest;
use super::{Arrival, BUSY_RETRY_AFTER, DEADLINE_MARGIN, DEFAULT_PRIORITY, RouterCore};
use passway_config::policy::Attributes;
use passway_types::prelude::*;

impl RouterCore {
    /// Checks whether this router accepts new requests.
    ///
    /// # Errors
    /// The refusal for every new request, while the router drains or its configuration is out of
    /// date.
    pub fn check_serving(&self, now: Instant) -> Result<(), Refusal> {
        if self.is_draining {
            let refusal = Refusal::new(ResultCode::Draining, "this instance is leaving");
            return Err(refusal.retry_after(Duration::ZERO));
        }
        let current_until = self.config_current_until;
        if current_until.is_some_and(|until| now >= until || self.catalog.revision == 0) {
            let refusal = Refusal::new(ResultCode::ConfigStale, "no word of the configuration");
            return Err(refusal.retry_after(BUSY_RETRY_AFTER));
        }
        Ok(())
    }

    /// Resolves the names in a request and applies the policy to it.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        arrival: &Arrival,
    ) -> Result<(ModelName, WaitingRequest), Refusal> {
        self.check_serving(now)?;
        let unknown_model = || Refusal::new(ResultCode::UnknownModel, arrival.model.clone());
        let model = self
            .catalog
            .resolve(&arrival.model)
            .ok_or_else(unknown_model)?
            .name
            .clone();
        let unknown_workspace =
            || Refusal::new(ResultCode::UnknownWorkspace, arrival.workspace.clone());
        let workspace = self
            .catalog
            .workspaces
            .get(arrival.workspace.as_str())
            .ok_or_else(unknown_workspace)?;
        if self.waiters.count_of_workspace(&workspace.name) >= workspace.max_waiting {
            return Err(Refusal::new(
                ResultCode::QueueFull,
                "too many requests of the workspace wait",
            )
            .retry_after(BUSY_RETRY_AFTER));
        }
        let requested_priority = arrival.priority.unwrap_or(DEFAULT_PRIORITY);
        let decision = self.catalog.policy.rule(&Attributes {
            workspace: &workspace.name,
            model: &model,
            kind: &arrival.kind,
            priority: requested_priority,
        });
        let deadline_at = arrival
            .deadline_at
            .unwrap_or(now + workspace.default_deadline);
        let may_wait_until = decision.may_wait.map(|may_wait| now + may_wait);
        let waiting = WaitingRequest {
            request: arrival.request,
            workspace: workspace.name.clone(),
            requested_priority,
            priority: decision.priority.unwrap_or(DEFAULT_PRIORITY),
            deadline_at,
            give_up_at: may_wait_until.map_or(deadline_at, |at| at.min(deadline_at)),
            max_running: decision.max_running,
            may_have_run: false,
        };
        self.check_reachable(now, &model, &waiting)?;
        Ok((model, waiting))
    }

    /// Refuses a request that is known not to start in time.
    fn check_reachable(
        &mut self,
        now: Instant,
        model: &ModelName,
        waiting: &WaitingRequest,
    ) -> Result<(), Refusal> {
        if let Some(refusal) = self.forecast.active_refusal(now, model) {
            return Err(refusal);
        }
        let start_at = self.expected_start(now, model);
        if start_at + DEADLINE_MARGIN > waiting.give_up_at {
            return Err(super::refusals::deadline_unreachable(now, start_at));
        }
        Ok(())
    }
}
