//! When refused callers may return, and which callers return as told.
//!
//! Each refused caller gets a moment of its own, spaced at the rate at which the engines that have
//! its model free slots. The moments of an engine are one instant, so that they need no memory for
//! each refusal. A request with the content of a refused one that arrives at its moment is a
//! *return*. The table of expected returns has a fixed size; a refusal that finds no room in it
//! gets a moment, but its return counts as a new arrival.

use super::FreeRate;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Longest time after which a refused caller is told to return. Few callers wait longer, and a rate
/// that was measured in the last seconds says little about a later time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(15);
/// How much earlier than told a return may arrive: the time on the way of the refusal, rounding to
/// milliseconds, and clocks that run at different speeds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
/// How much later than told a return may arrive: callers round `Retry-After` up to whole seconds,
/// and the way takes some time.
const LATE_TOLERANCE: Duration = Duration::from_millis(1_500);
/// Entries of the table: 270 refusals a second for the longest time, in 128 KiB.
const TABLE_ENTRIES: usize = 4_096;
/// Entries among which a fingerprint is searched.
const ENTRIES_PER_SET: usize = 8;
/// Unknown returns that the fraction of returns is computed with, besides those that were observed.
/// They count as missed when new arrivals make room for returns, and as met when moments are given,
/// so that either errs on the safe side while little is known.
const UNKNOWN_RETURNS: f64 = 8.0;
/// Smallest fraction of refused callers that moments are given for.
const MIN_GIVEN_RATIO: f64 = 0.1;
/// Counted returns, met or missed, after which all counts are halved, so that the latest hundreds
/// decide.
const MAX_COUNTED: f64 = 400.0;

/// When a refused caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryTime {
    /// The time until then.
    pub after: Duration,
    /// Whether the caller was told this moment before.
    pub is_repeated: bool,
}

/// An expected return.
#[derive(Debug, Clone, Copy)]
struct Entry {
    fingerprint: u64,
    return_at: Instant,
}

impl Entry {
    fn is_missed(&self, now: Instant) -> bool {
        now > self.return_at + LATE_TOLERANCE
    }
}

/// The expected returns of refused callers.
#[derive(Debug, Default)]
pub struct ReturnTable {
    /// Empty until the first refusal.
    entries: Vec<Option<Entry>>,
    /// For each engine, until when its free slots are promised to refused callers.
    promised_until: HashMap<UpstreamId, Instant>,
    met: f64,
    missed: f64,
}

impl ReturnTable {
    /// Whether a request with this content, which arrives now, is a return.
    pub fn is_due(&self, fingerprint: u64, now: Instant) -> bool {
        let entry = self.set(fingerprint).iter().flatten();
        let mut entry = entry.filter(|entry| entry.fingerprint == fingerprint);
        entry
            .next()
            .is_some_and(|entry| now + EARLY_TOLERANCE >= entry.return_at && !entry.is_missed(now))
    }

    /// Removes the entry of a request that has returned, so that it counts once.
    pub fn claim(&mut self, fingerprint: u64) {
        let mut is_met = false;
        for entry in self.set_mut(fingerprint) {
            if entry.is_some_and(|entry| entry.fingerprint == fingerprint) {
                *entry = None;
                is_met = true;
            }
        }
        if is_met {
            self.count(1.0, 0.0);
        }
    }

