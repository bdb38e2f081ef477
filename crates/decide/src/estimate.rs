//! Estimates load times from observed loads.
//!
//! The expected time of a load is the product of two learned numbers:
//!
//! * The typical load time per storage tier and size class, learned slowly. Small loads consist
//!   almost only of waiting and start-up, large ones almost only of transfer, so neither predicts
//!   the other.
//! * A slowdown per storage tier, shared by all sizes and learned fast, because the weight store
//!   slows down and recovers as a whole.
//!
//! An overdue load raises the slowdown before it ends, so a slow weight store is noticed within the
//! time of one load.

use crate::messages::Tier;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Weight of the newest load in the typical time of its size class.
const TYPICAL_TIME_WEIGHT: f64 = 0.1;
/// Weight of the newest load in the slowdown of its tier.
const SLOWDOWN_WEIGHT: f64 = 0.6;
/// A load in progress is overdue after this multiple of its expected time.
const OVERDUE_FACTOR: f64 = 1.25;
/// Delay until the end of a load is reported. A delay up to this is no sign of a slow store.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// An overdue load is expected to take this multiple of the time it has taken so far.
const OVERDUE_EXTRAPOLATION: f64 = 2.0;
/// Assumed speed of loading from disk, relative to the weight store.
const DISK_SPEEDUP: f64 = 4.0;
/// Assumed speed of loading from memory, relative to the weight store.
const MEMORY_SPEEDUP: f64 = 16.0;
/// Assumed time of a load besides the transfer, until the time is learned.
const LOAD_OVERHEAD: Duration = Duration::from_millis(300);
/// Bounds of a slowdown, so that one outlier does not dominate the estimate.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.05, 100.0);

/// A size class: the base-2 logarithm of the size in MB.
type SizeClass = u32;

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct LoadInProgress {
    tier: Tier,
    size_bytes: u64,
    started_at: Instant,
}

/// Learns how long loads take.
#[derive(Debug)]
pub struct LoadEstimator {
    remote_mb_per_s: u64,
    typical_times: HashMap<(Tier, SizeClass), Duration>,
    slowdowns: HashMap<Tier, f64>,
    in_progress: HashMap<PlacementId, LoadInProgress>,
}

impl LoadEstimator {
    /// Returns an estimator that starts from the configured throughput of the weight store, in
    /// MB/s.
    pub fn new(remote_mb_per_s: u64) -> Self {
        Self {
            remote_mb_per_s,
            typical_times: HashMap::new(),
            slowdowns: HashMap::new(),
            in_progress: HashMap::new(),
        }
    }

    /// Records that a load began.
    pub fn begin(&mut self, now: Instant, id: PlacementId, tier: Tier, size_bytes: u64) {
        self.in_progress.insert(
            id,
            LoadInProgress {
                tier,
                size_bytes,
                started_at: now,
            },
        );
    }

    /// Records that a load succeeded, and learns from its duration.
    pub fn finish(&mut self, now: Instant, id: PlacementId) {
        let Some(load) = self.in_progress.remove(&id) else {
            return;
        };
        let duration_s = now.saturating_duration_since(load.started_at).as_secs_f64();
        let typical_s = self.typical_time(load.tier, load.size_bytes).as_secs_f64();
        let slowdown = self.slowdowns.entry(load.tier).or_insert(1.0);
        let observed_slowdown = duration_s / typical_s.max(f64::MIN_POSITIVE);
        *slowdown += SLOWDOWN_WEIGHT * (observed_slowdown - *slowdown);
        *slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let unslowed_duration_s = duration_s / *slowdown;
        let key = (load.tier, size_class(load.size_bytes));
        let learned_s = match self.typical_times.get(&key) {
            Some(_) => typical_s + TYPICAL_TIME_WEIGHT * (unslowed_duration_s - typical_s),
            // The first load of a size class is a better estimate than the assumed throughput.
            None => unslowed_duration_s,
        };
        self.typical_times
            .insert(key, Duration::from_secs_f64(learned_s));
    }

    /// Forgets a load that failed or was cancelled.
    pub fn abandon(&mut self, id: PlacementId) {
        self.in_progress.remove(&id);
    }

    /// Returns the expected duration of a complete load.
    pub fn load_time(&self, now: Instant, tier: Tier, size_bytes: u64) -> Duration {
        self.typical_time(tier, size_bytes)
            .mul_f64(self.current_slowdown(now, tier))
    }

    /// Returns the expected time until a load in progress ends.
    pub fn remaining(&self, now: Instant, id: PlacementId) -> Option<Duration> {
        let load = self.in_progress.get(&id)?;
        let expected = self.load_time(now, load.tier, load.size_bytes);
        let total = self
            .extrapolated_time(now, load)
            .map_or(expected, |extrapolated| extrapolated.max(expected));
        Some(total.saturating_sub(now.saturating_duration_since(load.started_at)))
    }

    /// The typical load time: learned for the size class, else computed from the configured
    /// throughput.
    fn typical_time(&self, tier: Tier, size_bytes: u64) -> Duration {
        let learned = self.typical_times.get(&(tier, size_class(size_bytes)));
        learned.copied().unwrap_or_else(|| {
            let remote_transfer =
                Duration::from_micros((size_bytes >> 20) * 1_000_000 / self.remote_mb_per_s);
            let transfer = match tier {
                Tier::Remote => remote_transfer,
                Tier::Disk => remote_transfer.div_f64(DISK_SPEEDUP),
                Tier::Memory => remote_transfer.div_f64(MEMORY_SPEEDUP),
            };
            LOAD_OVERHEAD + transfer
        })
    }

    /// The learned slowdown, or a larger one if a load in progress is overdue. Only loads of a size
    /// class with a learned typical time count.
    fn current_slowdown(&self, now: Instant, tier: Tier) -> f64 {
        let learned = self.slowdowns.get(&tier).copied().unwrap_or(1.0);
        let with_learned_time = self.in_progress.values().filter(|load| {
            load.tier == tier
                && self
                    .typical_times
                    .contains_key(&(tier, size_class(load.size_bytes)))
        });
        let overdue = with_learned_time.filter_map(|load| {
            let typical = self.typical_time(tier, load.size_bytes).as_secs_f64();
            Some(self.extrapolated_time(now, load)?.as_secs_f64() / typical.max(f64::MIN_POSITIVE))
        });
        overdue.fold(learned, f64::max)
    }

    /// The expected total duration of an overdue load. Nothing but the elapsed time is known, so
    /// the load is expected to take the same time again.
    fn extrapolated_time(&self, now: Instant, load: &LoadInProgress) -> Option<Duration> {
        let learned = self.slowdowns.get(&load.tier).copied().unwrap_or(1.0);
        let typical = self.typical_time(load.tier, load.size_bytes);
        let elapsed = now.saturating_duration_since(load.started_at);
        let is_overdue = elapsed > typical.mul_f64(learned * OVERDUE_FACTOR) + REPORT_LAG;
        is_overdue.then(|| elapsed.mul_f64(OVERDUE_EXTRAPOLATION))
    }
}

fn size_class(size_bytes: u64) -> SizeClass {
    (size_bytes >> 20).max(1).ilog2()
}
