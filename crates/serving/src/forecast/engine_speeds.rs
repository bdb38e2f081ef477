//! How fast each engine streams, learned from the streams that it served.

use super::gap_weights::{DecayingWeights, GapWeights, Limit};
use super::{GapHistogram, RequestSize, StreamProgress};
use crate::upstreams::UpstreamTable;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Window of what an engine usually does: a busy engine has some thousand events in it.
const LONG_WINDOW: Duration = Duration::from_secs(10);
/// Window of what an engine does now, so that a slow period counts within a second and is forgotten
/// in the seconds after it.
const SHORT_WINDOW: Duration = Duration::from_millis(500);
/// The long window counts in the short one as this many gaps. An engine at half of its load has some
/// sixty gaps within the short one, and one long gap among them is no slow period yet.
const USUAL_GAPS: f64 = 40.0;
/// The median engine counts in each estimate of gaps as this many gaps: about half a stream.
const PRIOR_GAPS: f64 = 10.0;
/// The median engine counts in each estimate of first events as this many of them.
const PRIOR_FIRST_EVENTS: f64 = 8.0;
/// Engines with less than this weight do not count for the median.
const MIN_MEDIAN_WEIGHT: f64 = 5.0;
/// Smaller weights count as none; their ratios would not be exact.
const MIN_WEIGHT: f64 = 1e-3;
/// Largest age of the median at a decision. The dispatcher's report, every 500 ms, computes it
/// anew, so that decisions seldom do.
const MAX_MEDIAN_AGE: Duration = Duration::from_millis(800);
/// Weights in reports are multiplied by this, so that rounding keeps the few long gaps.
const REPORT_FACTOR: f64 = 10.0;
/// The same factor, for those who read reports.
pub const GAP_REPORT_FACTOR: u64 = 10;
/// Weight of another dispatcher's time to the first event, which is its mean.
const REPORTED_FIRST_EVENTS: f64 = 20.0;
/// Engines that are kept until the next comparison with the upstream table: more than a fleet has.
const MAX_ENGINES: usize = 4_096;
/// Events of a stream whose request does not name its size.
const DEFAULT_EVENTS: u32 = 16;

/// What a stream needs to be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamGoals {
    /// The time left for the first event.
    pub first_event_in: Duration,
    /// The longest pause between two events.
    pub max_gap: Duration,
    /// Events that the stream is expected to have.
    pub events: u32,
}

/// The events to expect in the stream of a request of this size.
pub fn expected_events(size: RequestSize, tokens_per_event: Option<u32>) -> u32 {
    let tokens = size.bounded().expected_output_tokens();
    tokens.map_or(DEFAULT_EVENTS, |tokens| {
        tokens.div_ceil(tokens_per_event.unwrap_or(1).max(1)).max(1)
    })
}

/// What a request can expect of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunForecast {
    /// The mean time to the first event.
    pub first_event: Duration,
    /// Probability that the first event is late.
    pub first_event_miss_probability: f64,
    /// Probability that some pause is longer than the goal.
    pub gap_miss_probability: f64,
    /// The time to the last event.
    pub duration: Duration,
    /// Weight of the engine's own observations in the forecast, between 0 and 1.
    pub confidence: f64,
    /// Time since the engine was last observed; `None` if it never was.
    pub age: Option<Duration>,
}

/// What is known about one engine: distributions whose totals say how much was observed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineEstimate {
    gaps: GapWeights,
    first_events: GapWeights,
    age: Option<Duration>,
}

impl EngineEstimate {
    /// The estimate that another dispatcher reports.
    pub fn of_report(gaps: &GapHistogram, first_event: Option<Duration>) -> Self {
        let mut first_events = GapHistogram::default();
        if let Some(first_event) = first_event {
            first_events.record(first_event);
        }
        let first_events = GapWeights::of_histogram(&first_events);
        Self {
            gaps: GapWeights::of_histogram(gaps).scaled(1.0 / REPORT_FACTOR),
            first_events: first_events.scaled(REPORTED_FIRST_EVENTS),
            age: None,
        }
    }

    /// Probability that some pause is longer than the goal.
    fn gap_miss_probability(&self, prior: &StreamPrior) -> f64 {
        let above = self.gaps.above(&prior.max_gap) + PRIOR_GAPS * prior.gaps_above;
        let ratio = above / (self.gaps.total() + PRIOR_GAPS);
        1.0 - (1.0 - ratio).max(0.0).powf(prior.gap_count)
    }

