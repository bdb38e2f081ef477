//! Updates of a feed of the store, passed between the threads of an instance and, relayed by the
//! holder of leadership, between instances.

use crate::compression::{self, MIN_COMPRESSED_BYTES};
use anyhow::{Context, Result};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{StoreValue, Updates};
use std::collections::BTreeMap;

/// An update of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedUpdate {
    /// All values.
    Snapshot(Listing),
    /// Changes between two revisions.
    Changes {
        /// The revision that the changes follow.
        from: StoreRevision,
        /// The revision up to which the changes are complete.
        to: StoreRevision,
        /// The changes, ordered by revision.
        changes: Vec<StoreChange>,
    },
}

impl FeedUpdate {
    /// The revision up to which the update is complete.
    pub fn to(&self) -> StoreRevision {
        match self {
            Self::Snapshot(listing) => listing.revision,
            Self::Changes { to, .. } => *to,
        }
    }

    /// Number of values in the update; removed keys count too.
    pub fn value_count(&self) -> usize {
        match self {
            Self::Snapshot(listing) => listing.values.len(),
            Self::Changes { changes, .. } => changes.len(),
        }
    }

    /// Size of the values in the update, in bytes.
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

    /// Merges this update with a newer one, keeping only the newest change of each key, so that
    /// unapplied updates never take more memory than the store's contents. If there is a gap
    /// between the two updates, the result is the newer one, and the receiver detects the gap.
    /// Changes of the newer update that this one already contains are dropped, because the keys may
    /// have changed since.
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
        let later = changes
            .into_iter()
            .filter(|change| change.revision() > known);
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

/// The newest change of each key, ordered by revision.
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

/// Applies changes to values.
fn apply_changes(
    values: Vec<StoredValue>,
    changes: impl IntoIterator<Item = StoreChange>,
) -> Vec<StoredValue> {
    let values = values.into_iter().map(StoreChange::Written);
    let current = latest_changes(values.chain(changes)).into_iter();
    let current = current.filter_map(|change| match change {
        StoreChange::Written(value) => Some(value),
        StoreChange::Removed { .. } => None,
    });
    current.collect()
}

/// Large values that serve as bases of compression. For each key, the newest known value and the
/// one before it are kept, because the sender may not know the newest one yet.
#[derive(Debug, Default)]
pub struct CompressionBases(BTreeMap<String, Vec<StoredValue>>);

/// Maximum number of values kept for each key.
const MAX_BASES_PER_KEY: usize = 2;

impl CompressionBases {
    /// Records the values of an update.
    pub fn record(&mut self, update: &FeedUpdate) {
        match update {
            FeedUpdate::Snapshot(listing) => {
                let is_listed = |key: &str| listing.values.iter().any(|value| value.key == key);
                self.0.retain(|key, _| is_listed(key));
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
        let newest = self.newest(&value.key).map(|known| known.revision);
        let newest = newest.unwrap_or_default();
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

    /// Decodes a message into an update, and records its values.
    ///
    /// # Errors
    /// If a value was compressed against an unknown base.
    pub fn decode(&mut self, message: Updates) -> Result<FeedUpdate> {
        let changes: Result<Vec<StoreChange>> = message
            .values
            .into_iter()
            .map(|value| self.decode_change(value))
            .collect();
        let changes = changes?;
        let update = if message.from_revision > 0 {
            FeedUpdate::Changes {
                from: StoreRevision::from_packed(message.from_revision),
                to: StoreRevision::from_packed(message.to_revision),
                changes,
            }
        } else {
            FeedUpdate::Snapshot(Listing {
                values: apply_changes(Vec::new(), changes),
                revision: StoreRevision::from_packed(message.to_revision),
            })
        };
        self.record(&update);
        Ok(update)
    }

    fn decode_change(&self, received: StoreValue) -> Result<StoreChange> {
        let key = received.key;
        let revision = StoreRevision::from_packed(received.revision);
        let Some(mut value) = received.value else {
            return Ok(StoreChange::Removed { key, revision });
        };
        if received.uncompressed_bytes > 0 {
            if let Some(known) = self.newest(&key).filter(|known| known.revision >= revision) {
                // The store already supplied this value, and its base may have been dropped.
                return Ok(StoreChange::Written(known.clone()));
            }
            let base = self
                .at_revision(&key, StoreRevision::from_packed(received.base_revision))
                .map(|known| &*known.value);
            let plain_bytes = usize::try_from(received.uncompressed_bytes)?;
            let plain = compression::decompress(&value, base, plain_bytes);
            value = plain
                .with_context(|| format!("decompressing {key} against {}", received.base_revision))?
                .into();
        }
        Ok(StoreChange::Written(StoredValue {
            key,
            value,
            revision,
            lease: None,
        }))
    }
}