    /// The time after which a refused caller may return.
    ///
    /// A caller that was refused before and returns early keeps its moment and is told the rest of
    /// the time. So repeated calls neither bring it forward nor take the moments of others.
    pub fn give(
        &mut self,
        fingerprint: u64,
        engines: &[&UpstreamId],
        rate: &FreeRate,
        begin_at: Instant,
        now: Instant,
    ) -> RetryTime {
        let entries = self.set(fingerprint).iter().flatten();
        let mut pending =
            entries.filter(|entry| entry.fingerprint == fingerprint && now < entry.return_at);
        if let Some(entry) = pending.next() {
            return RetryTime {
                after: entry.return_at - now,
                is_repeated: true,
            };
        }
        // Slots of callers that will not return are free for others.
        let interval = rate.time_for(self.highest_return_ratio());
        let return_at = self.promised_until(engines, now).max(begin_at) + interval;
        if return_at > now + MAX_RETRY_AFTER {
            // Requests refused later reserve no moment of their own.
            return RetryTime {
                after: MAX_RETRY_AFTER,
                is_repeated: false,
            };
        }
        for engine in engines {
            let until = self.promised_until.entry((*engine).clone()).or_insert(now);
            *until = (*until).max(begin_at) + interval;
        }
        self.insert(
            Entry {
                fingerprint,
                return_at,
            },
            now,
        );
        RetryTime {
            after: return_at - now,
            is_repeated: false,
        }
    }

    /// Until when free slots of these engines are promised to refused callers, on average.
    pub fn promised_until(&self, engines: &[&UpstreamId], now: Instant) -> Instant {
        let promised = engines.iter().filter_map(|engine| {
            let until = self.promised_until.get(*engine)?;
            Some(until.saturating_duration_since(now))
        });
        let count = u32::try_from(engines.len().max(1)).unwrap_or(u32::MAX);
        now + promised.sum::<Duration>() / count
    }

    /// The fraction of refused callers that return as told, at least.
    pub fn return_ratio(&self) -> f64 {
        self.met / (self.met + self.missed + UNKNOWN_RETURNS)
    }

    /// The fraction of refused callers that return as told, at most.
    fn highest_return_ratio(&self) -> f64 {
        let highest = self.met + UNKNOWN_RETURNS;
        (highest / (highest + self.missed)).max(MIN_GIVEN_RATIO)
    }

    /// Removes returns that are overdue.
    pub fn remove_expired(&mut self, now: Instant) {
        self.promised_until.retain(|_, until| now < *until);
        let mut missed = 0.0;
        for entry in &mut self.entries {
            if entry.is_some_and(|entry| entry.is_missed(now)) {
                *entry = None;
                missed += 1.0;
            }
        }
        self.count(0.0, missed);
    }

    fn count(&mut self, met: f64, missed: f64) {
        self.met += met;
        self.missed += missed;
        if self.met + self.missed > MAX_COUNTED {
            self.met /= 2.0;
            self.missed /= 2.0;
        }
    }

    /// Adds an entry in place of an overdue one or of an older one with its fingerprint. Entries
    /// that callers were told of stay.
    fn insert(&mut self, entry: Entry, now: Instant) {
        if self.entries.is_empty() {
            self.entries = vec![None; TABLE_ENTRIES];
        }
        let set = self.set_mut(entry.fingerprint);
        let is_same =
            |old: &Option<Entry>| old.is_some_and(|old| old.fingerprint == entry.fingerprint);
        let is_free = |old: &Option<Entry>| old.is_none_or(|old| old.is_missed(now));
        let index = set.iter().position(is_same);
        if let Some(index) = index.or_else(|| set.iter().position(is_free)) {
            set[index] = Some(entry);
        }
    }

    /// The entries that a fingerprint may have.
    fn set(&self, fingerprint: u64) -> &[Option<Entry>] {
        self.entries.get(set_range(fingerprint)).unwrap_or_default()
    }

    fn set_mut(&mut self, fingerprint: u64) -> &mut [Option<Entry>] {
        self.entries
            .get_mut(set_range(fingerprint))
            .unwrap_or_default()
    }
}

fn set_range(fingerprint: u64) -> std::ops::Range<usize> {
    let sets = TABLE_ENTRIES / ENTRIES_PER_SET;
    // The upper bits of an FNV hash differ most.
    let set = usize::try_from(fingerprint >> 32).unwrap_or(0) % sets;
    set * ENTRIES_PER_SET..(set + 1) * ENTRIES_PER_SET
}
