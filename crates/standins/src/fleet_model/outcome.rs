//! What came of a run.

use serde::Serialize;

/// What a class of requests got.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassOutcome {
    /// Requests that came.
    pub asked: usize,
    /// Requests whose first token came within the aim.
    pub in_aim: usize,
    /// Requests that were refused, since no engine had their model in time.
    pub refused: usize,
    /// Time to the first token: median, in milliseconds.
    pub p50_ms: u64,
    /// The same for 99 in 100.
    pub p99_ms: u64,
    #[serde(skip)]
    pub(super) times_ms: Vec<u64>,
}

impl ClassOutcome {
    pub(super) fn compute_quantiles(&mut self) {
        self.times_ms.sort_unstable();
        let at = |percent: usize| {
            let index = self.times_ms.len() * percent / 100;
            let index = index.min(self.times_ms.len().saturating_sub(1));
            self.times_ms.get(index).copied().unwrap_or(0)
        };
        (self.p50_ms, self.p99_ms) = (at(50), at(99));
    }

    /// Part of the requests that came in time.
    pub fn in_aim_ratio(&self) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        as_f64(self.in_aim) / as_f64(self.asked)
    }
}

/// A count as a number to calculate with; far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) fn as_f64(count: usize) -> f64 {
    count as f64
}

/// What came of a run of one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: String,
    /// The size.
    pub size: String,
    /// The seed.
    pub seed: u64,
    /// Virtual time, in seconds.
    pub seconds: u64,
    /// Requests for busy models.
    pub busy: ClassOutcome,
    /// Requests for all others: their waits are the cold starts.
    pub rare: ClassOutcome,
    /// Part of the places' time in which the model there ran nothing.
    pub idle_part: f64,
    /// Loads from the weight store.
    pub store_loads: usize,
    /// Loads from engines' disks and memory.
    pub near_loads: usize,
    /// Orders.
    pub orders: usize,
    /// Times that an engine was ordered to hold more than it can; never.
    pub overfull: u32,
}
