//! When a request that finds no slot will begin, from the rate at which runs end.
//!
//! A dispatcher counts the ends of runs on each engine, and the time that runs have spent there.
//! Their ratio is the rate at which one run ends; multiplied by the current number of runs, it is
//! the rate at which slots become free. An engine that was half empty a moment ago is therefore not
//! taken for a slow one. Runs that expire because nobody reports them are not counted as ends.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Time constant of the decay. An observation has a seventh of its weight after two seconds, so
/// that a sudden change of the engines' speed is known by then.
const DECAY_DURATION: Duration = Duration::from_secs(1);
/// Fewer ends than this give no forecast: the relative error of the rate is then above 0.3.
const MIN_ENDS: u32 = 12;
/// Fewer ends than this, weighted by age, say nothing about the present rate: the first ends after a
/// time without load would seem to be all that the engines can do.
const MIN_RECENT_ENDS: f64 = 4.0;
/// Without an end for this long, the rate is unknown: the engines are stopped, or the messages
/// about ends are lost. Requests then wait as they would without a forecast.
const MAX_AGE: Duration = Duration::from_secs(1);
/// An engine without an end for this long is forgotten; its runs will differ.
const ENGINE_TTL: Duration = Duration::from_secs(30);
/// Weight of the latest observation in the mean of the forecast's error, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of the latest observation in the deviation of the forecast's error, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// The deviation before the first observation.
const INITIAL_DEVIATION: f64 = 0.25;
/// Forecasts below this say nothing about the error of longer ones: the interval between two
/// queries, 50 ms, is a large part of them.
const MIN_MEASURED_WAIT: Duration = Duration::from_millis(150);
/// Largest ratio of the actual to the expected wait that is counted. A single larger one would
/// disable refusals for a long time.
const MAX_RATIO: f64 = 3.0;
/// Smallest fraction of the forecast that a request can count on. With less, requests would wait
/// that twice as many others precede.
const MIN_SAFETY: f64 = 0.5;
/// Longest forecast; far longer than any request waits.
const MAX_WAIT_S: f64 = 600.0;

/// The weight of an observation of this age.
pub(super) fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_DURATION.as_secs_f64()).exp()
}

/// The ends of runs on one engine.
#[derive(Debug, Clone, Copy)]
struct EndCounts {
    /// Ends, decayed.
    ends: f64,
    /// Time that runs have spent on the engine, decayed.
    run_s: f64,
    /// All ends since the engine is known.
    observed: u32,
    last_end_at: Instant,
    /// The number of runs since `at`.
    load: u32,
    /// The time up to which the other values are computed.
    at: Instant,
}

impl EndCounts {
    /// The values at a later time.
    fn advanced(self, now: Instant) -> Self {
        let passed = now.saturating_duration_since(self.at);
        let decay_s = DECAY_DURATION.as_secs_f64();
        let factor = decay_factor(passed);
        Self {
            ends: self.ends * factor,
            run_s: self.run_s * factor + f64::from(self.load) * decay_s * (1.0 - factor),
            at: now,
            ..self
        }
    }
}

/// The rate at which slots become free on some engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeRate {
    /// Slots a second.
    pub per_s: f64,
    /// The number of ends that were observed on the engines.
    pub ends: u32,
    /// The number of ends that the rate is based on, weighted by age.
    pub weight: f64,
    /// Time since the last of them.
    pub age: Duration,
}

impl FreeRate {
    /// The time until this many slots are free.
    pub fn time_for(&self, slots: f64) -> Duration {
        if self.per_s <= 0.0 {
            return Duration::from_secs_f64(MAX_WAIT_S);
        }
        Duration::from_secs_f64((slots / self.per_s).clamp(0.0, MAX_WAIT_S))
    }
}

/// The expected begin of a request, with the inputs of the forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedBegin {
    /// The expected time until the request begins.
    pub wait: Duration,
    /// Requests that precede it and could use the same engines.
    pub waiters_ahead: usize,
    /// Free slots of these engines.
    pub free_slots: u32,
    /// The rate at which more become free.
    pub rate: FreeRate,
}

