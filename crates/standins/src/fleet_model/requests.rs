//! Arrival, queueing and refusal of requests.

use super::outcome::ClassOutcome;
use super::run::{Run, STEP_MS};
use super::size::FleetSize;
use passway_serving::placement::Waiters;
use passway_serving::upstreams::ModelRef;
use passway_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;

/// Latency target for the first token of busy models, from the users' sheet of the market.
const BUSY_TARGET_MS: u64 = 400;
/// Latency target for the first token of rare models, from the same sheet.
const RARE_TARGET_MS: u64 = 2_500;
/// Maximum time that a request for a busy model waits for an engine: 0.45 of the caller's deadline.
const BUSY_MAX_WAIT_MS: u64 = 1_080;
/// Maximum time that a request for a rare model waits for an engine: 0.45 of the caller's deadline.
const RARE_MAX_WAIT_MS: u64 = 4_500;
/// Interval after which the set of busy models moves on by one model.
const BUSY_SHIFT_INTERVAL_MS: u64 = 15_000;
/// Ratio of the demand for a busy model to the demand for the next busier one.
const BUSY_DECAY_RATIO: f64 = 0.7;

/// The class of model that a request is for.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestClass {
    /// The models that most requests go to.
    Busy,
    /// All others.
    Rare,
}

impl RequestClass {
    /// Returns the latency target for the first token.
    pub(super) fn target_ms(self) -> u64 {
        match self {
            Self::Busy => BUSY_TARGET_MS,
            Self::Rare => RARE_TARGET_MS,
        }
    }

    /// Returns the maximum time that a request waits for an engine.
    fn max_wait_ms(self) -> u64 {
        match self {
            Self::Busy => BUSY_MAX_WAIT_MS,
            Self::Rare => RARE_MAX_WAIT_MS,
        }
    }
}

/// A request that waits for an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) arrived_at_ms: u64,
    pub(super) class: RequestClass,
}

/// Refers to a model without an adapter.
fn base_model_ref(model: ModelName) -> ModelRef {
    ModelRef {
        model,
        adapter: None,
    }
}

impl Run {
    /// Returns the results of a class.
    pub(super) fn class_outcome(&mut self, class: RequestClass) -> &mut ClassOutcome {
        match class {
            RequestClass::Busy => &mut self.outcome.busy,
            RequestClass::Rare => &mut self.outcome.rare,
        }
    }

    /// Returns the number of the busiest model. The other busy models have the numbers after it.
    fn busiest_model(&self) -> usize {
        usize::try_from(self.now_ms / BUSY_SHIFT_INTERVAL_MS).unwrap_or(0)
    }

    /// Draws a busy model; its rank has a truncated geometric distribution.
    fn random_busy_model(&mut self) -> usize {
        let mut rank = 0;
        while rank + 1 < self.size.busy_models && self.rng.random_bool(BUSY_DECAY_RATIO) {
            rank += 1;
        }
        (self.busiest_model() + rank) % self.size.models
    }

    /// Adds the requests that arrive in one step.
    pub(super) fn add_arrivals(&mut self) {
        let step_s = Duration::from_millis(STEP_MS).as_secs_f64();
        let rates_per_s = [
            (RequestClass::Busy, self.size.busy_per_s),
            (RequestClass::Rare, self.size.rare_per_s),
        ];
        for (class, per_s) in rates_per_s {
            let mut mean = per_s * step_s;
            while mean > 0.0 {
                if self.rng.random_bool(mean.min(1.0)) {
                    self.add_arrival(class);
                }
                mean -= 1.0;
            }
        }
    }

    /// Adds one request and reports its arrival to the planner.
    fn add_arrival(&mut self, class: RequestClass) {
        let model = match class {
            RequestClass::Busy => self.random_busy_model(),
            RequestClass::Rare => self
                .rng
                .random_range(self.size.busy_models..self.size.models),
        };
        self.class_outcome(class).asked += 1;
        let waiting = WaitingRequest {
            arrived_at_ms: self.now_ms,
            class,
        };
        self.waiting.entry(model).or_default().push_back(waiting);
        let now = self.now();
        let model_ref = base_model_ref(FleetSize::model(model));
        self.planner
            .record_arrivals(&FleetSize::service(), &model_ref, 1, now);
    }

    /// Refuses the requests that have waited too long.
    pub(super) fn refuse_expired(&mut self) {
        let now_ms = self.now_ms;
        let mut refused = Vec::new();
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let can_wait = now_ms < waiting.arrived_at_ms + waiting.class.max_wait_ms();
                if !can_wait {
                    refused.push(waiting.class);
                }
                can_wait
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        for class in refused {
            self.class_outcome(class).refused += 1;
        }
    }

    /// Reports to the planner how many requests wait for each model that is available
    /// on no engine.
    pub(super) fn report_waiters(&mut self) {
        let now = self.now();
        let latest_deadline = now + Duration::from_millis(RARE_MAX_WAIT_MS);
        let waiting = self.waiting.iter().filter(|(number, _)| {
            let model = FleetSize::model(**number);
            !self
                .engines
                .iter()
                .any(|engine| self.is_available(engine, &model))
        });
        let counts = waiting.map(|(number, queue)| {
            let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
            (*number, count)
        });
        let counts: BTreeMap<usize, u32> = counts.collect();
        let reported = std::mem::replace(&mut self.reported, counts.clone());
        let ended = reported.into_keys().map(|number| (number, 0));
        let changes: BTreeMap<usize, u32> = ended.chain(counts).collect();
        for (number, count) in changes {
            let waiters = Waiters {
                instance: "all".into(),
                service: FleetSize::service(),
                model_ref: base_model_ref(FleetSize::model(number)),
                required_software: None,
                count,
                latest_deadline,
            };
            self.planner.set_waiters(waiters, now);
        }
    }
}
