//! When a model's requests can start, as far as a router knows.

use passway_types::prelude::*;
use std::collections::HashMap;

/// First guess of the time that a warm engine needs for a whole request.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Weight of the newest service time in the moving average, as a divisor.
const SERVICE_TIME_DIVISOR: u32 = 8;
/// Time for which a refusal by the controller answers new arrivals too.
const REFUSAL_TTL: Duration = Duration::from_millis(250);

/// What controllers answered to demands, and how long requests take.
#[derive(Debug)]
pub(super) struct Forecast {
    service_time: Duration,
    ready_at: HashMap<ModelName, Instant>,
    /// Refusals by the controller, each with the moment until which it is repeated.
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
    /// A request was served in so much time.
    pub(super) fn record_service_time(&mut self, duration: Duration) {
        let previous_part = self.service_time / SERVICE_TIME_DIVISOR * (SERVICE_TIME_DIVISOR - 1);
        self.service_time = previous_part + duration / SERVICE_TIME_DIVISOR;
    }

    /// The controller expects the model to be ready at a moment.
    pub(super) fn set_ready_at(&mut self, model: &ModelName, ready_at: Instant) {
        self.ready_at.insert(model.clone(), ready_at);
    }

    /// When the controller expects the model to be ready.
    pub(super) fn ready_at(&self, model: &str) -> Option<Instant> {
        self.ready_at.get(model).copied()
    }

    /// The controller refused the model.
    pub(super) fn set_refusal(&mut self, now: Instant, model: &ModelName, refusal: Refusal) {
        self.ready_at.remove(model);
        let until = now + REFUSAL_TTL;
        self.refused.insert(model.clone(), (until, refusal));
    }

    /// The refusal that new arrivals for the model get.
    pub(super) fn active_refusal(&mut self, now: Instant, model: &ModelName) -> Option<Refusal> {
        self.refused.retain(|_, (until, _)| *until > now);
        self.refused.get(model).map(|(_, refusal)| refusal.clone())
    }

    /// A route to the model is there: what controllers answered before is void.
    pub(super) fn clear(&mut self, model: &ModelName) {
        self.ready_at.remove(model);
        self.refused.remove(model);
    }

    /// When a request is expected to start with so many before it.
    ///
    /// `slots` is how many run at one time; `None` if the model has no route.
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
