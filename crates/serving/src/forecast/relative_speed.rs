//! How fast an engine generates compared with the other engines of its service, from the times
//! between events that dispatchers report.
//!
//! Placement uses these speeds. Loads are expensive, so the averages are slow: a slow period of a
//! few seconds must not change where models are loaded.

use super::{GAP_BOUNDS_MS, GapHistogram};
use crate::upstreams::UpstreamEntry;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Time constant of an engine's average. An engine that is 2.5 times slower for 3 s keeps more than
/// 0.75 of its speed, so it still counts as usual.
const AVERAGE_WINDOW: Duration = Duration::from_secs(10);
/// Longest time that one report counts for, two report intervals: what happened between two distant
/// reports is unknown.
const MAX_REPORT_WEIGHT: Duration = Duration::from_secs(1);
/// An engine that is not reported for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// A report with fewer gaps says too little about an engine: a median of 20 gaps is usually within
/// one bucket of the true one.
const MIN_GAPS: f64 = 20.0;
/// Engines of a service that must be known to compare them. With three, one unusual engine could be
/// taken for the usual speed.
const MIN_ENGINES: usize = 4;
/// Engines that are remembered; more than the largest fleet has. Names come from datagrams, so the
/// number must be bounded.
const MAX_ENGINES: usize = 4_096;
/// Lower bound of the first bucket of a [`GapHistogram`] for estimates.
const SHORTEST_GAP: Duration = Duration::from_micros(12_500);
/// Upper bound of the last bucket of a [`GapHistogram`] for estimates.
const LONGEST_GAP: Duration = Duration::from_millis(3_200);
/// Limits of a relative speed: a larger difference is a fault of the measurement or of the engine,
/// and would outweigh everything else.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Relative speeds between these bounds count as usual. Buckets of gaps are 1.4 times apart, so
/// smaller differences cannot be measured.
const USUAL_BOUNDS: (f64, f64) = (0.75, 1.33);

/// An engine's speed as a multiple of the usual one.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RelativeSpeed(f64);

impl RelativeSpeed {
    /// The speed of most engines, and of an engine without observations.
    pub const USUAL: Self = Self(1.0);

    /// A speed within the limits. A number that is none counts as the usual speed.
    pub fn new(ratio: f64) -> Self {
        if ratio.is_nan() {
            return Self::USUAL;
        }
        let (min, max) = SPEED_BOUNDS;
        Self(ratio.clamp(min, max))
    }

    /// The multiple of the usual speed.
    pub fn ratio(self) -> f64 {
        self.0
    }

    /// The class of the speed.
    pub fn class(self) -> SpeedClass {
        let (min, max) = USUAL_BOUNDS;
        if self.0 < min {
            SpeedClass::Slow
        } else if self.0 > max {
            SpeedClass::Fast
        } else {
            SpeedClass::Usual
        }
    }
}

/// Classes of speeds that placement tells apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedClass {
    /// Clearly slower than usual.
    Slow,
    /// Near the usual speed.
    Usual,
    /// Clearly faster than usual.
    Fast,
}

impl SpeedClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Slow, Self::Usual, Self::Fast];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Usual => "usual",
            Self::Fast => "fast",
        }
    }
}

/// An engine's estimated speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// The speed.
    pub relative: RelativeSpeed,
    /// Time since the last report that the speed is based on.
    pub age: Duration,
}

/// The average time between an engine's events, as a logarithm of seconds: an engine that is twice
/// as slow for a while and twice as fast for the same while has its usual speed.
#[derive(Debug)]
struct AverageGap {
    weighted_sum: f64,
    /// Sum of the weights: 0 without observations, 1 after several [`AVERAGE_WINDOW`]s.
    weight: f64,
    updated_at: Instant,
    /// Start time of the engine process that the reports are about, once an entry has shown it.
    started_at_ms: Option<u64>,
}

impl AverageGap {
    fn new(now: Instant) -> Self {
        Self {
            weighted_sum: 0.0,
            weight: 0.0,
            updated_at: now,
            started_at_ms: None,
        }
    }

    fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) >= FORGET_AFTER
    }

    fn record(&mut self, gap_s: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let elapsed = elapsed.min(MAX_REPORT_WEIGHT);
        let kept = (-elapsed.div_duration_f64(AVERAGE_WINDOW)).exp();
        self.weighted_sum = self.weighted_sum * kept + gap_s.ln() * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
        self.updated_at = now;
    }

    /// The average; `None` before the second report.
    fn log_gap(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.weighted_sum / self.weight)
    }

    /// The speed, if the service's usual gap is `usual_log_gap`. It deviates from the usual speed
    /// only as far as the weight of the observations allows.
    fn speed(&self, usual_log_gap: f64, now: Instant) -> EngineSpeed {
        let log_gap = self.log_gap().unwrap_or(usual_log_gap);
        let log_ratio = (usual_log_gap - log_gap) * self.weight;
        EngineSpeed {
            relative: RelativeSpeed::new(log_ratio.exp()),
            age: now.saturating_duration_since(self.updated_at),
        }
    }
}

