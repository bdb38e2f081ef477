//! What the store tells of a feed, as it travels between the threads of an instance and, by
//! way of the holder of the right to order, between instances.

use crate::compression::{self, MIN_COMPRESSED_BYTES};
use anyhow::{Context, Result};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{News, NewsValue};
use std::collections::BTreeMap;

/// News of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedUpdate {
    /// All values.
    Snapshot(Listing),
    /// Changes between two revisions.
    Changes {
        /// The revision that they follow on.
        from: StoreRevision,
        /// The revision up to which they tell.
        to: StoreRevision,
        /// The changes in their order.
        changes: Vec<StoreChange>,
    },
}

impl FeedUpdate {
    /// The revision up to which it tells.
    pub fn to(&self) -> StoreRevision {
        match self {
            Self::Snapshot(listing) => listing.revision,
            Self::Changes { to, .. } => *to,
        }
    }

    /// The values that it tells; keys that went away count too.
    pub fn value_count(&self) -> usize {
        match self {
            Self::Snapshot(listing) => listing.values.len(),
            Self::Changes { changes, .. } => changes.len(),
        }
    }

    /// Bytes of the values that it tells.
    pub fn size_bytes(&self) -> usize {
        let size = |change: &StoreChange| match change {
            StoreChange::Written(value) => value.value.len(),
            StoreChange::Removed { .. } => 0,
        };
        match self {
            Self::Snapshot(listing) => listing.values.iter().map(|value| value.value.len()).sum(),
            Self::Changes { changes, .. } => changes.iter().map(size).sum(),
        }
    }

    /// This and what came after it, with the newest change of each key only: what waits to be
    /// taken in is never larger than what the store holds. If something is missing between
    /// the two, only the newer one is left, and whoever takes it in sees the gap. What this
    /// tells already is not told again, since it may have changed since.
    #[must_use]
    pub fn merged_with(self, newer: Self) -> Self {
        let known = self.to();
        let Self::Changes { from, to, changes } = newer else {
            return if newer.to() < known { self } else { newer };
        };
        if from > known {
            return Self::Changes { from, to, changes };
        }
        let to = to.max(known);
        let later = changes.into_iter().filter(|c| c.revision() > known);
        match self {
            Self::Snapshot(listing) => Self::Snapshot(Listing {
                values: apply_changes(listing.values, later),
                revision: to,
            }),
            Self::Changes { from, changes, .. } => Self::Changes {
                from,
                to,
                changes: latest_changes(changes.into_iter().chain(later)),
            },
        }
    }
}

/// The newest change of each key, in the order of revisions.
pub fn latest_changes(changes: impl Iterator<Item = StoreChange>) -> Vec<StoreChange> {
    let mut by_key: BTreeMap<String, StoreChange> = BTreeMap::new();
    for change in changes {
        let is_older = |known: &StoreChange| known.revision() > change.revision();
        if !by_key.get(change.key()).is_some_and(is_older) {
            by_key.insert(change.key().to_owned(), change);
        }
    }
    let mut changes: Vec<StoreChange> = by_key.into_values().collect();
    changes.sort_by_key(StoreChange::revision);
    changes
}

/// Values after changes.
fn apply_changes(
    values: Vec<StoredValue>,
    changes: impl IntoIterator<Item = StoreChange>,
) -> Vec<StoredValue> {
    let values = values.into_iter().map(StoreChange::Written);
    let left = latest_changes(values.chain(changes)).into_iter();
    let left = left.filter_map(|change| match change {
        StoreChange::Written(value) => Some(value),
        StoreChange::Removed { .. } => None,
    });
    left.collect()
}

/// Large values that others may be packed against: of each key the newest one known and the
/// one before, since the sender may not have heard yet of the newest.
#[derive(Debug, Default)]
pub struct CompressionBases(BTreeMap<String, Vec<StoredValue>>);

/// Values that are kept of a key.
const MAX_BASES_PER_KEY: usize = 2;

impl CompressionBases {
    /// Takes in what was told.
    pub fn record(&mut self, told: &FeedUpdate) {
        match told {
            FeedUpdate::Snapshot(listing) => {
                let listed = |key: &str| listing.values.iter().any(|value| value.key == key);
                self.0.retain(|key, _| listed(key));
                listing
                    .values
                    .iter()
                    .for_each(|value| self.retain_value(value));
            }
            FeedUpdate::Changes { changes, .. } => {
                for change in changes {
                    match change {
                        StoreChange::Written(value) => self.retain_value(value),
                        StoreChange::Removed { key, .. } => {
                            self.0.remove(key);
                        }
                    }
                }
            }
        }
    }

    fn retain_value(&mut self, value: &StoredValue) {
        let newest = self.newest(&value.key).map_or(0, |known| known.revision);
        if value.value.len() < MIN_COMPRESSED_BYTES || value.revision <= newest {
            return;
        }
        let retained = self.0.entry(value.key.clone()).or_default();
        if retained.len() >= MAX_BASES_PER_KEY {
            retained.remove(0);
        }
        retained.push(value.clone());
    }

    fn newest(&self, key: &str) -> Option<&StoredValue> {
        self.0.get(key)?.last()
    }

    fn at_revision(&self, key: &str, revision: StoreRevision) -> Option<&StoredValue> {
        let retained = self.0.get(key)?;
        retained.iter().find(|known| known.revision == revision)
    }

    /// Decodes news and takes them in.
    ///
    /// # Errors
    /// If a value was packed against one that is not known here.
    pub fn decode(&mut self, news: News) -> Result<FeedUpdate> {
        let changes: Result<Vec<StoreChange>> =
            news.values.into_iter().map(|v| self.change(v)).collect();
        let changes = changes?;
        let told = if news.from > 0 {
            FeedUpdate::Changes {
                from: news.from,
                to: news.to,
                changes,
            }
        } else {
            FeedUpdate::Snapshot(Listing {
                values: apply_changes(Vec::new(), changes),
                revision: news.to,
            })
        };
        self.record(&told);
        Ok(told)
    }

    fn change(&self, told: NewsValue) -> Result<StoreChange> {
        let (key, revision) = (told.key, told.revision);
        let Some(mut value) = told.value else {
            return Ok(StoreChange::Removed { key, revision });
        };
        if told.plain_bytes > 0 {
            if let Some(known) = self.newest(&key).filter(|known| known.revision >= revision) {
                // It has come from the store already, and what it was packed against may be gone.
                return Ok(StoreChange::Written(known.clone()));
            }
            let base = self.at_revision(&key, told.base).map(|known| &*known.value);
            let plain_bytes = usize::try_from(told.plain_bytes)?;
            let plain = compression::unpack(&value, base, plain_bytes);
            value = plain
                .with_context(|| format!("unpacking {key} against {}", told.base))?
                .into();
        }
        Ok(StoreChange::Written(StoredValue {
            key,
            value,
            revision,
        }))
    }
}
