//! What the store tells of a feed, as it travels between the threads of an instance and, by
//! way of the holder of the right to order, between instances.

use crate::packing::{self, PACKED_FROM_BYTES};
use anyhow::{Context, Result};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_wire::message::{News, NewsValue};
use std::collections::BTreeMap;

/// News of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// All values.
    Whole(Listing),
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

impl Told {
    /// The revision up to which it tells.
    pub fn to(&self) -> StoreRevision {
        match self {
            Self::Whole(listing) => listing.revision,
            Self::Changes { to, .. } => *to,
        }
    }

    /// The values that it tells; keys that went away count too.
    pub fn values(&self) -> usize {
        match self {
            Self::Whole(listing) => listing.values.len(),
            Self::Changes { changes, .. } => changes.len(),
        }
    }

    /// Bytes of the values that it tells.
    pub fn bytes(&self) -> usize {
        let size = |change: &StoreChange| match change {
            StoreChange::Written(value) => value.value.len(),
            StoreChange::Removed { .. } => 0,
        };
        match self {
            Self::Whole(listing) => listing.values.iter().map(|value| value.value.len()).sum(),
            Self::Changes { changes, .. } => changes.iter().map(size).sum(),
        }
    }

    /// This and what came after it, with the newest change of each key only: what waits to be
    /// taken in is never larger than what the store holds. If something is missing between
    /// the two, only the newer one is left, and whoever takes it in sees the gap.
    #[must_use]
    pub fn followed_by(self, newer: Self) -> Self {
        let Self::Changes {
            from: next,
            to: end,
            changes: later,
        } = newer
        else {
            return newer;
        };
        if next > self.to() {
            return Self::Changes {
                from: next,
                to: end,
                changes: later,
            };
        }
        let to = self.to().max(end);
        match self {
            Self::Whole(listing) => Self::Whole(Listing {
                values: written(listing.values, later),
                revision: to,
            }),
            Self::Changes { from, changes, .. } => Self::Changes {
                from,
                to,
                changes: newest(changes.into_iter().chain(later)),
            },
        }
    }
}

/// The newest change of each key, in the order of revisions.
pub fn newest(changes: impl Iterator<Item = StoreChange>) -> Vec<StoreChange> {
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
fn written(values: Vec<StoredValue>, changes: Vec<StoreChange>) -> Vec<StoredValue> {
    let values = values.into_iter().map(StoreChange::Written);
    let left = newest(values.chain(changes)).into_iter();
    let left = left.filter_map(|change| match change {
        StoreChange::Written(value) => Some(value),
        StoreChange::Removed { .. } => None,
    });
    left.collect()
}

/// Large values that are known, which others may be packed against.
#[derive(Debug, Default)]
pub struct Bases(BTreeMap<String, StoredValue>);

impl Bases {
    /// Takes in what was told.
    pub fn note(&mut self, told: &Told) {
        match told {
            Told::Whole(listing) => {
                let listed = |key: &str| listing.values.iter().any(|value| value.key == key);
                self.0.retain(|key, _| listed(key));
                listing.values.iter().for_each(|value| self.keep(value));
            }
            Told::Changes { changes, .. } => {
                for change in changes {
                    match change {
                        StoreChange::Written(value) => self.keep(value),
                        StoreChange::Removed { key, .. } => {
                            self.0.remove(key);
                        }
                    }
                }
            }
        }
    }

    fn keep(&mut self, value: &StoredValue) {
        let known = self.0.get(&value.key).map_or(0, |known| known.revision);
        if value.value.len() >= PACKED_FROM_BYTES && value.revision > known {
            self.0.insert(value.key.clone(), value.clone());
        }
    }

    /// Decodes news and takes them in.
    ///
    /// # Errors
    /// If a value was packed against one that is not known here.
    pub fn decode(&mut self, news: News) -> Result<Told> {
        let changes: Result<Vec<StoreChange>> =
            news.values.into_iter().map(|v| self.change(v)).collect();
        let changes = changes?;
        let told = if news.from > 0 {
            Told::Changes {
                from: news.from,
                to: news.to,
                changes,
            }
        } else {
            Told::Whole(Listing {
                values: written(Vec::new(), changes),
                revision: news.to,
            })
        };
        self.note(&told);
        Ok(told)
    }

    fn change(&self, told: NewsValue) -> Result<StoreChange> {
        let (key, revision) = (told.key, told.revision);
        let Some(mut value) = told.value else {
            return Ok(StoreChange::Removed { key, revision });
        };
        if told.plain_bytes > 0 {
            let base = self.0.get(&key).filter(|known| known.revision == told.base);
            let base = base.map(|known| &*known.value);
            let plain_bytes = usize::try_from(told.plain_bytes)?;
            let plain = packing::unpack(&value, base, plain_bytes);
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