/// Forecasts when requests begin, and the error of these forecasts.
#[derive(Debug)]
pub struct BeginForecast {
    engines: HashMap<UpstreamId, EndCounts>,
    /// Mean and deviation of the ratio of the actual to the expected wait.
    mean_ratio: f64,
    deviation: f64,
}

impl Default for BeginForecast {
    fn default() -> Self {
        Self {
            engines: HashMap::new(),
            mean_ratio: 1.0,
            deviation: INITIAL_DEVIATION,
        }
    }
}

impl BeginForecast {
    /// Records the end of a run on an engine that had this many runs, including that one.
    pub fn record_end(&mut self, engine: &UpstreamId, load: u32, now: Instant) {
        let Some(counts) = self.engines.get_mut(engine) else {
            // The time before the first end is unknown, so the first end is not counted.
            let counts = EndCounts {
                ends: 0.0,
                run_s: 0.0,
                observed: 0,
                last_end_at: now,
                load: load.saturating_sub(1),
                at: now,
            };
            self.engines.insert(engine.clone(), counts);
            return;
        };
        *counts = counts.advanced(now);
        counts.ends += 1.0;
        counts.observed = counts.observed.saturating_add(1);
        counts.last_end_at = now;
        counts.load = load.saturating_sub(1);
    }

    /// Records that an engine has this many runs from now on.
    pub fn record_load(&mut self, engine: &str, load: u32, now: Instant) {
        if let Some(counts) = self.engines.get_mut(engine) {
            *counts = counts.advanced(now);
            counts.load = load;
        }
    }

    /// The rate at which slots become free on engines with these numbers of runs; `None` if too
    /// little is known. An engine without observations counts like the mean of the others.
    pub fn rate<'a>(
        &self,
        engines: impl Iterator<Item = (&'a UpstreamId, u32)>,
        now: Instant,
    ) -> Option<FreeRate> {
        let (mut ends, mut run_s, mut observed, mut unknown_load) = (0.0, 0.0, 0_u32, 0_u32);
        let (mut per_s, mut last_end_at) = (0.0, None);
        for (engine, load) in engines {
            let Some(counts) = self.engines.get(engine) else {
                unknown_load = unknown_load.saturating_add(load);
                continue;
            };
            let current = counts.advanced(now);
            ends += current.ends;
            run_s += current.run_s;
            observed = observed.saturating_add(current.observed);
            last_end_at = last_end_at.max(Some(counts.last_end_at));
            if current.run_s > 0.0 {
                per_s += f64::from(load) * current.ends / current.run_s;
            }
        }
        let age = now.saturating_duration_since(last_end_at?);
        if observed < MIN_ENDS || ends < MIN_RECENT_ENDS || age > MAX_AGE || run_s <= 0.0 {
            return None;
        }
        per_s += f64::from(unknown_load) * ends / run_s;
        Some(FreeRate {
            per_s,
            ends: observed,
            weight: ends,
            age,
        })
    }

    /// The shortest wait to count on for an expected one, given the error of earlier forecasts and
    /// the number of ends that the rate is based on.
    pub fn shortest_wait(&self, expected: Duration, rate: &FreeRate) -> Duration {
        let safety = (self.mean_ratio - self.deviation).clamp(MIN_SAFETY, 1.0);
        // The standard error of a rate from this many ends.
        let rate_error = 1.0 / rate.weight.max(f64::MIN_POSITIVE).sqrt();
        expected.mul_f64(safety / (1.0 + rate_error))
    }

    /// Records how long a request waited, or would have waited had it not been refused.
    pub fn record_wait(&mut self, expected: Duration, actual: Duration) {
        if expected < MIN_MEASURED_WAIT {
            return;
        }
        let ratio = (actual.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO);
        let error = (ratio - self.mean_ratio).abs();
        self.deviation += DEVIATION_GAIN * (error - self.deviation);
        self.mean_ratio += MEAN_GAIN * (ratio - self.mean_ratio);
    }

    /// Removes engines on which no run has ended for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.engines
            .retain(|_, counts| now.saturating_duration_since(counts.last_end_at) < ENGINE_TTL);
    }
}
