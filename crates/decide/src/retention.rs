//! Policies for how long an idle replica stays loaded.
//!
//! An idle replica costs accelerator seconds, an unloaded one costs the next caller a cold start.
//! Operators set the weights of the two costs in the configuration.

use passway_config::document::{KeepEntry, KeepPolicyName};
use std::time::Duration;

/// Number of idle gaps recorded per model.
const MAX_GAPS: usize = 64;
/// With fewer recorded gaps, the histogram policy falls back to ski rental.
const MIN_GAPS: usize = 8;

/// The idle gaps of one model, newest last.
#[derive(Debug, Clone, Default)]
pub struct IdleHistory {
    gaps: Vec<Duration>,
}

impl IdleHistory {
    /// Records the gap between two uses.
    pub fn record(&mut self, gap: Duration) {
        if self.gaps.len() == MAX_GAPS {
            self.gaps.remove(0);
        }
        self.gaps.push(gap);
    }
}

/// Decides how long a replica stays loaded after its last use.
pub trait RetentionPolicy {
    /// Returns the idle time after which the replica is unloaded, given the time that a reload
    /// takes.
    fn retention_time(&self, history: &IdleHistory, reload_time: Duration) -> Duration;
}

/// Unloads after a fixed idle time.
#[derive(Debug, Clone, Copy)]
pub struct Fixed {
    /// The idle time.
    pub max_idle: Duration,
}

impl RetentionPolicy for Fixed {
    fn retention_time(&self, _history: &IdleHistory, _reload_time: Duration) -> Duration {
        self.max_idle
    }
}

/// Keeps a replica for as long as its reload would cost. The total cost is at most twice the
/// optimum.
#[derive(Debug, Clone, Copy)]
pub struct SkiRental {
    /// Cost of a second of cold start, in idle seconds.
    pub cold_cost_ratio: f64,
    /// The longest idle time that the policy returns.
    pub max_idle: Duration,
}

impl RetentionPolicy for SkiRental {
    fn retention_time(&self, _history: &IdleHistory, reload_time: Duration) -> Duration {
        reload_time.mul_f64(self.cold_cost_ratio).min(self.max_idle)
    }
}

/// Keeps a replica for the time that would have cost least over the recorded gaps.
#[derive(Debug, Clone, Copy)]
pub struct Histogram {
    /// The policy that is used with fewer than `MIN_GAPS` recorded gaps.
    pub fallback: SkiRental,
}

impl RetentionPolicy for Histogram {
    fn retention_time(&self, history: &IdleHistory, reload_time: Duration) -> Duration {
        if history.gaps.len() < MIN_GAPS {
            return self.fallback.retention_time(history, reload_time);
        }
        let cold_cost_s = reload_time.as_secs_f64() * self.fallback.cold_cost_ratio;
        let mut candidates = history.gaps.clone();
        candidates.push(Duration::ZERO);
        let cost_when_kept_for =
            |kept_for: Duration| expected_cost(&history.gaps, kept_for, cold_cost_s);
        let best = candidates
            .into_iter()
            .min_by(|a, b| cost_when_kept_for(*a).total_cmp(&cost_when_kept_for(*b)));
        best.unwrap_or_default().min(self.fallback.max_idle)
    }
}

/// Total cost, in idle seconds, if the replica had been kept for `kept_for` in each of the gaps.
fn expected_cost(gaps: &[Duration], kept_for: Duration, cold_cost_s: f64) -> f64 {
    let cost = |gap: &Duration| {
        if *gap <= kept_for {
            gap.as_secs_f64()
        } else {
            kept_for.as_secs_f64() + cold_cost_s
        }
    };
    gaps.iter().map(cost).sum()
}

/// Returns the policy that the configuration names.
pub fn retention_policy(entry: &KeepEntry) -> Box<dyn RetentionPolicy + Send> {
    let max_idle = Duration::from_millis(entry.max_idle_ms);
    let ski_rental = SkiRental {
        cold_cost_ratio: entry.cold_weight / entry.idle_weight,
        max_idle,
    };
    match entry.policy {
        KeepPolicyName::Fixed => Box::new(Fixed { max_idle }),
        KeepPolicyName::SkiRental => Box::new(ski_rental),
        KeepPolicyName::Histogram => Box::new(Histogram {
            fallback: ski_rental,
        }),
    }
}
