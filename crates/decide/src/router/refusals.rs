//! Giving up requests that wait.

use super::queue::Waiting;
use super::{ANSWER_MARGIN, BUSY_RETRY, RouterAction, RouterCore};
use passway_types::prelude::*;

impl RouterCore {
    /// Refuses every waiting request that has waited until its time to give up.
    pub(super) fn refuse_overdue(
        &mut self,
        now: Instant,
        model: &ModelName,
        actions: &mut Vec<RouterAction>,
    ) {
        let start_at = self.expected_start(now, model);
        let wait = start_at.saturating_duration_since(now).max(BUSY_RETRY);
        let refusal =
            Refusal::new(ResultCode::DeadlinePassed, "waited until the deadline").retry_after(wait);
        let due = |waiting: &Waiting| now + ANSWER_MARGIN >= waiting.give_up_at;
        self.refuse_where(model, due, &refusal, actions);
    }

    /// Refuses at once every waiting request whose deadline lies before the expected start.
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
        let too_late = |waiting: &Waiting| ready_at + ANSWER_MARGIN > waiting.give_up_at;
        self.refuse_where(model, too_late, &refusal, actions);
    }

    /// Refuses the waiting requests for a model that match.
    pub(super) fn refuse_where(
        &mut self,
        model: &ModelName,
        matches: impl Fn(&Waiting) -> bool,
        refusal: &Refusal,
        actions: &mut Vec<RouterAction>,
    ) {
        for waiting in self.waiters.remove_where(model, matches) {
            actions.push(RouterAction::Refuse {
                request: waiting.request,
                refusal: waiting.final_answer(refusal.clone()),
            });
        }
    }
}

/// The refusal of a request that would start after its deadline.
pub(super) fn deadline_unreachable(now: Instant, start_at: Instant) -> Refusal {
    let wait = start_at.saturating_duration_since(now);
    let detail = format!("expected to start in {} ms", wait.as_millis());
    Refusal::new(ResultCode::DeadlineUnreachable, detail).retry_after(wait)
}
