//! The latest state of one feed, for instances that receive it from this instance.

use crate::compression::{self, MIN_COMPRESSED_BYTES};
use crate::updates::FeedUpdate;
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{StoreValue, Updates};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of removed keys that are remembered for instances that connect. An instance that
/// knows an older state receives the whole feed.
const MAX_REMOVALS: usize = 400;

/// Maximum number of remembered spans of unseen revisions.
const MAX_UNSEEN_SPANS: usize = 8;

/// The newest value of each key, and the previous one of large values.
///
/// Only the newest value of a key is useful to a receiver, so the log holds what the store holds,
/// and for each large value the previous one as the base of compression.
#[derive(Debug, Default)]
pub struct FeedLog {
    values: BTreeMap<String, StoredValue>,
    /// Previous values of keys whose values are large.
    previous_values: BTreeMap<String, StoredValue>,
    /// Removed keys, ordered by the revision of their removal.
    removals: VecDeque<(StoreRevision, String)>,
    /// All removals after this revision are remembered.
    removals_complete_since: StoreRevision,
    /// Spans of revisions of which only the end is known, because the feed was listed anew then: a
    /// key may have been written and removed in between. An instance that knows a revision inside a
    /// span receives the whole feed.
    unseen_spans: VecDeque<(StoreRevision, StoreRevision)>,
    /// The revision up to which the log is complete.
    to: StoreRevision,
    /// The revision of the last change in the log.
    changed_revision: StoreRevision,
}

impl FeedLog {
    /// Applies an update. Returns whether there is a change to send.
    pub fn apply(&mut self, update: &FeedUpdate) -> bool {
        let previous_revision = self.changed_revision;
        match update {
            FeedUpdate::Snapshot(listing) => self.apply_snapshot(listing),
            FeedUpdate::Changes { changes, .. } => changes.iter().for_each(|c| self.record(c)),
        }
        self.to = self.to.max(update.to());
        self.changed_revision != previous_revision
    }

    /// The revision up to which the log is complete.
    pub fn to(&self) -> StoreRevision {
        self.to
    }

    /// Whether an instance that knows the feed up to a revision lacks a change.
    pub fn has_changes_after(&self, known: StoreRevision) -> bool {
        known < self.changed_revision
    }

    /// Applies a full listing. Only the differences count as changed, so that unchanged values are
    /// not sent again.
    fn apply_snapshot(&mut self, listing: &Listing) {
        if self.to.is_none() {
            self.removals_complete_since = listing.revision;
        } else if self.to < listing.revision {
            self.unseen_spans.push_back((self.to, listing.revision));
            if self.unseen_spans.len() > MAX_UNSEEN_SPANS
                && let Some((_, end)) = self.unseen_spans.pop_front()
            {
                self.removals_complete_since = self.removals_complete_since.max(end);
            }
        }
        let listed: BTreeSet<&str> = listing
            .values
            .iter()
            .map(|value| value.key.as_str())
            .collect();
        let known = self.values.keys();
        let missing = known.filter(|key| !listed.contains(key.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for key in missing {
            let revision = listing.revision;
            self.record(&StoreChange::Removed { key, revision });
        }
        for value in &listing.values {
            self.record(&StoreChange::Written(value.clone()));
        }
    }

    fn record(&mut self, change: &StoreChange) {
        let known = self.values.get(change.key()).map(|value| value.revision);
        if known.is_some_and(|known| known >= change.revision()) {
            return;
        }
        match change {
            StoreChange::Written(value) => {
                let previous = self.values.insert(value.key.clone(), value.clone());
                if let Some(previous) =
                    previous.filter(|previous| previous.value.len() >= MIN_COMPRESSED_BYTES)
                {
                    self.previous_values.insert(value.key.clone(), previous);
                }
            }
            StoreChange::Removed { key, revision } => {
                // Recorded even if the log does not know the key: another instance may have read
                // it.
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

    /// Whether the changes after a revision suffice for an instance that knows the feed up to it, so
    /// that the instance need not receive the whole feed.
    pub fn has_all_changes_after(&self, known: StoreRevision) -> bool {
        let is_inside = |(begin, end): &(_, _)| *begin < known && known < *end;
        !known.is_none()
            && known >= self.removals_complete_since
            && !self.unseen_spans.iter().any(is_inside)
    }

    /// What an instance lacks that knows the feed up to a revision; `None` if it lacks nothing.
    pub fn update_after(&self, feed: usize, known: StoreRevision) -> Option<Updates> {
        if known >= self.to {
            return None;
        }
        let is_complete = !self.has_all_changes_after(known);
        let from = if is_complete {
            StoreRevision::NONE
        } else {
            known
        };
        let values = self.values.values().filter(|value| value.revision > from);
        let mut values: Vec<StoreValue> = values
            .map(|value| self.encode_value(value, known))
            .collect();
        if !is_complete {
            let removals = self.removals.iter().filter(|(at, _)| *at > known);
            values.extend(removals.map(|(revision, key)| StoreValue {
                key: key.clone(),
                revision: revision.packed(),
                ..StoreValue::default()
            }));
            values.sort_by_key(|value| value.revision);
        }
        Some(Updates {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from_revision: from.packed(),
            to_revision: self.to.packed(),
            values,
            ..Updates::default()
        })
    }

    /// The message that a receiver lacks a change too large to send, so that it queries the store.
    pub fn gap_marker(&self, feed: usize) -> Updates {
        Updates {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from_revision: self.to.packed(),
            to_revision: self.to.packed(),
            ..Updates::default()
        }
    }

    /// Encodes a value for an instance that knows the feed up to a revision.
    fn encode_value(&self, value: &StoredValue, known: StoreRevision) -> StoreValue {
        let plain = StoreValue {
            key: value.key.clone(),
            value: Some(value.value.clone()),
            revision: value.revision.packed(),
            ..StoreValue::default()
        };
        if value.value.len() < MIN_COMPRESSED_BYTES {
            return plain;
        }
        let base = self.previous_values.get(&value.key);
        let base = base.filter(|base| base.revision <= known);
        match compression::compress(&value.value, base.map(|base| &*base.value)) {
            Ok(compressed) => StoreValue {
                value: Some(compressed.into()),
                uncompressed_bytes: value.value.len() as u64,
                base_revision: base.map_or(0, |base| base.revision.packed()),
                ..plain
            },
            Err(error) => {
                log::warn!(key = value.key, error:% = error; "cannot compress a value; it is sent uncompressed");
                plain
            }
        }
    }
}
