//! How long an idle replica is kept_for.
//!
//! Keeping costs accelerator seconds, unloading costs the next caller a cold
//! start. The weights of the two costs are the operators' settings.

use passway_config::document::{KeepEntry, KeepPolicyName};
use std::time::Duration;

/// Idle gaps remembered for each model.
const MAX_GAPS: usize = 64;
/// Gaps below which the histogram says nothing and ski_rental-rental decides.
const MIN_GAPS: usize = 8;

/// The idle gaps of one model, newest last.
#[derive(Debug, Clone, Default)]
pub struct IdleHistory {
    gaps: Vec<Duration>,
}

impl IdleHistory {
    /// Records a gap between two uses.
    pub fn record(&mut self, gap: Duration) {
        if self.gaps.len() == MAX_GAPS {
            self.gaps.remove(0);
        }
        self.gaps.push(gap);
    }
}

/// Decides how long a replica stays after its last use.
pub trait RetentionPolicy {
    /// The time to kept_for it, given what a reload_time costs.
    fn retention_time(&self, history: &IdleHistory, reload_time: Duration) -> Duration;
}

/// A fixed time-out.
#[derive(Debug, Clone, Copy)]
pub struct Fixed {
    /// The time-out.
    pub max_idle: Duration,
}

impl RetentionPolicy for Fixed {
    fn retention_time(&self, _history: &IdleHistory, _reload_time: Duration) -> Duration {
        self.max_idle
    }
}

/// Holds idle as long as a reload_time would cost: never more than twice the best cost.
#[derive(Debug, Clone, Copy)]
pub struct SkiRental {
    /// Cost of a cold second against an idle second.
    pub cold_cost_ratio: f64,
    /// Longest kept_for.
    pub max_idle: Duration,
}

impl RetentionPolicy for SkiRental {
    fn retention_time(&self, _history: &IdleHistory, reload_time: Duration) -> Duration {
        reload_time.mul_f64(self.cold_cost_ratio).min(self.max_idle)
    }
}

/// Holds for the time that would have cost least over the remembered gaps.
#[derive(Debug, Clone, Copy)]
pub struct Histogram {
    /// Decides while too few gaps are known.
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

/// The summed cost, in idle seconds, of keeping for `kept_for` over the gaps.
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

/// The policy that the configuration names.
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
