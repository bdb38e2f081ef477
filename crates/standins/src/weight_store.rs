//! A stand-in of the rate-limited weight store.

use passway_types::prelude::*;
use std::sync::{Condvar, Mutex, PoisonError};

/// The store's pace.
#[derive(Debug, Clone)]
pub struct WeightStoreLimits {
    /// Loads at one time.
    pub max_concurrent: u32,
    /// Shortest time between the starts of two loads.
    pub min_start_interval: Duration,
    /// Speed of one load, in megabytes (2^20 bytes) a second.
    pub mb_per_s: u64,
    /// Every load takes this many times as long.
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
    pace: WeightStoreLimits,
    running: u32,
    next_start_at: Instant,
    loads: u64,
}

/// The store; clones are the same store.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl WeightStore {
    /// A store with a pace.
    pub fn new(pace: WeightStoreLimits) -> Self {
        let state = State {
            pace,
            running: 0,
            next_start_at: Instant::now(),
            loads: 0,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }

    /// Slows the store down from now on; 1 is full speed.
    pub fn set_slowdown(&self, slowdown: u32) {
        self.state
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pace
            .slowdown = slowdown;
    }

    /// Loads so far.
    pub fn loads(&self) -> u64 {
        self.state
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .loads
    }

    /// Fetches a checkpoint; returns when it is there.
    pub fn fetch(&self, size_bytes: u64) {
        let (lock, freed) = &*self.state;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        while state.running >= state.pace.max_concurrent {
            state = freed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.running += 1;
        state.loads += 1;
        let now = Instant::now();
        let start_at = state.next_start_at.max(now);
        state.next_start_at = start_at + state.pace.min_start_interval;
        let transfer = transfer_time(size_bytes, &state.pace);
        drop(state);
        std::thread::sleep(start_at - now + transfer);
        lock.lock().unwrap_or_else(PoisonError::into_inner).running -= 1;
        freed.notify_one();
    }
}

fn transfer_time(size_bytes: u64, pace: &WeightStoreLimits) -> Duration {
    let micros = size_bytes.saturating_mul(1_000_000) / (pace.mb_per_s << 20);
    Duration::from_micros(micros) * pace.slowdown
}
