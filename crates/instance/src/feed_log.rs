//! The latest of one feed, for instances that hear it from here.

use crate::news::Told;
use crate::packing::{self, PACKED_FROM_BYTES};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{StoreValue, Updates};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Keys that went away and are remembered for instances that connect; whoever knows less is
/// told everything.
const KEPT_REMOVALS: usize = 400;

/// Spans of unseen revisions that are remembered.
const KEPT_SPANS: usize = 8;

/// One value of each key, and what large ones took the place of.
///
/// Only the newest value of a key is of use to anybody, so the log holds what the store
/// holds, and for each large value the one before, which the newest is packed against.
#[derive(Debug, Default)]
pub struct FeedLog {
    values: BTreeMap<String, StoredValue>,
    /// The value before, of keys whose values are large.
    replaced: BTreeMap<String, StoredValue>,
    /// Keys that went away, in the order in which they did.
    removals: VecDeque<(StoreRevision, String)>,
    /// Removals after this revision are kept.
    since: StoreRevision,
    /// Spans of revisions of which only the end is known, since all was listed anew there: a
    /// key may have come and gone between. Whoever knows a moment inside is told everything.
    unseen: VecDeque<(StoreRevision, StoreRevision)>,
    /// Up to where this tells.
    to: StoreRevision,
    /// The last revision at which anything has changed that is told.
    changed_at: StoreRevision,
}

impl FeedLog {
    /// Takes in news; whether there is anything to tell.
    pub fn add(&mut self, told: &Told) -> bool {
        let before = self.changed_at;
        match told {
            Told::Whole(listing) => self.replace(listing),
            Told::Changes { changes, .. } => changes.iter().for_each(|change| self.note(change)),
        }
        self.to = self.to.max(told.to());
        self.changed_at != before
    }

    /// Up to where this tells.
    pub fn to(&self) -> StoreRevision {
        self.to
    }

    /// Whether one that knows the feed up to a revision lacks a change.
    pub fn has_news(&self, known: StoreRevision) -> bool {
        known < self.changed_at
    }

    /// Takes in all values: what differs counts as changed, and the rest is not told again.
    fn replace(&mut self, listing: &Listing) {
        if self.to == 0 {
            self.since = listing.revision;
        } else if self.to < listing.revision {
            self.unseen.push_back((self.to, listing.revision));
            if self.unseen.len() > KEPT_SPANS
                && let Some((_, end)) = self.unseen.pop_front()
            {
                self.since = self.since.max(end);
            }
        }
        let listed: BTreeSet<&str> = listing.values.iter().map(|v| v.key.as_str()).collect();
        let known = self.values.keys();
        let missing = known.filter(|key| !listed.contains(key.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for key in missing {
            let revision = listing.revision;
            self.note(&StoreChange::Removed { key, revision });
        }
        for value in &listing.values {
            self.note(&StoreChange::Written(value.clone()));
        }
    }

    fn note(&mut self, change: &StoreChange) {
        let known = self.values.get(change.key()).map(|value| value.revision);
        if known.is_some_and(|known| known >= change.revision()) {
            return;
        }
        match change {
            StoreChange::Written(value) => {
                let before = self.values.insert(value.key.clone(), value.clone());
                if let Some(before) = before.filter(|old| old.value.len() >= PACKED_FROM_BYTES) {
                    self.replaced.insert(value.key.clone(), before);
                }
            }
            StoreChange::Removed { key, revision } => {
                // It is told also if its coming was not seen here: others may have read it.
                self.values.remove(key);
                self.replaced.remove(key);
                self.removals.push_back((*revision, key.clone()));
                if self.removals.len() > KEPT_REMOVALS
                    && let Some((oldest, _)) = self.removals.pop_front()
                {
                    self.since = self.since.max(oldest);
                }
            }
        }
        self.changed_at = self.changed_at.max(change.revision());
    }

    /// What an instance lacks that knows the feed up to a revision.
    pub fn after(&self, feed: usize, known: StoreRevision) -> Option<Updates> {
        if known >= self.to {
            return None;
        }
        let is_unseen = |(begin, end): &(_, _)| *begin < known && known < *end;
        let is_whole = known == 0 || known < self.since || self.unseen.iter().any(is_unseen);
        let from = if is_whole { 0 } else { known };
        let values = self.values.values().filter(|value| value.revision > from);
        let mut values: Vec<StoreValue> = values.map(|value| self.encode(value, known)).collect();
        if !is_whole {
            let removals = self.removals.iter().filter(|(at, _)| *at > known);
            values.extend(removals.map(|(revision, key)| StoreValue {
                key: key.clone(),
                revision: *revision,
                ..StoreValue::default()
            }));
            values.sort_by_key(|value| value.revision);
        }
        Some(Updates {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from_revision: from,
            to_revision: self.to,
            values,
            ..Updates::default()
        })
    }

    /// Tells one that it lacks something that cannot be told it, so that it asks the store.
    pub fn gap(&self, feed: usize) -> Updates {
        Updates {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from_revision: self.to,
            to_revision: self.to,
            ..Updates::default()
        }
    }

    /// A value for one that knows the feed up to a revision.
    fn encode(&self, value: &StoredValue, known: StoreRevision) -> StoreValue {
        let plain = StoreValue {
            key: value.key.clone(),
            value: Some(value.value.clone()),
            revision: value.revision,
            ..StoreValue::default()
        };
        if value.value.len() < PACKED_FROM_BYTES {
            return plain;
        }
        let base = self.replaced.get(&value.key);
        let base = base.filter(|before| before.revision <= known);
        match packing::pack(&value.value, base.map(|before| &*before.value)) {
            Ok(packed) => StoreValue {
                value: Some(packed.into()),
                uncompressed_bytes: value.value.len() as u64,
                base_revision: base.map_or(0, |before| before.revision),
                ..plain
            },
            Err(error) => {
                log::warn!(key = value.key, error:% = error; "a value cannot be packed and is sent plain");
                plain
            }
        }
    }
}
