//! Retries of a request, taken from the share of the fleet's budget that this instance may spend.

use super::Forwarding;
use crate::metrics::RetryDecision;
use crate::relay::age_ms;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::retry::SpentRetry;
use passway_types::clock;
use passway_types::prelude::*;

/// A retry that an attempt may use. Dropping it returns it to the budget.
#[derive(Debug)]
#[must_use]
pub(super) struct TakenRetry {
    shared: Arc<Shared>,
    service: ServiceName,
    /// What the budget was charged; `None` if no earlier attempt arrived at an upstream, or once the
    /// retry is spent.
    refundable: Option<SpentRetry>,
}

impl TakenRetry {
    /// Spends the retry, because the request may have arrived at an upstream.
    pub(super) fn spend(mut self) {
        self.refundable = None;
    }
}

impl Drop for TakenRetry {
    fn drop(&mut self) {
        if let Some(spent) = self.refundable.take() {
            self.shared.retry_budget().refund(&self.service, spent);
            self.shared.metrics.retry(RetryDecision::Returned);
        }
    }
}

impl Forwarding<'_> {
    /// Whether a retry is left now. Another request may take it before this one does.
    pub(super) fn has_retry(&self) -> bool {
        let now = clock::now();
        self.shared.retry_budget().can_spend(&self.service, now)
    }

    /// Takes a retry for another attempt; `None` if none is left. The budget is charged only if an
    /// earlier attempt may have arrived at an upstream.
    pub(super) fn take_retry(&self) -> Option<TakenRetry> {
        let has_arrived = self.request_log.offers > self.request_log.not_sent;
        let refundable = if has_arrived {
            let Some(spent) = self.spend_retry() else {
                self.shared.metrics.retry(RetryDecision::UsedUp);
                return None;
            };
            self.shared.metrics.retry(RetryDecision::Spent);
            Some(spent)
        } else {
            self.shared.metrics.retry(RetryDecision::Free);
            None
        };
        Some(TakenRetry {
            shared: self.shared.clone(),
            service: self.service.clone(),
            refundable,
        })
    }

    /// Charges the budget. The log line says what has paid: where servers received too many retries, the lines tell
    /// how many were spent, and whether requests or the fixed share had earned them.
    fn spend_retry(&self) -> Option<SpentRetry> {
        let now = clock::now();
        let mut budget = self.shared.retry_budget();
        let spent = budget.try_spend(&self.service, now)?;
        let available = budget.available(&self.service, now);
        drop(budget);
        log::debug!(target: REQUEST_TARGET, request = self.facts.id, service:% = self.service,
            from_share = spent.share(), oldest_ms = age_ms(spent.earned_at()), available = available; "retry spent");
        Some(spent)
    }
}
