//! Forecast of when requests for a model can start, from what the router knows.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Initial estimate of the time that a warm engine takes to serve a request.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Weight of the newest service time in the moving average, as a divisor.
const SERVICE_TIME_DIVISOR: u32 = 8;
/// Time for which new requests get the same refusal that the controller sent for the model.
const REFUSAL_TTL: Duration = Duration::from_millis(250);

/// The controllers' answers to demands and the average service time of requests.
#[derive(Debug)]
pub(super) struct Forecast {
    service_time: Duration,
    ready_at: HashMap<ModelName, Instant>,
    /// The controller's refusal per model and the time until which it applies to new requests.
    refused: HashMap<ModelName, (Instant, Refusal)>,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            service_time: INITIAL_SERVICE_TIME,
            ready_at: HashMap::new(),
            refused: HashMap::new(),
        }
    }
}

impl Forecast {
    /// Adds the service time of a completed request to the moving average.
    pub(super) fn record_service_time(&mut self, duration: Duration) {
        let weighted_previous =
            self.service_time / SERVICE_TIME_DIVISOR * (SERVICE_TIME_DIVISOR - 1);
        self.service_time = weighted_previous + duration / SERVICE_TIME_DIVISOR;
    }

    /// Sets when the controller expects the model to be ready.
    pub(super) fn set_ready_at(&mut self, model: &ModelName, ready_at: Instant) {
        self.ready_at.insert(model.clone(), ready_at);
    }

    /// Returns when the controller expects the model to be ready.
    pub(super) fn ready_at(&self, model: &str) -> Option<Instant> {
        self.ready_at.get(model).copied()
    }

    /// Records that the controller refused the model.
    pub(super) fn set_refusal(&mut self, now: Instant, model: &ModelName, refusal: Refusal) {
        self.ready_at.remove(model);
        let until = now + REFUSAL_TTL;
        self.refused.insert(model.clone(), (until, refusal));
    }

    /// Returns the refusal that new requests for the model get, if one is in effect.
    pub(super) fn active_refusal(&mut self, now: Instant, model: &ModelName) -> Option<Refusal> {
        self.refused.retain(|_, (until, _)| *until > now);
        self.refused.get(model).map(|(_, refusal)| refusal.clone())
    }

    /// Forgets the controller's answers about a model, because a route to the model now exists.
    pub(super) fn clear(&mut self, model: &ModelName) {
        self.ready_at.remove(model);
        self.refused.remove(model);
    }

    /// Returns when a request is expected to start with `ahead` requests before it in the queue.
    ///
    /// `slots` is the number of requests that can run at once; `None` if the model has no route.
    pub(super) fn expected_start(
        &self,
        now: Instant,
        model: &str,
        slots: Option<u32>,
        ahead: usize,
    ) -> Instant {
        let Some(slots) = slots else {
            return self.ready_at(model).unwrap_or(now).max(now);
        };
        let rounds = u32::try_from(ahead).unwrap_or(u32::MAX) / slots.max(1);
        now + self.service_time.saturating_mul(rounds)
    }
}
