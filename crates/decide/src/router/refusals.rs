//! Refusal of waiting requests.

use super::queue::WaitingRequest;
use super::{BUSY_RETRY_AFTER, DEADLINE_MARGIN, RouterAction, RouterCore};
use passway_types::prelude::*;

impl RouterCore {
    /// Refuses every waiting request whose time to give up has come.
    pub(super) fn refuse_expired(
        &mut self,
        now: Instant,
        model: &ModelName,
        actions: &mut Vec<RouterAction>,
    ) {
        let start_at = self.expected_start(now, model);
        let wait = start_at
            .saturating_duration_since(now)
            .max(BUSY_RETRY_AFTER);
        let refusal =
            Refusal::new(ResultCode::DeadlinePassed, "waited until the deadline").retry_after(wait);
        let is_expired = |waiting: &WaitingRequest| now + DEADLINE_MARGIN >= waiting.give_up_at;
        self.refuse_matching(model, is_expired, &refusal, actions);
    }

    /// Refuses every waiting request that must give up before the expected start.
    pub(super) fn refuse_unreachable(
        &mut self,
        now: Instant,
        model: &ModelName,
        actions: &mut Vec<RouterAction>,
    ) {
        if self.replicas.has_route(model) {
            return;
        }
        let Some(ready_at) = self.forecast.ready_at(model) else {
            return;
        };
        let refusal = deadline_unreachable(now, ready_at);
        let is_too_late =
            |waiting: &WaitingRequest| ready_at + DEADLINE_MARGIN > waiting.give_up_at;
        self.refuse_matching(model, is_too_late, &refusal, actions);
    }

    /// Refuses the waiting requests for a model that match.
    pub(super) fn refuse_matching(
        &mut self,
        model: &ModelName,
        matches: impl Fn(&WaitingRequest) -> bool,
        refusal: &Refusal,
        actions: &mut Vec<RouterAction>,
    ) {
        for waiting in self.waiters.remove_matching(model, matches) {
            actions.push(RouterAction::Refuse {
                request: waiting.request,
                refusal: waiting.final_refusal(refusal.clone()),
            });
        }
    }
}

/// Returns the refusal for a request that would start after its deadline.
pub(super) fn deadline_unreachable(now: Instant, start_at: Instant) -> Refusal {
    let wait = start_at.saturating_duration_since(now);
    let detail = format!("expected to start in {} ms", wait.as_millis());
    Refusal::new(ResultCode::DeadlineUnreachable, detail).retry_after(wait)
}