    /// Probability that the first event is late.
    fn first_event_miss_probability(&self, prior: &StreamPrior) -> f64 {
        let above = self.first_events.above(&prior.first_event_in)
            + PRIOR_FIRST_EVENTS * prior.first_events_above;
        above / (self.first_events.total() + PRIOR_FIRST_EVENTS)
    }

    fn forecast(&self, prior: &StreamPrior) -> RunForecast {
        let median = &prior.median;
        let gaps = self.gaps.plus(&median.gaps, PRIOR_GAPS);
        let first_events = self
            .first_events
            .plus(&median.first_events, PRIOR_FIRST_EVENTS);
        let first_event = first_events.mean();
        let own_weight = self.gaps.total();
        RunForecast {
            first_event,
            first_event_miss_probability: self.first_event_miss_probability(prior),
            gap_miss_probability: self.gap_miss_probability(prior),
            duration: first_event + gaps.mean().mul_f64(prior.gap_count),
            confidence: own_weight / (own_weight + PRIOR_GAPS),
            age: self.age,
        }
    }
}

/// What a stream's forecasts on all engines have in common, computed once for a decision.
#[derive(Debug, Clone, Copy)]
pub struct StreamPrior {
    max_gap: Limit,
    first_event_in: Limit,
    gap_count: f64,
    median: MedianEngine,
    /// The ratio of the median engine's gaps above the goal.
    gaps_above: f64,
    /// The ratio of its first events that are late.
    first_events_above: f64,
}

impl StreamPrior {
    fn new(goals: StreamGoals, median: MedianEngine) -> Self {
        let max_gap = Limit::new(goals.max_gap);
        let first_event_in = Limit::new(goals.first_event_in);
        Self {
            max_gap,
            first_event_in,
            gap_count: goals.events.saturating_sub(1).into(),
            median,
            gaps_above: median.gaps.above(&max_gap),
            first_events_above: median.first_events.above(&first_event_in),
        }
    }

    /// Probability that the stream is not in time on an engine. If the first event will be late
    /// anyway, pauses make no difference.
    pub fn miss_probability(&self, engine: &EngineEstimate) -> f64 {
        let first_event_in_time = 1.0 - engine.first_event_miss_probability(self);
        1.0 - first_event_in_time * (1.0 - engine.gap_miss_probability(self))
    }

    /// Probability that the stream is not in time on an engine because of a pause, if its first
    /// event comes as on the median engine. Other dispatchers report only the mean time to the first
    /// event, which does not compare with a distribution.
    pub fn pause_probability(&self, engine: &EngineEstimate) -> f64 {
        (1.0 - self.first_events_above) * engine.gap_miss_probability(self)
    }

    /// What the stream can expect of an engine.
    pub fn forecast(&self, engine: &EngineEstimate) -> RunForecast {
        engine.forecast(self)
    }
}

/// The distributions of the median engine, with a total weight of 1, or 0 if nothing is known.
#[derive(Debug, Clone, Copy)]
struct MedianEngine {
    gaps: GapWeights,
    first_events: GapWeights,
}

/// What was observed of one engine.
#[derive(Debug)]
struct EngineSpeed {
    /// The engine's start as listed by the upstream table when the engine was last compared with
    /// it; `None` before.
    started_at_ms: Option<u64>,
    usual_gaps: DecayingWeights,
    present_gaps: DecayingWeights,
    first_events: DecayingWeights,
    observed_at: Instant,
}

impl EngineSpeed {
    fn new(now: Instant) -> Self {
        Self {
            started_at_ms: None,
            usual_gaps: DecayingWeights::new(LONG_WINDOW, now),
            present_gaps: DecayingWeights::new(SHORT_WINDOW, now),
            first_events: DecayingWeights::new(LONG_WINDOW, now),
            observed_at: now,
        }
    }

    fn observe(&mut self, progress: &StreamProgress, now: Instant) {
        let gaps = GapWeights::of_report(&progress.gaps);
        self.usual_gaps.add(&gaps, now);
        self.present_gaps.add(&gaps, now);
        if let Some(first_event) = progress.first_event {
            let mut first_events = GapHistogram::default();
            first_events.record(first_event);
            let first_events = GapWeights::of_histogram(&first_events);
            self.first_events.add(&first_events, now);
        }
        self.observed_at = now;
    }

    /// The distribution of the short window as far as that has observations, else that of the long
    /// one, with the weight of the long one.
    fn estimate(&self, now: Instant) -> EngineEstimate {
        let usual = self.usual_gaps.at(now);
        let present = self.present_gaps.at(now);
        let total = usual.total();
        let gaps = if total < MIN_WEIGHT {
            GapWeights::default()
        } else {
            let shape = present.plus(&usual, USUAL_GAPS / total);
            shape.scaled(total / shape.total())
        };
        EngineEstimate {
            gaps,
            first_events: self.first_events.at(now),
            age: Some(now.saturating_duration_since(self.observed_at)),
        }
    }
}

