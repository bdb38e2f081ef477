//! Requests of a run: they come, wait for an engine, and give up.

use super::outcome::Served;
use super::run::{Run, STEP_MS};
use super::size::FleetSize;
use passway_serving::placement::Waiters;
use passway_serving::upstreams::ModelRef;
use passway_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;

/// Aims for the first token (market sheet).
const BUSY_AIM_MS: u64 = 400;
const RARE_AIM_MS: u64 = 2_500;
/// A request waits at most this long for an engine: 0.45 of a caller's patience.
const BUSY_WAIT_MS: u64 = 1_080;
const RARE_WAIT_MS: u64 = 4_500;
/// Demand moves on to other busy models every so often.
const SHIFT_MS: u64 = 15_000;
/// Busy models fall off by this part from one to the next.
const BUSY_FALL: f64 = 0.7;

/// Which models a request is for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Class {
    /// The models that most requests go to.
    Busy,
    /// All others.
    Rare,
}

impl Class {
    /// Aim for the first token.
    pub(super) fn aim_ms(self) -> u64 {
        match self {
            Self::Busy => BUSY_AIM_MS,
            Self::Rare => RARE_AIM_MS,
        }
    }

    /// How long a request waits before it gives up.
    fn wait_ms(self) -> u64 {
        match self {
            Self::Busy => BUSY_WAIT_MS,
            Self::Rare => RARE_WAIT_MS,
        }
    }
}

/// A request that waits for an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) since_ms: u64,
    pub(super) class: Class,
}

fn wish(model: ModelName) -> ModelRef {
    ModelRef {
        model,
        adapter: None,
    }
}

impl Run {
    /// What the requests of a class got.
    pub(super) fn served(&mut self, class: Class) -> &mut Served {
        match class {
            Class::Busy => &mut self.outcome.busy,
            Class::Rare => &mut self.outcome.rare,
        }
    }

    /// Which model is the busiest now; the others follow it.
    fn first_busy(&self) -> usize {
        usize::try_from(self.now_ms / SHIFT_MS).unwrap_or(0)
    }

    fn draw_busy(&mut self) -> usize {
        let mut rank = 0;
        while rank + 1 < self.size.busy && self.rng.random_bool(BUSY_FALL) {
            rank += 1;
        }
        (self.first_busy() + rank) % self.size.models
    }

    /// The requests of one step come.
    pub(super) fn arrive(&mut self) {
        let step_s = Duration::from_millis(STEP_MS).as_secs_f64();
        let rates_s = [
            (Class::Busy, self.size.busy_per_s),
            (Class::Rare, self.size.rare_per_s),
        ];
        for (class, per_s) in rates_s {
            let mut left = per_s * step_s;
            while left > 0.0 {
                if self.rng.random_bool(left.min(1.0)) {
                    self.arrive_one(class);
                }
                left -= 1.0;
            }
        }
    }

    fn arrive_one(&mut self, class: Class) {
        let model = match class {
            Class::Busy => self.draw_busy(),
            Class::Rare => self.rng.random_range(self.size.busy..self.size.models),
        };
        self.served(class).asked += 1;
        let waiting = Waiting {
            since_ms: self.now_ms,
            class,
        };
        self.waiting.entry(model).or_default().push_back(waiting);
        let now = self.now();
        let wish = wish(FleetSize::model(model));
        self.planner
            .record_arrivals(&FleetSize::service(), &wish, 1, now);
    }

    /// Requests that have waited too long are refused.
    pub(super) fn give_up(&mut self) {
        let now_ms = self.now_ms;
        let mut refused = Vec::new();
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let waits = now_ms < waiting.since_ms + waiting.class.wait_ms();
                if !waits {
                    refused.push(waiting.class);
                }
                waits
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        for class in refused {
            self.served(class).refused += 1;
        }
    }

    /// Tells the planner how many requests wait for each model that stands nowhere.
    pub(super) fn tell_needs(&mut self) {
        let now = self.now();
        let latest_deadline = now + Duration::from_millis(RARE_WAIT_MS);
        let waiting = self.waiting.iter().filter(|(number, _)| {
            let model = FleetSize::model(**number);
            !self.engines.iter().any(|engine| self.stays(engine, &model))
        });
        let counts = waiting.map(|(number, queue)| {
            let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
            (*number, count)
        });
        let counts: BTreeMap<usize, u32> = counts.collect();
        let told = std::mem::replace(&mut self.told, counts.clone());
        let ended = told.into_keys().map(|number| (number, 0));
        let changes: BTreeMap<usize, u32> = ended.chain(counts).collect();
        for (number, count) in changes {
            let waiters = Waiters {
                instance: "all".into(),
                service: FleetSize::service(),
                model_ref: wish(FleetSize::model(number)),
                count,
                latest_deadline,
            };
            self.planner.set_waiters(waiters, now);
        }
    }
}