/// Relative speeds of all engines of the fleet, learned from dispatchers' reports.
#[derive(Debug, Default)]
pub struct RelativeSpeeds {
    gaps: HashMap<UpstreamId, AverageGap>,
}

impl RelativeSpeeds {
    /// Records the times between events that a dispatcher reports of an engine.
    pub fn record(&mut self, engine: &UpstreamId, gaps: &GapHistogram, now: Instant) {
        let Some(median_s) = median_gap_s(gaps) else {
            return;
        };
        if self.gaps.len() >= MAX_ENGINES && !self.gaps.contains_key(engine) {
            self.remove_outdated(now);
            if self.gaps.len() >= MAX_ENGINES {
                return;
            }
        }
        let average = self.gaps.entry(engine.clone());
        let average = average.or_insert_with(|| AverageGap::new(now));
        if average.is_outdated(now) {
            *average = AverageGap::new(now);
        }
        average.record(median_s, now);
    }

    fn remove_outdated(&mut self, now: Instant) {
        self.gaps.retain(|_, average| !average.is_outdated(now));
    }

    /// The speeds of those of `entries` about which enough is known. What was learned about an
    /// engine that has restarted since the last call is dropped.
    pub fn speeds<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        now: Instant,
    ) -> HashMap<UpstreamId, EngineSpeed> {
        self.remove_outdated(now);
        if self.gaps.is_empty() {
            return HashMap::new();
        }
        let mut by_service: BTreeMap<&ServiceName, Vec<(&UpstreamId, f64)>> = BTreeMap::new();
        for entry in entries {
            if let Some(log_gap) = self.current_log_gap(entry) {
                let gaps = by_service.entry(&entry.service).or_default();
                gaps.push((&entry.id, log_gap));
            }
        }
        let mut speeds = HashMap::new();
        for gaps in by_service.values() {
            let Some(usual_log_gap) = median_of_engines(gaps) else {
                continue;
            };
            for (id, _) in gaps {
                if let Some(average) = self.gaps.get(*id) {
                    speeds.insert((*id).clone(), average.speed(usual_log_gap, now));
                }
            }
        }
        speeds
    }

    /// The average of the engine process that an entry describes.
    fn current_log_gap(&mut self, entry: &UpstreamEntry) -> Option<f64> {
        let average = self.gaps.get_mut(&entry.id)?;
        let known_start_ms = *average.started_at_ms.get_or_insert(entry.started_at_ms);
        if known_start_ms != entry.started_at_ms {
            self.gaps.remove(&entry.id);
            return None;
        }
        average.log_gap()
    }
}

/// The median over engines; `None` if there are too few of them to compare.
fn median_of_engines(log_gaps: &[(&UpstreamId, f64)]) -> Option<f64> {
    if log_gaps.len() < MIN_ENGINES {
        return None;
    }
    let mut sorted: Vec<f64> = log_gaps.iter().map(|(_, log_gap)| *log_gap).collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    Some(if sorted.len().is_multiple_of(2) {
        f64::midpoint(sorted[middle - 1], sorted[middle])
    } else {
        sorted[middle]
    })
}

/// The median gap in seconds, interpolated within its bucket; `None` if too few gaps were counted.
fn median_gap_s(gaps: &GapHistogram) -> Option<f64> {
    let counts = gaps.counts().iter().map(|count| f64::from(*count));
    let total: f64 = counts.clone().sum();
    if total < MIN_GAPS {
        return None;
    }
    let bounds = GAP_BOUNDS_MS.map(|bound_ms| Duration::from_millis(bound_ms.into()));
    let lower_bounds = std::iter::once(SHORTEST_GAP).chain(bounds);
    let upper_bounds = bounds.into_iter().chain([LONGEST_GAP]);
    let mut missing = total / 2.0;
    for ((count, lower), upper) in counts.zip(lower_bounds).zip(upper_bounds) {
        if count >= missing {
            let width_s = upper.saturating_sub(lower).as_secs_f64();
            return Some(lower.as_secs_f64() + width_s * missing / count);
        }
        missing -= count;
    }
    None
}
