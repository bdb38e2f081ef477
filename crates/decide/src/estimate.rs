//! How long a load takes, learned from loads observed.

use crate::messages::Tier;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Weight of the newest observation in the moving average. High, because the
/// store slows down and recovers as a whole: the newest load tells most.
const NEWEST_WEIGHT: f64 = 0.6;
/// A load in progress is overdue past this many times the average.
const OVERDUE: f64 = 1.25;
/// The end of a load is learned this much late; not yet a sign of a slow store.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// An overdue load is expected to take this many times what it took so far.
const OVERDUE_STRETCH: f64 = 2.0;
/// Pace assumed for a checkpoint on disk against one in the weight store.
const DISK_SPEEDUP: f64 = 4.0;
/// Pace assumed for a checkpoint in memory against one in the weight store.
const MEMORY_SPEEDUP: f64 = 16.0;
/// Bytes in a megabyte.
const MB_BYTES: f64 = 1_048_576.0;

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct Running {
    tier: Tier,
    size_bytes: u64,
    started_at: Instant,
}

/// A moving average of seconds per byte for each tier.
///
/// An overdue load raises the estimate before it ends, so a slow weight store
/// shows within the time of one load.
#[derive(Debug)]
pub struct LoadEstimator {
    seconds_per_byte: HashMap<Tier, f64>,
    running: HashMap<PlacementId, Running>,
}

impl LoadEstimator {
    /// An estimator that begins with the operators' figure for the weight store.
    pub fn new(remote_mb_per_s: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "an estimate needs no 53 bits")]
        let remote = 1.0 / (remote_mb_per_s as f64 * MB_BYTES);
        let seconds_per_byte = HashMap::from([
            (Tier::Remote, remote),
            (Tier::Disk, remote / DISK_SPEEDUP),
            (Tier::Memory, remote / MEMORY_SPEEDUP),
        ]);
        Self {
            seconds_per_byte,
            running: HashMap::new(),
        }
    }

    /// Records that a load began.
    pub fn begin(&mut self, now: Instant, id: PlacementId, tier: Tier, size_bytes: u64) {
        self.running.insert(
            id,
            Running {
                tier,
                size_bytes,
                started_at: now,
            },
        );
    }

    /// Records that a load ended well, and learns from it.
    pub fn finish(&mut self, now: Instant, id: PlacementId) {
        let Some(load) = self.running.remove(&id) else {
            return;
        };
        let observed = pace(now, &load);
        let average = self.seconds_per_byte.entry(load.tier).or_insert(observed);
        *average += NEWEST_WEIGHT * (observed - *average);
    }

    /// Forgets a load that failed or was taken back.
    pub fn abandon(&mut self, id: PlacementId) {
        self.running.remove(&id);
    }

    /// Expected time of a whole load.
    pub fn load_time(&self, now: Instant, tier: Tier, size_bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "an estimate needs no 53 bits")]
        let seconds = self.current_pace(now, tier) * size_bytes as f64;
        Duration::from_secs_f64(seconds)
    }

    /// Expected time until a load in progress ends.
    pub fn remaining(&self, now: Instant, id: PlacementId) -> Option<Duration> {
        let load = self.running.get(&id)?;
        let whole = self.load_time(now, load.tier, load.size_bytes);
        Some(whole.saturating_sub(now.saturating_duration_since(load.started_at)))
    }

    /// The average, or more if a load in progress is overdue: nothing tells how
    /// long it will still take but that it has taken so long already, so it is
    /// expected to take as long again.
    fn current_pace(&self, now: Instant, tier: Tier) -> f64 {
        let average = self.seconds_per_byte.get(&tier).copied().unwrap_or(0.0);
        let running = self.running.values().filter(|load| load.tier == tier);
        let overdue = running.filter(|load| is_overdue(now, load, average));
        overdue
            .map(|load| pace(now, load) * OVERDUE_STRETCH)
            .fold(average, f64::max)
    }
}

fn is_overdue(now: Instant, load: &Running, average: f64) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no 53 bits")]
    let expected = Duration::from_secs_f64(average * load.size_bytes as f64);
    let so_far = now.saturating_duration_since(load.started_at);
    so_far > expected.mul_f64(OVERDUE) + REPORT_LAG
}

fn pace(now: Instant, load: &Running) -> f64 {
    let elapsed = now.saturating_duration_since(load.started_at);
    #[expect(clippy::cast_precision_loss, reason = "an estimate needs no 53 bits")]
    let size = load.size_bytes.max(1) as f64;
    elapsed.as_secs_f64() / size
}
