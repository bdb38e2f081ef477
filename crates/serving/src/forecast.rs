//! How engines serve streams: what was observed, and what a request can expect.
//!
//! An instance measures a stream with [`StreamTiming`] and reports [`StreamProgress`] to the
//! engine's dispatcher, which learns [`EngineSpeeds`] from it and forecasts runs.
//!
//! This module uses no I/O and no clock.

mod engine_speeds;
mod gap_weights;
pub mod relative_speed;
mod stream_timing;

pub use engine_speeds::{
    EngineEstimate, EngineSpeeds, GAP_REPORT_FACTOR, RunForecast, StreamGoals, StreamPrior,
    expected_events,
};
pub use stream_timing::{StreamOutcome, StreamTiming};

use passway_types::prelude::*;

/// Upper bounds of the buckets of a [`GapHistogram`], in milliseconds; the last bucket has no upper
/// bound. Latency goals for gaps are a few hundred milliseconds.
const GAP_BOUNDS_MS: [u32; GAP_BUCKETS - 1] =
    [25, 35, 50, 70, 100, 140, 200, 280, 400, 560, 800, 1_600];
/// Number of buckets of a [`GapHistogram`].
pub const GAP_BUCKETS: usize = 13;
/// Largest number of tokens that a request may claim: the memory of the largest engines.
const MAX_CLAIMED_TOKENS: u32 = 1 << 20;

/// The times between events of streams, counted in fixed buckets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GapHistogram {
    counts: [u32; GAP_BUCKETS],
}

impl GapHistogram {
    /// A histogram with these counts. Missing counts are 0; excess ones are ignored.
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut histogram = Self::default();
        for (own, count) in histogram.counts.iter_mut().zip(counts) {
            *own = *count;
        }
        histogram
    }

    /// The number of gaps in each bucket.
    pub fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// Counts a gap.
    pub fn record(&mut self, gap: Duration) {
        let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        let bucket = GAP_BOUNDS_MS.partition_point(|bound_ms| u64::from(*bound_ms) <= gap_ms);
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(added);
        }
    }

    /// Whether no gap was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }
}

/// What an instance has observed of a stream since its previous report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// Time from sending the request to the first event, if that has arrived since.
    pub first_event: Option<Duration>,
    /// Events that have arrived.
    pub events: u32,
    /// The times between them.
    pub gaps: GapHistogram,
    /// The longest time between two of them.
    pub longest_gap: Duration,
}

impl StreamProgress {
    /// Adds what was observed later.
    pub fn add(&mut self, later: &Self) {
        self.first_event = self.first_event.or(later.first_event);
        self.events = self.events.saturating_add(later.events);
        self.gaps.add(&later.gaps);
        self.longest_gap = self.longest_gap.max(later.longest_gap);
    }
}

/// A request's size as far as its caller names it; such claims may be wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// The maximum number of output tokens.
    pub max_output_tokens: Option<u32>,
    /// The caller's guess of the output tokens.
    pub output_hint: Option<u32>,
}

impl RequestSize {
    /// Limits claims to what an engine could hold, so that absurd ones do no harm.
    #[must_use]
    pub fn bounded(self) -> Self {
        let bound = |tokens: Option<u32>| tokens.map(|tokens| tokens.min(MAX_CLAIMED_TOKENS));
        Self {
            prompt_tokens: bound(self.prompt_tokens),
            max_output_tokens: bound(self.max_output_tokens),
            output_hint: bound(self.output_hint),
        }
    }

    /// The output tokens to expect: the caller's guess within the maximum, else the maximum.
    pub fn expected_output_tokens(&self) -> Option<u32> {
        match (self.output_hint, self.max_output_tokens) {
            (Some(hint), Some(max)) => Some(hint.min(max)),
            (hint, max) => hint.or(max),
        }
    }
}
