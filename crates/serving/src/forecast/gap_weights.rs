//! Distributions of times in the buckets of a [`GapHistogram`], with weights instead of counts.

use super::{GAP_BOUNDS_MS, GAP_BUCKETS, GapHistogram};
use passway_types::prelude::*;

/// Largest number of times that one report may add. In the 500 ms between two reports a stream has
/// some twenty events; an absurd count must not outweigh what others have observed.
const MAX_REPORTED: f64 = 100.0;

/// A distribution of times: the weight of each bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct GapWeights([f64; GAP_BUCKETS]);

impl GapWeights {
    /// The distribution that a histogram counts.
    pub(super) fn of_histogram(histogram: &GapHistogram) -> Self {
        let mut weights = Self::default();
        for (weight, count) in weights.0.iter_mut().zip(histogram.counts()) {
            *weight = f64::from(*count);
        }
        weights
    }

    /// What one report counts, limited to what a stream can have.
    pub(super) fn of_report(histogram: &GapHistogram) -> Self {
        let weights = Self::of_histogram(histogram);
        let total = weights.total();
        weights.scaled(MAX_REPORTED / total.max(MAX_REPORTED))
    }

    /// A distribution with the given ratio of times at or above the lower bound of each bucket.
    pub(super) fn of_ratios_above(ratios: &[f64; GAP_BUCKETS]) -> Self {
        let mut weights = Self::default();
        let next = ratios.iter().skip(1).chain(std::iter::once(&0.0));
        for (weight, (ratio, next)) in weights.0.iter_mut().zip(ratios.iter().zip(next)) {
            *weight = ratio - next;
        }
        weights
    }

    /// The ratio of times at or above the lower bound of each bucket.
    pub(super) fn ratios_above(&self) -> [f64; GAP_BUCKETS] {
        let total = self.total().max(f64::MIN_POSITIVE);
        let mut above = 0.0;
        let mut ratios = [0.0; GAP_BUCKETS];
        for (ratio, weight) in ratios.iter_mut().zip(self.0).rev() {
            above += weight / total;
            *ratio = above;
        }
        ratios
    }

    /// The sum of the weights.
    pub(super) fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// All weights multiplied by a factor.
    pub(super) fn scaled(&self, factor: f64) -> Self {
        Self(self.0.map(|weight| weight * factor))
    }

    /// This distribution with `weight` times the other one added.
    pub(super) fn plus(&self, other: &Self, weight: f64) -> Self {
        let mut sum = *self;
        for (own, added) in sum.0.iter_mut().zip(other.0) {
            *own += weight * added;
        }
        sum
    }

    /// The weight of the times above a limit.
    pub(super) fn above(&self, limit: &Limit) -> f64 {
        let weights = self.0.iter().zip(&limit.0);
        weights.map(|(weight, above)| weight * above).sum()
    }

    /// The mean time; zero of an empty distribution.
    pub(super) fn mean(&self) -> Duration {
        let weights = bucket_bounds_ms().zip(self.0);
        let sum_ms = weights.map(|((lower, upper), weight)| weight * f64::midpoint(lower, upper));
        let mean_ms = sum_ms.sum::<f64>() / self.total().max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(mean_ms / 1_000.0)
    }

    /// The weights as whole numbers, multiplied by a factor.
    pub(super) fn to_histogram(self, factor: f64) -> GapHistogram {
        GapHistogram::from_counts(&self.0.map(|weight| whole_number(weight * factor)))
    }
}

/// A limit for times: the part of each bucket that is above it. Within a bucket, times count as
/// evenly distributed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Limit([f64; GAP_BUCKETS]);

impl Limit {
    pub(super) fn new(limit: Duration) -> Self {
        let limit_ms = limit.as_secs_f64() * 1_000.0;
        let mut parts = Self::default();
        for (part, (lower_ms, upper_ms)) in parts.0.iter_mut().zip(bucket_bounds_ms()) {
            *part = ((upper_ms - limit_ms) / (upper_ms - lower_ms)).clamp(0.0, 1.0);
        }
        parts
    }
}

/// The bounds of each bucket in milliseconds. The last bucket counts as twice as long as its lower
/// bound.
fn bucket_bounds_ms() -> impl Iterator<Item = (f64, f64)> {
    let last = GAP_BOUNDS_MS[GAP_BOUNDS_MS.len() - 1];
    let uppers = GAP_BOUNDS_MS.iter().copied().chain([2 * last]);
    let lowers = std::iter::once(0).chain(GAP_BOUNDS_MS);
    let bounds = lowers.zip(uppers);
    bounds.map(|(lower, upper)| (f64::from(lower), f64::from(upper)))
}

/// The nearest whole number within the range of `u32`.
fn whole_number(number: f64) -> u32 {
    // A duration is the conversion that neither wraps nor loses the sign.
    let rounded = Duration::try_from_secs_f64((number + 0.5).max(0.0));
    rounded.map_or(u32::MAX, |rounded| {
        u32::try_from(rounded.as_secs()).unwrap_or(u32::MAX)
    })
}

/// A distribution whose weights decay exponentially with age.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingWeights {
    weights: GapWeights,
    /// Time in which a weight decays to 1/e.
    window: Duration,
    updated_at: Instant,
}

impl DecayingWeights {
    /// An empty distribution.
    pub(super) fn new(window: Duration, now: Instant) -> Self {
        Self {
            weights: GapWeights::default(),
            window,
            updated_at: now,
        }
    }

    /// Adds new times.
    pub(super) fn add(&mut self, new: &GapWeights, now: Instant) {
        self.weights = new.plus(&self.weights, self.remaining(now));
        self.updated_at = self.updated_at.max(now);
    }

    /// The weights at their present age.
    pub(super) fn at(&self, now: Instant) -> GapWeights {
        self.weights.scaled(self.remaining(now))
    }

    /// The ratio that the weights have kept since they were updated.
    fn remaining(&self, now: Instant) -> f64 {
        remaining(now.saturating_duration_since(self.updated_at), self.window)
    }
}

/// The ratio that a weight keeps over an age, if it decays to 1/e within the window.
pub(super) fn remaining(age: Duration, window: Duration) -> f64 {
    (-age.as_secs_f64() / window.as_secs_f64()).exp()
}