/// What a dispatcher has learned about the speed of its engines.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    engines: HashMap<UpstreamId, EngineSpeed>,
    /// `None` while too little is known of all engines.
    median: Option<MedianEngine>,
    update_at: Option<Instant>,
}

impl EngineSpeeds {
    /// Records what was observed of a stream on an engine.
    pub fn observe(&mut self, engine: &UpstreamId, progress: &StreamProgress, now: Instant) {
        if progress.gaps.is_empty() && progress.first_event.is_none() {
            return;
        }
        if let Some(speed) = self.engines.get_mut(engine) {
            speed.observe(progress, now);
        } else if self.engines.len() < MAX_ENGINES {
            let mut speed = EngineSpeed::new(now);
            speed.observe(progress, now);
            self.engines.insert(engine.clone(), speed);
        }
    }

    /// Discards what was learned of engines that are not listed any more or have started again, and
    /// computes the median of the others.
    pub fn update(&mut self, upstreams: &UpstreamTable, now: Instant) {
        self.update_at = Some(now + MAX_MEDIAN_AGE);
        self.engines.retain(|id, speed| {
            let is_listed = upstreams.address_of(id).is_some();
            let started_at_ms = upstreams.started_at_ms(id);
            let known = speed.started_at_ms.replace(started_at_ms);
            is_listed && known.is_none_or(|known| known == started_at_ms)
        });
        self.median = self.median_engine(now);
    }

    /// Does the same if it was not done lately.
    pub fn update_if_due(&mut self, upstreams: &UpstreamTable, now: Instant) {
        if self.update_at.is_none_or(|at| now >= at) {
            self.update(upstreams, now);
        }
    }

    /// The number of engines about which something is known.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether nothing is known about any engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// What the forecasts for a stream have in common; `None` while too little is known about all
    /// engines.
    pub fn prior(&self, goals: StreamGoals) -> Option<StreamPrior> {
        Some(StreamPrior::new(goals, self.median?))
    }

    /// What is known about an engine. One without observations counts as the median of the others.
    pub fn estimate(&self, engine: &str, now: Instant) -> EngineEstimate {
        let speed = self.engines.get(engine);
        speed.map_or_else(EngineEstimate::default, |speed| speed.estimate(now))
    }

    /// What to report about an engine: the usual time to the first event, the gaps, and the time since
    /// a stream was last observed there.
    pub fn report(&self, engine: &str, now: Instant) -> (Option<Duration>, GapHistogram, Duration) {
        let Some(speed) = self.engines.get(engine) else {
            return (None, GapHistogram::default(), Duration::MAX);
        };
        let estimate = speed.estimate(now);
        let first_event = estimate.first_events.mean();
        let gaps = estimate.gaps.to_histogram(REPORT_FACTOR);
        let observed_ago = estimate.age.unwrap_or(Duration::MAX);
        let first_event = Some(first_event).filter(|time| !time.is_zero());
        (first_event, gaps, observed_ago)
    }

    /// The median over the engines of the ratio of times above each bound. Unlike the sum of all
    /// observations it does not depend on how much each engine has served.
    fn median_engine(&self, now: Instant) -> Option<MedianEngine> {
        let estimates = self.engines.values().map(|speed| speed.estimate(now));
        let estimates: Vec<EngineEstimate> = estimates.collect();
        let gaps = median(estimates.iter().map(|estimate| estimate.gaps))?;
        let first_events = median(estimates.iter().map(|estimate| estimate.first_events));
        Some(MedianEngine {
            gaps,
            first_events: first_events.unwrap_or_default(),
        })
    }
}

/// The median of distributions; `None` if none has enough weight.
fn median(distributions: impl Iterator<Item = GapWeights>) -> Option<GapWeights> {
    let known = distributions.filter(|weights| weights.total() >= MIN_MEDIAN_WEIGHT);
    let known: Vec<_> = known.map(|weights| weights.ratios_above()).collect();
    if known.is_empty() {
        return None;
    }
    let mut medians = [0.0; super::GAP_BUCKETS];
    for (bucket, median) in medians.iter_mut().enumerate() {
        let mut ratios: Vec<f64> = known.iter().map(|ratios| ratios[bucket]).collect();
        let middle = ratios.len() / 2;
        let (_, ratio, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        *median = *ratio;
    }
    Some(GapWeights::of_ratios_above(&medians))
}
