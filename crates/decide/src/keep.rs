//! How long an idle replica is kept.
//!
//! Keeping costs accelerator seconds, unloading costs the next caller a cold
//! start. The weights of the two costs are the operators' settings.

use passway_config::document::{KeepEntry, KeepPolicyName};
use std::time::Duration;

/// Idle gaps remembered for each model.
const REMEMBERED_GAPS: usize = 64;
/// Gaps below which the histogram says nothing and ski-rental decides.
const ENOUGH_GAPS: usize = 8;

/// The idle gaps of one model, newest last.
#[derive(Debug, Clone, Default)]
pub struct IdleHistory {
    gaps: Vec<Duration>,
}

impl IdleHistory {
    /// Records a gap between two uses.
    pub fn record(&mut self, gap: Duration) {
        if self.gaps.len() == REMEMBERED_GAPS {
            self.gaps.remove(0);
        }
        self.gaps.push(gap);
    }
}

/// Decides how long a replica stays after its last use.
pub trait KeepPolicy {
    /// The time to keep it, given what a reload costs.
    fn keep_for(&self, history: &IdleHistory, reload: Duration) -> Duration;
}

/// A fixed time-out.
#[derive(Debug, Clone, Copy)]
pub struct Fixed {
    /// The time-out.
    pub max_idle: Duration,
}

impl KeepPolicy for Fixed {
    fn keep_for(&self, _history: &IdleHistory, _reload: Duration) -> Duration {
        self.max_idle
    }
}

/// Holds idle as long as a reload would cost: never more than twice the best cost.
#[derive(Debug, Clone, Copy)]
pub struct SkiRental {
    /// Cost of a cold second against an idle second.
    pub cold_to_idle: f64,
    /// Longest keep.
    pub max_idle: Duration,
}

impl KeepPolicy for SkiRental {
    fn keep_for(&self, _history: &IdleHistory, reload: Duration) -> Duration {
        reload.mul_f64(self.cold_to_idle).min(self.max_idle)
    }
}

/// Holds for the time that would have cost least over the remembered gaps.
#[derive(Debug, Clone, Copy)]
pub struct Histogram {
    /// Decides while too few gaps are known.
    pub fallback: SkiRental,
}

impl KeepPolicy for Histogram {
    fn keep_for(&self, history: &IdleHistory, reload: Duration) -> Duration {
        if history.gaps.len() < ENOUGH_GAPS {
            return self.fallback.keep_for(history, reload);
        }
        let cold_cost_s = reload.as_secs_f64() * self.fallback.cold_to_idle;
        let mut candidates = history.gaps.clone();
        candidates.push(Duration::ZERO);
        let cost_of = |keep: Duration| expected_cost(&history.gaps, keep, cold_cost_s);
        let best = candidates
            .into_iter()
            .min_by(|a, b| cost_of(*a).total_cmp(&cost_of(*b)));
        best.unwrap_or_default().min(self.fallback.max_idle)
    }
}

/// The summed cost, in idle seconds, of keeping for `keep` over the gaps.
fn expected_cost(gaps: &[Duration], keep: Duration, cold_cost_s: f64) -> f64 {
    let cost = |gap: &Duration| {
        if *gap <= keep {
            gap.as_secs_f64()
        } else {
            keep.as_secs_f64() + cold_cost_s
        }
    };
    gaps.iter().map(cost).sum()
}

/// The policy that the configuration names.
pub fn policy_of(entry: &KeepEntry) -> Box<dyn KeepPolicy + Send> {
    let max_idle = Duration::from_millis(entry.max_idle_ms);
    let ski = SkiRental {
        cold_to_idle: entry.cold_weight / entry.idle_weight,
        max_idle,
    };
    match entry.policy {
        KeepPolicyName::Fixed => Box::new(Fixed { max_idle }),
        KeepPolicyName::SkiRental => Box::new(ski),
        KeepPolicyName::Histogram => Box::new(Histogram { fallback: ski }),
    }
}
