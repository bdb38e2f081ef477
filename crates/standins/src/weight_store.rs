//! A stand-in for the weight store, which limits the rate and the number of loads.

use passway_types::prelude::*;
use std::sync::{Condvar, Mutex, PoisonError};

/// Limits and speed of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreLimits {
    /// Maximum number of concurrent loads.
    pub max_concurrent: u32,
    /// Minimum time between the starts of two loads.
    pub min_start_interval: Duration,
    /// Transfer rate of one load, in megabytes (2^20 bytes) per second.
    pub mb_per_s: u64,
    /// Factor by which each transfer takes longer; 1 is full speed.
    pub slowdown: u32,
}

impl Default for WeightStoreLimits {
    fn default() -> Self {
        Self {
            max_concurrent: 4,
            min_start_interval: Duration::from_millis(333),
            mb_per_s: 20_000,
            slowdown: 1,
        }
    }
}

#[derive(Debug)]
struct State {
    limits: WeightStoreLimits,
    running: u32,
    next_start_at: Instant,
    load_count: u64,
}

/// A weight store; clones share the same state.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl WeightStore {
    /// Creates a store with these limits.
    pub fn new(limits: WeightStoreLimits) -> Self {
        let state = State {
            limits,
            running: 0,
            next_start_at: Instant::now(),
            load_count: 0,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }

    /// Sets the factor by which later loads are slowed down; 1 is full speed.
    pub fn set_slowdown(&self, slowdown: u32) {
        self.state
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .limits
            .slowdown = slowdown;
    }

    /// Returns the number of loads started so far.
    pub fn load_count(&self) -> u64 {
        self.state
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .load_count
    }

    /// Fetches a checkpoint; blocks until the transfer is complete.
    pub fn fetch(&self, size_bytes: u64) {
        let (lock, freed) = &*self.state;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        while state.running >= state.limits.max_concurrent {
            state = freed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.running += 1;
        state.load_count += 1;
        let now = Instant::now();
        let start_at = state.next_start_at.max(now);
        state.next_start_at = start_at + state.limits.min_start_interval;
        let transfer = transfer_time(size_bytes, &state.limits);
        drop(state);
        std::thread::sleep(start_at - now + transfer);
        lock.lock().unwrap_or_else(PoisonError::into_inner).running -= 1;
        freed.notify_one();
    }
}

fn transfer_time(size_bytes: u64, limits: &WeightStoreLimits) -> Duration {
    let micros = size_bytes.saturating_mul(1_000_000) / (limits.mb_per_s << 20);
    Duration::from_micros(micros) * limits.slowdown
}
