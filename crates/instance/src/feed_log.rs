//! The latest of one feed, for instances that hear it from here.

use crate::compression::{self, MIN_COMPRESSED_BYTES};
use crate::updates::FeedUpdate;
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{News, NewsValue};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Keys that went away and are remembered for instances that connect; whoever knows less is
/// told everything.
const MAX_REMOVALS: usize = 400;

/// Spans of unseen revisions that are remembered.
const MAX_UNSEEN_SPANS: usize = 8;

/// One value of each key, and what large ones took the place of.
///
/// Only the newest value of a key is of use to anybody, so the log holds what the store
/// holds, and for each large value the one before, which the newest is packed against.
#[derive(Debug, Default)]
pub struct FeedLog {
    values: BTreeMap<String, StoredValue>,
    /// The value before, of keys whose values are large.
    previous_values: BTreeMap<String, StoredValue>,
    /// Keys that went away, in the order in which they did.
    removals: VecDeque<(StoreRevision, String)>,
    /// Removals after this revision are kept.
    removals_complete_since: StoreRevision,
    /// Spans of revisions of which only the end is known, since all was listed anew there: a
    /// key may have come and gone between. Whoever knows a moment inside is told everything.
    unseen_spans: VecDeque<(StoreRevision, StoreRevision)>,
    /// Up to where this tells.
    to: StoreRevision,
    /// The last revision at which anything has changed that is told.
    changed_revision: StoreRevision,
}

impl FeedLog {
    /// Takes in news; whether there is anything to tell.
    pub fn apply(&mut self, told: &FeedUpdate) -> bool {
        let before = self.changed_revision;
        match told {
            FeedUpdate::Snapshot(listing) => self.apply_snapshot(listing),
            FeedUpdate::Changes { changes, .. } => {
                changes.iter().for_each(|change| self.apply_change(change))
            }
        }
        self.to = self.to.max(told.to());
        self.changed_revision != before
    }

    /// Up to where this tells.
    pub fn to(&self) -> StoreRevision {
        self.to
    }

    /// Whether one that knows the feed up to a revision lacks a change.
    pub fn has_changes_after(&self, known: StoreRevision) -> bool {
        known < self.changed_revision
    }

    /// Takes in all values: what differs counts as changed, and the rest is not told again.
    fn apply_snapshot(&mut self, listing: &Listing) {
        if self.to == 0 {
            self.removals_complete_since = listing.revision;
        } else if self.to < listing.revision {
            self.unseen_spans.push_back((self.to, listing.revision));
            if self.unseen_spans.len() > MAX_UNSEEN_SPANS
                && let Some((_, end)) = self.unseen_spans.pop_front()
            {
                self.removals_complete_since = self.removals_complete_since.max(end);
            }
        }
        let listed: BTreeSet<&str> = listing.values.iter().map(|v| v.key.as_str()).collect();
        let known = self.values.keys();
        let missing = known.filter(|key| !listed.contains(key.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for key in missing {
            let revision = listing.revision;
            self.apply_change(&StoreChange::Removed { key, revision });
        }
        for value in &listing.values {
            self.apply_change(&StoreChange::Written(value.clone()));
        }
    }

    fn apply_change(&mut self, change: &StoreChange) {
        let known = self.values.get(change.key()).map(|value| value.revision);
        if known.is_some_and(|known| known >= change.revision()) {
            return;
        }
        match change {
            StoreChange::Written(value) => {
                let before = self.values.insert(value.key.clone(), value.clone());
                if let Some(before) = before.filter(|old| old.value.len() >= MIN_COMPRESSED_BYTES) {
                    self.previous_values.insert(value.key.clone(), before);
                }
            }
            StoreChange::Removed { key, revision } => {
                // It is told also if its coming was not seen here: others may have read it.
                self.values.remove(key);
                self.previous_values.remove(key);
                self.removals.push_back((*revision, key.clone()));
                if self.removals.len() > MAX_REMOVALS
                    && let Some((oldest, _)) = self.removals.pop_front()
                {
                    self.removals_complete_since = self.removals_complete_since.max(oldest);
                }
            }
        }
        self.changed_revision = self.changed_revision.max(change.revision());
    }

    /// What an instance lacks that knows the feed up to a revision.
    pub fn update_after(&self, feed: usize, known: StoreRevision) -> Option<News> {
        if known >= self.to {
            return None;
        }
        let is_unseen = |(begin, end): &(_, _)| *begin < known && known < *end;
        let is_whole = known == 0
            || known < self.removals_complete_since
            || self.unseen_spans.iter().any(is_unseen);
        let from = if is_whole { 0 } else { known };
        let values = self.values.values().filter(|value| value.revision > from);
        let mut values: Vec<NewsValue> = values
            .map(|value| self.encode_value(value, known))
            .collect();
        if !is_whole {
            let removals = self.removals.iter().filter(|(at, _)| *at > known);
            values.extend(removals.map(|(revision, key)| NewsValue {
                key: key.clone(),
                revision: *revision,
                ..NewsValue::default()
            }));
            values.sort_by_key(|value| value.revision);
        }
        Some(News {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from,
            to: self.to,
            values,
            ..News::default()
        })
    }

    /// Tells one that it lacks something that cannot be told it, so that it asks the store.
    pub fn gap_marker(&self, feed: usize) -> News {
        News {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from: self.to,
            to: self.to,
            ..News::default()
        }
    }

    /// A value for one that knows the feed up to a revision.
    fn encode_value(&self, value: &StoredValue, known: StoreRevision) -> NewsValue {
        let plain = NewsValue {
            key: value.key.clone(),
            value: Some(value.value.clone()),
            revision: value.revision,
            ..NewsValue::default()
        };
        if value.value.len() < MIN_COMPRESSED_BYTES {
            return plain;
        }
        let base = self.previous_values.get(&value.key);
        let base = base.filter(|before| before.revision <= known);
        match compression::pack(&value.value, base.map(|before| &*before.value)) {
            Ok(packed) => NewsValue {
                value: Some(packed.into()),
                plain_bytes: value.value.len() as u64,
                base: base.map_or(0, |before| before.revision),
                ..plain
            },
            Err(error) => {
                log::warn!(key = value.key, error:% = error; "a value cannot be packed and is sent plain");
                plain
            }
        }
    }
}
