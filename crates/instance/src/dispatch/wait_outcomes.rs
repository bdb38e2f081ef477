//! Logs and counts what a dispatcher's decisions say about its forecast of waits.

use crate::metrics::ForecastOutcome;
use crate::relay::millis;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::dispatch::{EngineRequest, RefusedWait, WaitOutcome};

/// Logs and counts one decision.
pub(super) fn record(shared: &Shared, request: &EngineRequest<'_>, outcome: &WaitOutcome) {
    let metrics = &shared.metrics;
    let Some(refused) = &outcome.refused else {
        if outcome.is_return {
            metrics.forecast_outcome(ForecastOutcome::ReturnGranted);
        }
        if let Some(expected) = outcome.expected {
            metrics.forecast_error(expected, outcome.waited);
        }
        return;
    };
    metrics.forecast_outcome(if refused.retry.is_repeated {
        ForecastOutcome::RefusedEarly
    } else if outcome.is_return {
        ForecastOutcome::ReturnRefused
    } else {
        ForecastOutcome::Refused
    });
    // A caller that returns early, or whose request waits at another dispatcher, is refused again
    // for the same reason.
    if !refused.retry.is_repeated {
        log_refusal(request, outcome, refused);
    }
}

fn log_refusal(request: &EngineRequest<'_>, outcome: &WaitOutcome, refused: &RefusedWait) {
    let RefusedWait { begin, left, retry } = refused;
    log::info!(target: REQUEST_TARGET, from:% = request.key.instance, run_id = request.key.id,
        model:% = request.model_ref.model, waiters_ahead = begin.waiters_ahead,
        free_slots = begin.free_slots, rate_per_s = begin.rate.per_s, ends_observed = begin.rate.ends,
        last_end_age_ms = millis(begin.rate.age), expected_wait_ms = millis(begin.wait),
        wait_left_ms = millis(*left), waited_ms = millis(outcome.waited),
        is_return = outcome.is_return, retry_ms = millis(retry.after);
        "a request cannot begin in its time");
}
