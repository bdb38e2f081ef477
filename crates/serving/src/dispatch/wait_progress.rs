//! How requests that wait at a dispatcher get ahead in the wait queue.
//!
//! The rate at which slots become free says when a request begins only if no request that arrives
//! later overtakes it. So each waiting request is compared with its own beginning as well: one that
//! gets ahead too slowly cannot begin in time, whatever the rate.

use super::{ExpectedBegin, RunKey};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Progress is judged after as many slots have become free. Chance moves a request by the square
/// root of this number, a third of it.
const MIN_FREED: f64 = 9.0;
/// Standard deviations of the number of freed slots by which a request may be behind.
const FREED_DEVIATIONS: f64 = 2.0;
/// A waiting request that has not asked again within this time has left, as in the wait queue.
const WAIT_TTL: Duration = Duration::from_millis(180);

/// A request's wait since its first query.
#[derive(Debug, Clone, Copy)]
pub struct Wait {
    /// When the wait began.
    pub began_at: Instant,
    /// The wait that was expected first; `None` if too little was known.
    pub expected: Option<Duration>,
    /// Whether its caller has returned as told.
    pub is_return: bool,
    /// Requests ahead at the time of the first forecast.
    first_ahead: usize,
    forecast_at: Instant,
    /// Whether the request could no longer be in time at the time of that forecast.
    was_late: bool,
    expires_at: Instant,
}

impl Wait {
    /// Whether the request gets ahead too slowly to begin before `wait_until`.
    fn is_too_slow(&self, begin: &ExpectedBegin, wait_until: Instant, now: Instant) -> bool {
        let count = |waiters: usize| f64::from(u32::try_from(waiters).unwrap_or(u32::MAX));
        let elapsed_s = now
            .saturating_duration_since(self.forecast_at)
            .as_secs_f64();
        let freed = begin.rate.per_s * elapsed_s;
        if freed < MIN_FREED || self.expected.is_none() {
            return false;
        }
        let progress = count(self.first_ahead) - count(begin.waiters_ahead);
        let best_per_s = (progress + FREED_DEVIATIONS * freed.sqrt()) / elapsed_s;
        let left_s = wait_until.saturating_duration_since(now).as_secs_f64();
        count(begin.waiters_ahead) + 1.0 > best_per_s * left_s
    }
}

/// The waits of the requests in the wait queue.
#[derive(Debug, Default)]
pub struct WaitProgress {
    waits: HashMap<RunKey, Wait>,
}

impl WaitProgress {
    /// The wait of a request that has asked before.
    pub fn get(&self, key: RunKey, now: Instant) -> Option<&Wait> {
        self.waits.get(&key).filter(|wait| now < wait.expires_at)
    }

    /// Whether a request gets ahead too slowly to begin before `wait_until`.
    pub fn is_too_slow(
        &self,
        key: RunKey,
        begin: &ExpectedBegin,
        wait_until: Instant,
        now: Instant,
    ) -> bool {
        self.get(key, now)
            .is_some_and(|wait| wait.is_too_slow(begin, wait_until, now))
    }

    /// Records that a request found no slot.
    pub fn record(
        &mut self,
        key: RunKey,
        is_return: bool,
        is_late: bool,
        begin: Option<&ExpectedBegin>,
        now: Instant,
    ) {
        let previous = self.get(key, now).copied();
        let mut wait = previous.unwrap_or(Wait {
            began_at: now,
            expected: None,
            is_return,
            first_ahead: 0,
            forecast_at: now,
            was_late: is_late,
            expires_at: now,
        });
        wait.expires_at = now + WAIT_TTL;
        if let (None, Some(begin)) = (wait.expected, begin) {
            wait.expected = Some(begin.wait);
            wait.first_ahead = begin.waiters_ahead;
            wait.forecast_at = now;
        }
        if let Some(begin) = begin.filter(|_| wait.was_late != is_late) {
            // Once a request is late, all that can be in time go before it. What counts is how it
            // gets ahead from then on.
            wait.was_late = is_late;
            wait.first_ahead = begin.waiters_ahead;
            wait.forecast_at = now;
        }
        self.waits.insert(key, wait);
    }

    /// Removes a request that does not wait any more.
    pub fn remove(&mut self, key: RunKey, now: Instant) -> Option<Wait> {
        let wait = self.waits.remove(&key);
        wait.filter(|wait| now < wait.expires_at)
    }

    /// Removes requests that have not asked again in time.
    pub fn remove_expired(&mut self, now: Instant) {
        self.waits.retain(|_, wait| now < wait.expires_at);
    }
}
