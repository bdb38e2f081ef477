//! The result of a run.

use serde::Serialize;

/// Results of one class of requests. The field names are those of the JSON report.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassOutcome {
    /// Number of requests that arrived.
    pub asked: usize,
    /// Number of requests whose first token met the latency target.
    pub in_aim: usize,
    /// Number of requests refused because no engine had the model in time.
    pub refused: usize,
    /// Median time to the first token, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub p99_ms: u64,
    #[serde(skip)]
    pub(super) times_ms: Vec<u64>,
}

impl ClassOutcome {
    /// Computes the quantiles when the run has ended.
    pub(super) fn compute_quantiles(&mut self) {
        self.times_ms.sort_unstable();
        let at = |percent: usize| {
            let index = self.times_ms.len() * percent / 100;
            let index = index.min(self.times_ms.len().saturating_sub(1));
            self.times_ms.get(index).copied().unwrap_or(0)
        };
        (self.p50_ms, self.p99_ms) = (at(50), at(99));
    }

    /// Ratio of the requests that met the latency target; 0 without requests.
    pub fn in_aim_ratio(&self) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        as_f64(self.in_aim) / as_f64(self.asked)
    }
}

/// Converts a count to `f64`, exactly because counts are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Result of a run of one policy. The field names are those of the JSON report.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: String,
    /// Name of the fleet size.
    pub size: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// Requests for busy models.
    pub busy: ClassOutcome,
    /// Requests for all other models, whose waits are the cold starts.
    pub rare: ClassOutcome,
    /// Ratio of the time of all model slots in which the resident model ran no request.
    pub idle_part: f64,
    /// Number of loads from the weight store.
    pub store_loads: usize,
    /// Number of loads from the disk or host memory of an engine.
    pub near_loads: usize,
    /// Number of orders sent to engines.
    pub orders: usize,
    /// Number of accepted loads that exceeded the accelerator memory; must be 0.
    pub overfull: u32,
}
