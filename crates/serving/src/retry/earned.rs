//! Retries that requests have earned, each of which expires some time after its request.

use passway_types::prelude::*;
use std::collections::VecDeque;

/// What is earned within this part of a window expires together, which bounds the credits that are kept.
const SLOTS_PER_WINDOW: u32 = 40;

/// A part of a retry, or several retries, earned by requests of about the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Credit {
    /// When the first of the requests arrived.
    pub(super) earned_at: Instant,
    /// Number of retries.
    pub(super) amount: f64,
}

/// The credits that have not been spent, the oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct EarnedRetries(VecDeque<Credit>);

impl EarnedRetries {
    /// Number of retries that are left of requests since `from`; of all requests without a time.
    pub(super) fn total_since(&self, from: Option<Instant>) -> f64 {
        let credits = self.0.iter();
        let young = credits.filter(|credit| from.is_none_or(|from| credit.earned_at >= from));
        young.map(|credit| credit.amount).sum()
    }

    /// Adds a credit. Credits may be added out of order.
    pub(super) fn add(&mut self, credit: Credit, window: Duration) {
        let index = self
            .0
            .partition_point(|other| other.earned_at <= credit.earned_at);
        let earlier = index.checked_sub(1).and_then(|index| self.0.get_mut(index));
        match earlier {
            Some(earlier) if credit.earned_at - earlier.earned_at < window / SLOTS_PER_WINDOW => {
                earlier.amount += credit.amount;
            }
            _ => self.0.insert(index, credit),
        }
    }

    /// Removes credits that are older than `lifetime`.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration) {
        let is_expired =
            |credit: &Credit| now.saturating_duration_since(credit.earned_at) >= lifetime;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }

    /// Takes up to this number of retries that were earned before a time, the oldest credits first; none without a time.
    pub(super) fn take_before(&mut self, before: Option<Instant>, count: f64) -> Vec<Credit> {
        let older = before.map_or(0, |before| {
            self.0.partition_point(|credit| credit.earned_at < before)
        });
        take(self.0.range_mut(..older), count)
    }

    /// Takes up to this number of retries of requests since a time; of all requests without one.
    pub(super) fn take_since(&mut self, from: Option<Instant>, count: f64) -> Vec<Credit> {
        let older = from.map_or(0, |from| {
            self.0.partition_point(|credit| credit.earned_at < from)
        });
        take(self.0.range_mut(older..), count)
    }
}

/// Takes up to this number of retries, the first credits first. An empty credit stays until it
/// expires, so that what is returned to it expires as before.
fn take<'a>(credits: impl Iterator<Item = &'a mut Credit>, count: f64) -> Vec<Credit> {
    let mut taken = Vec::new();
    let mut missing = count;
    for credit in credits.filter(|credit| credit.amount > 0.0) {
        if missing <= 0.0 {
            break;
        }
        let amount = credit.amount.min(missing);
        taken.push(Credit { amount, ..*credit });
        missing -= amount;
        credit.amount -= amount;
    }
    taken
}
